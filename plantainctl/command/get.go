package command

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"plantainlane/plantainctl/operator"
	"plantainlane/wire"
	"plantainlane/wire/declaration"
)

func init() { register(newGet) }

func newGet() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print the declarations in force",
		ArgsUsage: "[KIND [NAME]]",
		Description: withExamples(
			"Prints declarations as JSON in the form that apply reads; with --json, together with their revision. KIND is\n"+
				"contract, model, pipeline or upstreamPolicy.",
			"plantainctl -i 127.0.0.1:7003 get > all.json",
			"plantainctl -i 127.0.0.1:7003 get contract hostel",
		),
		Action: runGet,
		ShellComplete: func(_ context.Context, c *cli.Command) {
			for _, k := range declarationKinds {
				_, _ = c.Root().Writer.Write([]byte(k + "\n"))
			}
		},
	}
}

var declarationKinds = []string{
	declaration.KindContract, declaration.KindModel, declaration.KindPipeline, declaration.KindUpstreamPolicy,
}

func runGet(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 0, 2)
	if err != nil {
		return err
	}
	if len(args) > 0 && !slices.Contains(declarationKinds, args[0]) {
		return errors.Wrapf(ErrUsage, "kind %q is none of %s", args[0], strings.Join(declarationKinds, ", "))
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	answer, err := client.Declarations(ctx)
	if err != nil {
		return err
	}
	answer.Set = filterDeclarations(answer.Set, args)
	if len(args) == 2 && len(declaration.Diff(declaration.Empty(), answer.Set)) == 0 {
		return errors.Wrapf(operator.ErrNotFound, "%s %q", args[0], args[1])
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, answer)
	}
	return printJSON(c.Root().Writer, answer.Set)
}

// filterDeclarations returns the declarations whose kind is args[0] and whose name is args[1]. A missing argument
// matches all.
func filterDeclarations(set wire.Declarations, args []string) wire.Declarations {
	if len(args) == 0 {
		return set
	}
	var excluded []wire.DeclarationName
	for _, d := range declaration.Diff(declaration.Empty(), set) {
		if d.Kind != args[0] || len(args) == 2 && d.Name != args[1] {
			excluded = append(excluded, wire.DeclarationName{Kind: d.Kind, Name: d.Name})
		}
	}
	return declaration.Apply(set, declaration.Empty(), excluded)
}
