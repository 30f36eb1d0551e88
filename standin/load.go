package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"plantainlane/standin/scenario"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "put the arrivals of a scenario on the system, without its faults and targets",
		Description: "Example: standin load --compare --svg load.svg scenario.jsonc\n" +
			"   Arrivals are open-loop: a late answer delays no later request.",
		ArgsUsage: "SCENARIO",
		Flags:     driveFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := scenarioOf(c)
			if err != nil {
				return err
			}
			s.Faults, s.Marks, s.Targets = nil, nil, nil
			_, err = drive(ctx, c, s)
			return err
		},
	}
}

func scenarioOf(c *cli.Command) (*scenario.Scenario, error) {
	if c.Args().Len() != 1 {
		return nil, cli.Exit("one SCENARIO file is needed", exitUsage)
	}
	s, err := scenario.Read(c.Args().First())
	if err != nil {
		return nil, err
	}
	if c.IsSet("seed") {
		s.Seed = c.Int("seed")
	}
	if len(c.StringSlice("entry")) > 0 {
		s.Entries = c.StringSlice("entry")
	}
	return s, nil
}
