package command

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"plantainlane/plantainctl/operator"
	"plantainlane/plantainctl/story"
)

func init() { register(newStory) }

func newStory() *cli.Command {
	return &cli.Command{
		Name:      "story",
		Usage:     "show the log lines and the outcome of a request",
		ArgsUsage: "REQUEST [FILE...]",
		Description: withExamples(
			"Reads the log lines of several processes from files, or from standard input, and prints those of one request\n"+
				"with causes before their effects, and then the request's outcome in one sentence. Exits with code 7 if the\n"+
				"logs contain no line of the request.",
			"plantainctl story d055d953145b788a logs/*.log",
			"cat logs/*.log | plantainctl story d055d953145b788a",
		),
		Action: runStory,
	}
}

func runStory(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return errors.Wrap(ErrUsage, "a request ID is required")
	}
	r := &story.Reader{}
	if err := readLogs(c, r, c.Args().Tail()); err != nil {
		return err
	}
	lines := r.RequestLines(c.Args().First())
	if len(lines) == 0 {
		return errors.Wrapf(operator.ErrNotFound, "log lines of request %s", c.Args().First())
	}
	if r.Skipped > 0 {
		fmt.Fprintf(c.Root().ErrWriter, "%d lines are no log lines\n", r.Skipped)
	}
	if err := story.Write(c.Root().Writer, lines); err != nil {
		return err
	}
	_, err := fmt.Fprintln(c.Root().Writer, "\n"+story.Conclusion(lines))
	return errors.Wrap(err, "print")
}

// readLogs adds the lines of the files to r, or those of standard input if there are no files.
func readLogs(c *cli.Command, r *story.Reader, files []string) error {
	if len(files) == 0 {
		return r.Read("standard input", c.Root().Reader)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		err = r.Read(name, f)
		f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}
