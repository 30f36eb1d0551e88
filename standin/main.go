// Command standin runs fakes of what plantainlane serves and is served by, and puts load on it.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"plantainlane/standin/engine"
)

func main() {
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:                  "standin",
		Usage:                 "fakes of upstreams, and load, for plantainlane",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			upstreamCommand(), engine.Command(), engine.StoreCommand(), loadCommand(), experimentCommand(),
			benchCommand(),
		},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
