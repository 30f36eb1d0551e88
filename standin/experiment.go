package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "run a scenario with its faults and compare the results with its targets",
		Description: "Example: standin experiment --compare --json slow.jsonc\n" +
			"   Marks of the scenario are printed to standard error as \"mark POLICY NAME\" at their times,\n" +
			"   so that a script can stop processes then. The exit code is 2 if plantainlane missed a target.",
		ArgsUsage: "SCENARIO",
		Flags:     driveFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := readScenario(c)
			if err != nil {
				return err
			}
			reports, err := drive(ctx, c, s)
			if err != nil {
				return err
			}
			for _, r := range reports {
				for _, v := range r.Verdicts {
					if r.Policy == policySystem && !v.Met {
						return cli.Exit("a target was missed", exitMissed)
					}
				}
			}
			return nil
		},
	}
}
