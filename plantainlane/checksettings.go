package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"plantainlane/plantainlane/settings"
	"plantainlane/wire/jsonc"
)

func init() {
	commands = append(commands, &cli.Command{
		Name:        "check-settings",
		Usage:       "check settings files without starting anything",
		ArgsUsage:   "SETTINGS...",
		Description: "Prints each problem with file, line, field path and what was expected; ends with 4 if there is any.\n\nExample: plantainlane check-settings /etc/plantainlane/*.jsonc",
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print JSON"}},
		Action:      checkSettings,
	})
}

// checked is what check-settings prints as JSON.
type checked struct {
	Files    []string        `json:"files"`
	Problems []jsonc.Problem `json:"problems"`
}

func checkSettings(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return errNoSettings
	}
	result := checked{Files: c.Args().Slice(), Problems: []jsonc.Problem{}}
	for _, file := range result.Files {
		_, err := settings.Load(file)
		var found *jsonc.Error
		switch {
		case errors.As(err, &found):
			result.Problems = append(result.Problems, found.Problems...)
		case err != nil:
			return err
		case !c.Bool("json"):
			fmt.Fprintf(c.Root().Writer, "%s: ok\n", file)
		}
	}
	if c.Bool("json") {
		if err := json.NewEncoder(c.Root().Writer).Encode(result); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return jsonc.NewError(result.Problems)
}
