// Command plantainlane is an entry instance: it serves callers, upstreams, operators and other instances.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// commands holds the subcommands; each registers itself in the file that defines it.
var commands []*cli.Command

func main() {
	root := &cli.Command{
		Name:                  "plantainlane",
		Usage:                 "serve multi-stage model pipelines",
		Commands:              commands,
		EnableShellCompletion: true,
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "plantainlane:", err)
		os.Exit(1)
	}
}
