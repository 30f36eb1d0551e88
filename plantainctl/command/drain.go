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
		Description: withExamples(
			"The instance is no longer listed in entry answers (the addresses that callers send to), serves for as long\n"+
				"as callers may keep such an answer, finishes its requests in flight and exits. The command returns when the\n"+
				"drain has started; with --wait, when status no longer lists the instance. With --wait, give the address of\n"+
				"another instance too, since the drained one stops answering.",
			"plantainctl -i 127.0.0.1:7003 drain entry-2",
			"plantainctl -i 127.0.0.1:7003 -i 127.0.0.1:7013 drain --wait 5m entry-2",
		),
		Flags:  []cli.Flag{&cli.DurationFlag{Name: "wait", Usage: "maximum `DURATION` to wait until the instance has stopped; 0: don't wait"}},
		Action: runDrain,
	}
}

// drainResult is the JSON output of drain.
type drainResult struct {
	Instance string `json:"instance"`
	// State is "draining", or "gone" if status no longer lists the instance.
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
	d := drainResult{args[0], "draining"}
	if wait := c.Duration("wait"); wait > 0 {
		if err := awaitRemoved(ctx, client, args[0], wait); err != nil {
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

// awaitRemoved polls the status until it no longer lists the instance, or returns ErrPending if wait is over first.
func awaitRemoved(ctx context.Context, client *operator.Client, instance string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s, err := client.Status(ctx)
		isRemoved := !slices.ContainsFunc(s.Instances, func(i wire.InstanceStatus) bool { return i.Info.ID == instance })
		switch {
		case err == nil && isRemoved:
			return nil
		case err != nil && !errors.Is(err, operator.ErrUnreachable):
			return err
		}
		if !sleep(ctx, pollInterval) {
			return errors.Wrapf(ErrPending, "instance %s is not known to have stopped after %v", instance, wait)
		}
	}
}
