// Command plantainlane runs an instance, which serves callers, upstreams, operators and other instances. Further
// subcommands check settings files and create the control log.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"plantainlane/wire/jsonc"
)

// errUsage marks wrong flags or arguments.
var errUsage = errors.New("wrong usage")

// commands holds the subcommands. The file of each subcommand adds it in an init function.
var commands []*cli.Command

func main() {
	os.Exit(run(context.Background(), os.Args, os.Stdout, os.Stderr))
}

// run runs the command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := &cli.Command{
		Name:                  "plantainlane",
		Usage:                 "serve multi-stage model pipelines",
		Description:           "Exit codes: 0 done, 1 failed, 2 wrong usage, 4 invalid settings.",
		Commands:              commands,
		EnableShellCompletion: true,
		Writer:                out,
		ErrWriter:             errOut,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return errors.Wrapf(errUsage, "unknown command %q", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
	}
	for _, c := range append([]*cli.Command{root}, commands...) {
		c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return errors.Mark(err, errUsage)
		}
	}
	err := root.Run(ctx, args)
	if err != nil {
		fmt.Fprintln(errOut, "plantainlane:", err)
	}
	return exitCode(err)
}

// exitCode returns the exit code for the error that a subcommand returned.
func exitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errUsage):
		return 2
	case errors.Is(err, jsonc.ErrInvalid), errors.Is(err, jsonc.ErrMalformed):
		return 4
	}
	return 1
}
