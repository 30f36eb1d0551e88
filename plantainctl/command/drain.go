package command

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"plantainlane/plantainctl/operator"
	"plantainlane/wire"
)

func init() { register(newDrain) }

func newDrain() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "let an instance finish its requests and stop",
		ArgsUsage: "INSTANCE-ID",
		Description: examples(
			"The instance leaves the entry answer, serves for as long as callers may keep that answer, finishes what is\n"+
				"in flight and exits. The command returns once the instance was told; with --wait, once it is gone. Give\n"+
				"another instance as well then, since the drained one stops answering.",
			"plantainctl -i 127.0.0.1:7003 drain entry-2",
			"plantainctl -i 127.0.0.1:7003 -i 127.0.0.1:7013 drain --wait 5m entry-2",
		),
		Flags:  []cli.Flag{&cli.DurationFlag{Name: "wait", Usage: "longest `DURATION` to wait until the instance is gone"}},
		Action: runDrain,
	}
}

// drained is what drain prints as JSON.
type drained struct {
	Instance string `json:"instance"`
	// State is draining or gone.
	State string `json:"state"`
}

func runDrain(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 1, 1)
	if err != nil {
		return err
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	if err := client.Drain(ctx, args[0]); err != nil {
		return err
	}
	d := drained{args[0], "draining"}
	if wait := c.Duration("wait"); wait > 0 {
		if err := awaitGone(ctx, client, args[0], wait); err != nil {
			return err
		}
		d.State = "gone"
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, d)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: %s\n", d.Instance, d.State)
	return err
}

func awaitGone(ctx context.Context, client *operator.Client, instance string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s, err := client.Status(ctx)
		gone := !slices.ContainsFunc(s.Instances, func(i wire.InstanceStatus) bool { return i.Info.ID == instance })
		switch {
		case err == nil && gone:
			return nil
		case err != nil && !errors.Is(err, operator.ErrUnreachable):
			return err
		}
		if !pause(ctx, pollInterval) {
			return errors.Wrapf(ErrPending, "%s is still there after %v", instance, wait)
		}
	}
}
