package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"plantainlane/plantainlane/replica"
	"plantainlane/plantainlane/settings"
)

var errNoData = errors.New("the settings name no data folder")

func init() {
	commands = append(commands, &cli.Command{
		Name:      "bootstrap",
		Usage:     "create the control log, once, on the first instance with a disk",
		ArgsUsage: "SETTINGS",
		Description: "Makes a log with one replica in the empty data folder that the settings name. Run it once for a\n" +
			"deployment, before the first start; all other instances join by themselves. It refuses a folder that\n" +
			"already belongs to a log.\n\nExample: plantainlane bootstrap /etc/plantainlane/settings.jsonc",
		Action: bootstrap,
	})
}

func bootstrap(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errNoSettings
	}
	s, err := settings.Load(c.Args().First())
	if err != nil {
		return err
	}
	if s.Data == nil {
		return errNoData
	}
	id, err := replica.Bootstrap(s.Data.Folder, s.Instance.ID)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "created the control log with replica %s\n", id)
	return nil
}
