package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"plantainlane/wire"
	"plantainlane/wire/declaration"
)

func init() { register(newDiff) }

func newDiff() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what applying declarations would change",
		ArgsUsage: "PATH [OLD-PATH]",
		Description: withExamples(
			"Compares a file or a folder of declarations with the configuration in force, or with those of OLD-PATH if\n"+
				"given. Declarations that PATH lacks count as removed only with --prune.",
			"plantainctl -i 127.0.0.1:7003 diff declarations/",
			"plantainctl diff --prune new/ old/",
			"plantainctl -i 127.0.0.1:7003 diff --exit-code --prune declarations/ || echo differs",
		),
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "prune", Usage: "count declarations that PATH lacks as removed"},
			&cli.BoolFlag{Name: "exit-code", Usage: "exit with code 8 if there are differences"},
		},
		Action: runDiff,
	}
}

// diffResult is the JSON output of diff.
type diffResult struct {
	// Revision is the revision of the configuration in force, or 0 if OLD-PATH is given.
	Revision int                  `json:"revision"`
	Changes  []declaration.Change `json:"changes"`
}

func runDiff(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 1, 2)
	if err != nil {
		return err
	}
	source, err := readDeclarations(args[0], declaration.CheckValues)
	if err != nil {
		return reportProblems(c, err)
	}
	base, err := diffBase(ctx, c, args[1:])
	if err != nil {
		return reportProblems(c, err)
	}
	var remove []wire.DeclarationName
	if c.Bool("prune") {
		remove = missingNames(base.Set, source.Set)
	}
	changes := declaration.Diff(base.Set, declaration.Apply(base.Set, source.Set, remove))
	// Without changes, the JSON output has an empty list instead of null.
	d := diffResult{base.Revision, append([]declaration.Change{}, changes...)}
	if c.Bool("json") {
		err = printJSON(c.Root().Writer, d)
	} else {
		printChanges(c.Root().Writer, d.Changes)
		_, err = fmt.Fprintf(c.Root().Writer, "%d differences from revision %d\n", len(d.Changes), d.Revision)
	}
	if err == nil && len(d.Changes) > 0 && c.Bool("exit-code") {
		err = ErrDiffers
	}
	return err
}

// diffBase returns the declarations to compare with: those of the file or folder oldPath[0], or the configuration in
// force if oldPath is empty.
func diffBase(ctx context.Context, c *cli.Command, oldPath []string) (wire.DeclarationsAnswer, error) {
	if len(oldPath) > 0 {
		source, err := readDeclarations(oldPath[0], declaration.CheckValues)
		if err != nil {
			return wire.DeclarationsAnswer{}, err
		}
		return wire.DeclarationsAnswer{Set: source.Set}, nil
	}
	client, err := connect(c)
	if err != nil {
		return wire.DeclarationsAnswer{}, err
	}
	return client.Declarations(ctx)
}
