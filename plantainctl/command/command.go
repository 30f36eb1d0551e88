// Package command holds the commands of plantainctl, each in a file of its own.
package command

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// commands holds the constructors of all commands. Each command's file adds its constructor with register.
var commands []func() *cli.Command

// register adds a command's constructor. It is called by init functions only.
func register(newCommand func() *cli.Command) {
	commands = append(commands, newCommand)
}

const description = `Changes the configuration of plantainlane and shows its state. Commands that call instances try each --instance
in turn until one can answer. The operator's credential is read from --credential-file, or from the
variable PLANTAINCTL_CREDENTIAL if that flag is not given.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 revision conflict, 4 invalid declarations, 5 outcome pending
or unknown, 6 credential refused, 7 not found, 8 differences found (diff --exit-code), 9 warnings and no
errors found (lint).`

// Run executes the command line args, whose first element is the program's name, and returns the exit code. Errors are
// printed to errOut, except ErrDiffers and ErrWarnings, which only set the exit code.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	root := newRoot()
	root.Reader, root.Writer, root.ErrWriter = in, out, errOut
	err := root.Run(ctx, args)
	if err != nil && !errors.IsAny(err, ErrDiffers, ErrWarnings) {
		fmt.Fprintln(errOut, "plantainctl: "+err.Error())
	}
	return exitCode(err)
}

func newRoot() *cli.Command {
	root := &cli.Command{
		Name:                  "plantainctl",
		Usage:                 "change the configuration of plantainlane and inspect its state",
		Description:           description,
		Flags:                 rootFlags(),
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
			c.Usage = "print a completion script for bash, zsh, fish or pwsh"
		},
		Suggest:        true,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return errors.Wrapf(ErrUsage, "unknown command %q", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
	}
	for _, newCommand := range commands {
		root.Commands = append(root.Commands, newCommand())
	}
	slices.SortFunc(root.Commands, func(a, b *cli.Command) int { return strings.Compare(a.Name, b.Name) })
	for _, c := range append(root.Commands, root) {
		c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return errors.Mark(err, ErrUsage)
		}
	}
	return root
}

// withExamples returns a command's help text, followed by its examples.
func withExamples(text string, lines ...string) string {
	return text + "\n\nExamples:\n   " + strings.Join(lines, "\n   ")
}

// arguments returns the command's arguments, or ErrUsage if there are fewer than minCount or more than maxCount.
func arguments(c *cli.Command, minCount, maxCount int) ([]string, error) {
	n := c.Args().Len()
	if n < minCount || n > maxCount {
		return nil, errors.Wrapf(ErrUsage, "%s takes %s, got %d arguments", c.Name, c.ArgsUsage, n)
	}
	return c.Args().Slice(), nil
}
