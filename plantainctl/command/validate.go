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
		Description: withExamples(
			"Checks a file or a folder of declarations as a complete configuration: values, names and references.\n"+
				"With --partial, checks values only, so that references may name declarations that PATH lacks.",
			"plantainctl validate declarations/",
			"plantainctl validate --partial contracts/hostel.json",
		),
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "partial", Usage: "check values only, not references"}},
		Action: runValidate,
	}
}

// validation is the JSON output of validate for declarations without problems: the number of each kind.
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
	source, err := readDeclarations(args[0], check)
	if err != nil {
		return reportProblems(c, err)
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
