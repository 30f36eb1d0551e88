// Command standin runs fakes of the upstreams, engines and weight store that plantainlane uses, and sends load to it.
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
		Usage:                 "run fakes of upstreams for plantainlane, and send load to it",
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
