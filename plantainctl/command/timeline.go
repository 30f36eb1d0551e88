package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"plantainlane/plantainctl/lane"
	"plantainlane/plantainctl/operator"
	"plantainlane/wire"
	"plantainlane/wire/timeline"
)

const (
	// defaultLimit is the default of --limit.
	defaultLimit = 1000
	// followOverlap is how long an event may take to reach the instance that answers. Each poll requests the events
	// from followOverlap before the newest printed event.
	followOverlap = 5 * time.Second
	// followInterval is the pause between two polls.
	followInterval = 500 * time.Millisecond
)

func init() { register(newTimeline) }

func newTimeline() *cli.Command {
	return &cli.Command{
		Name:      "timeline",
		Usage:     "show the events of all instances in causal order",
		ArgsUsage: "no arguments",
		Description: withExamples(
			"Prints one event per line, causes before their effects. An event is shown if it matches all filters. With\n"+
				"--json, prints one JSON object; with --follow and --json, one line of JSON per event. --svg and\n"+
				"--html write a drawing with one lane for each instance.",
			"plantainctl -i 127.0.0.1:7003 timeline --request 7f8d...",
			"plantainctl -i 127.0.0.1:7003 timeline --since 10m --workspace hostel --html hostel.html",
			"plantainctl -i 127.0.0.1:7003 timeline --follow --upstream phrase-3",
		),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "only events of the request with this `ID`"},
			&cli.StringFlag{Name: "workspace", Usage: "only events of this `WORKSPACE`"},
			&cli.StringFlag{Name: "upstream", Usage: "only events of the upstream with this `ID`"},
			&cli.StringFlag{Name: "on", Usage: "only events of the instance with this `ID`"},
			&cli.IntFlag{Name: "revision", Usage: "only events of this `REVISION`"},
			&cli.DurationFlag{Name: "since", Usage: "only events of the last `DURATION`"},
			&cli.IntFlag{Name: "limit", Usage: "at most the newest `COUNT` events", Value: defaultLimit},
			&cli.BoolFlag{Name: "follow", Usage: "print new events until interrupted"},
			&cli.StringFlag{Name: "svg", Usage: "write a drawing to `FILE` as SVG"},
			&cli.StringFlag{Name: "html", Usage: "write a drawing to `FILE` as a self-contained HTML page"},
		},
		Action: runTimeline,
	}
}

func runTimeline(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c, 0, 0); err != nil {
		return err
	}
	if c.Int("limit") < 1 || c.Int("revision") < 0 || c.Duration("since") < 0 {
		return errors.Wrapf(ErrUsage, "--limit is %d, --revision %d, --since %v: expected --limit of at least 1, the others not negative",
			c.Int("limit"), c.Int("revision"), c.Duration("since"))
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	query := wire.TimelineQuery{
		Request:   c.String("request"),
		Workspace: c.String("workspace"),
		Upstream:  c.String("upstream"),
		Instance:  c.String("on"),
		Revision:  c.Int("revision"),
		Limit:     c.Int("limit"),
	}
	if since := c.Duration("since"); since > 0 {
		query.SinceMs = int(time.Now().Add(-since).UnixMilli())
	}
	if c.Bool("follow") {
		return followEvents(ctx, c, client, query)
	}
	answer, err := client.Timeline(ctx, query)
	if err != nil {
		return err
	}
	answer.Events = timeline.Merge(answer.Events)
	return printTimeline(c, answer)
}

// printTimeline writes the drawings that the flags name, and prints the events if there is no drawing or with --json.
func printTimeline(c *cli.Command, answer wire.TimelineAnswer) error {
	if answer.Dropped > 0 || len(answer.Unreachable) > 0 {
		fmt.Fprintf(c.Root().ErrWriter, "not whole: %d events dropped, instances not reached: %s\n",
			answer.Dropped, orDash(strings.Join(answer.Unreachable, ", ")))
	}
	svg, page := c.String("svg"), c.String("html")
	if svg != "" {
		if err := writeFile(svg, func(w io.Writer) error { return lane.WriteSVG(w, answer.Events) }); err != nil {
			return err
		}
	}
	if page != "" {
		err := writeFile(page, func(w io.Writer) error { return lane.WriteHTML(w, "plantainlane time line", answer.Events) })
		if err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, answer)
	}
	if svg != "" || page != "" {
		return nil
	}
	return printEvents(c, answer.Events)
}

// printEvents prints one line for each event.
func printEvents(c *cli.Command, events []wire.Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintln(c.Root().Writer, timeline.Line(e)); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}

// writeFile creates or replaces the file at path and fills it with write.
func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "draw")
	}
	return errors.CombineErrors(write(f), errors.Wrap(f.Close(), "draw"))
}

// followEvents polls the time line and prints new events until ctx is done. Events of other instances may arrive up to
// followOverlap late, so that each poll overlaps the previous one; each event is printed once. If no instance can
// answer, followEvents prints the error and polls again.
func followEvents(ctx context.Context, c *cli.Command, client *operator.Client, query wire.TimelineQuery) error {
	shown := make(map[string]int)
	for {
		answer, err := client.Timeline(ctx, query)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, operator.ErrUnreachable):
			fmt.Fprintln(c.Root().ErrWriter, "plantainctl: "+err.Error())
		case err != nil:
			return err
		}
		newEvents := filterNew(shown, timeline.Merge(answer.Events))
		if err := printFollowed(c, newEvents); err != nil {
			return err
		}
		for _, e := range newEvents {
			query.SinceMs = max(query.SinceMs, e.Time.WallMs-int(followOverlap.Milliseconds()))
		}
		forgetBefore(shown, query.SinceMs)
		if !sleep(ctx, followInterval) {
			return nil
		}
	}
}

// filterNew returns the events whose line isn't in shown, and adds their lines to shown. shown maps the line of each
// printed event to the event's time in milliseconds since the Unix epoch.
func filterNew(shown map[string]int, events []wire.Event) []wire.Event {
	var newEvents []wire.Event
	for _, e := range events {
		line := timeline.Line(e)
		if _, isShown := shown[line]; !isShown {
			shown[line] = e.Time.WallMs
			newEvents = append(newEvents, e)
		}
	}
	return newEvents
}

// forgetBefore removes the lines of events before beforeMs from shown: later polls don't return these events again.
func forgetBefore(shown map[string]int, beforeMs int) {
	for line, at := range shown {
		if at < beforeMs {
			delete(shown, line)
		}
	}
}

// printFollowed prints one line for each event; with --json, the line is a JSON object.
func printFollowed(c *cli.Command, events []wire.Event) error {
	if !c.Bool("json") {
		return printEvents(c, events)
	}
	encoder := json.NewEncoder(c.Root().Writer)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}
