package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"plantainlane/standin/scenario"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send the requests of a scenario, without its faults, marks and targets",
		Description: "Example: standin load --compare --svg load.svg scenario.jsonc\n" +
			"   Arrivals are open-loop: requests are sent at their times, whether or not earlier ones were answered.",
		ArgsUsage: "SCENARIO",
		Flags:     driveFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := readScenario(c)
			if err != nil {
				return err
			}
			s.Faults, s.Marks, s.Targets = nil, nil, nil
			_, err = drive(ctx, c, s)
			return err
		},
	}
}

// readScenario reads the scenario that the arguments name and applies the flags that replace its values.
func readScenario(c *cli.Command) (*scenario.Scenario, error) {
	if c.Args().Len() != 1 {
		return nil, cli.Exit(fmt.Sprintf("%s takes one SCENARIO file, got %d arguments", c.Name, c.Args().Len()), exitUsage)
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
