package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"plantainlane/wire/declaration"
)

func init() { register(newValidate) }

func newValidate() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check declarations without an instance",
		ArgsUsage: "PATH",
		Description: examples(
			"Checks a file or a folder of declarations as one whole configuration: values, names and references.\n"+
				"With --partial, references to declarations that the path lacks are taken.",
			"plantainctl validate declarations/",
			"plantainctl validate --partial contracts/hostel.json",
		),
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "partial", Usage: "check values alone, not references"}},
		Action: runValidate,
	}
}

// validation is what validate prints as JSON of declarations without problems.
type validation struct {
	Contracts        int `json:"contracts"`
	Models           int `json:"models"`
	Pipelines        int `json:"pipelines"`
	UpstreamPolicies int `json:"upstreamPolicies"`
}

func runValidate(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, 1, 1)
	if err != nil {
		return err
	}
	check := declaration.Check
	if c.Bool("partial") {
		check = declaration.CheckValues
	}
	source, err := read(args[0], check)
	if err != nil {
		return report(c, err)
	}
	v := validation{
		Contracts:        len(source.Set.Contracts),
		Models:           len(source.Set.Models),
		Pipelines:        len(source.Set.Pipelines),
		UpstreamPolicies: len(source.Set.UpstreamPolicies),
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, v)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "valid: %d contracts, %d models, %d pipelines, %d upstream policies\n",
		v.Contracts, v.Models, v.Pipelines, v.UpstreamPolicies)
	return err
}
