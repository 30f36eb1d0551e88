package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func init() { register(newEvacuate) }

func newEvacuate() *cli.Command {
	return &cli.Command{
		Name:      "evacuate",
		Usage:     "send no more work to the upstreams of an availability zone",
		ArgsUsage: "ZONE",
		Description: withExamples(
			"The command returns when the order is committed: it then holds until it is taken back with --finish, also\n"+
				"through losses of power. Connected instances obey it within about a second. Requests that run in the zone\n"+
				"are finished there. Without an answer, repeat the command: a repeated order changes nothing.",
			"plantainctl -i 127.0.0.1:7003 evacuate zone-2",
			"plantainctl -i 127.0.0.1:7003 evacuate --finish zone-2",
		),
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "finish", Usage: "end the evacuation of the zone"}},
		Action: runEvacuate,
	}
}

func runEvacuate(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 1, 1)
	if err != nil {
		return err
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	a, err := client.Evacuate(ctx, args[0], !c.Bool("finish"))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, a)
	}
	state := "in use"
	if a.Active {
		state = "evacuated"
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: %s\n", a.Zone, state)
	return err
}
