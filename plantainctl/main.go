// Command plantainctl is the command line client with which operators change plantainlane's configuration and
// inspect its state.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"plantainlane/plantainctl/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
