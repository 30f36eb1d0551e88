package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"plantainlane/plantainlane/replica"
	"plantainlane/plantainlane/settings"
)

// errNoData reports settings without a data folder.
var errNoData = errors.New("data.folder is not set; run bootstrap on an instance with a disk")

func init() {
	commands = append(commands, &cli.Command{
		Name:      "bootstrap",
		Usage:     "create the control log, once, on the first instance with a disk",
		ArgsUsage: "SETTINGS",
		Description: "Creates a control log with one replica in the data folder of the settings, which must be empty. Run it\n" +
			"once per deployment, before the first start; all other instances join the log when they start. It\n" +
			"fails if the folder already belongs to a log.\n\nExample: plantainlane bootstrap /etc/plantainlane/settings.jsonc",
		Action: bootstrap,
	})
}

// bootstrap creates a control log whose only replica is in the data folder of the settings.
func bootstrap(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.Wrapf(errNoSettings, "expected 1 argument, got %d", c.Args().Len())
	}
	s, err := settings.Load(c.Args().First())
	if err != nil {
		return err
	}
	if s.Data == nil {
		return errors.Wrap(errNoData, c.Args().First())
	}
	id, err := replica.Bootstrap(s.Data.Folder, s.Instance.ID)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "created the control log with replica %s\n", id)
	return nil
}
