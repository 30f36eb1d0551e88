package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"plantainlane/plantainlane/instance"
	"plantainlane/plantainlane/logs"
	"plantainlane/plantainlane/settings"
)

// errNoSettings reports a command line without the argument for a settings file, or with more arguments than the
// subcommand takes.
var errNoSettings = errors.Mark(errors.New("a settings file is required"), errUsage)

func init() {
	commands = append(commands, &cli.Command{
		Name:        "serve",
		Usage:       "run an instance until it is drained",
		ArgsUsage:   "SETTINGS",
		Description: "SIGTERM drains the instance, then stops it. SIGINT or a second SIGTERM stops it immediately.\n\nExample: plantainlane serve /etc/plantainlane/settings.jsonc",
		Action:      serve,
	})
}

// serve runs an instance until it is drained or stopped by a signal.
func serve(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.Wrapf(errNoSettings, "expected 1 argument, got %d", c.Args().Len())
	}
	s, err := settings.Load(c.Args().First())
	if err != nil {
		return err
	}
	defer logs.Start(os.Stdout, s.Instance.ID, s.Log)()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT)
	defer stop()
	x, err := instance.New(ctx, s)
	if err != nil {
		return err
	}
	x.PublishMetrics("plantainlane")
	term := make(chan os.Signal, 2)
	signal.Notify(term, syscall.SIGTERM)
	go func() {
		<-term
		x.Drain(ctx)
		<-term
		stop()
	}()
	return x.Run(ctx)
}
