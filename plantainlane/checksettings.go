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
		Description: "Prints each problem with file, line, field path and the expected value. The exit code is 4 if there is any problem.\n\nExample: plantainlane check-settings /etc/plantainlane/*.jsonc",
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"}},
		Action:      checkSettings,
	})
}

// checkResult is the JSON output of check-settings.
type checkResult struct {
	Files    []string        `json:"files"`
	Problems []jsonc.Problem `json:"problems"`
}

// checkSettings checks settings files and prints the problems of all of them.
func checkSettings(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return errNoSettings
	}
	result := checkResult{Files: c.Args().Slice(), Problems: []jsonc.Problem{}}
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
