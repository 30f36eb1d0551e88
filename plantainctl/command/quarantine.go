package command

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"plantainlane/wire"
)

func init() { register(newQuarantine) }

func newQuarantine() *cli.Command {
	return &cli.Command{
		Name:      "quarantine",
		Usage:     "show, set or lift what is refused because upstreams crash under it",
		ArgsUsage: "[set | lift ID]",
		Description: withExamples(
			"Requests whose content has all PARTS of an entry are refused before they run. STATE is active, or ended: an\n"+
				"ended entry comes back as soon as one more upstream crashes under its parts. SINCE and UNTIL are in UTC.\n"+
				"Suspects are parts under which upstreams have ended and of which no request was answered since.",
			"plantainctl -i 127.0.0.1:7003 quarantine",
			"plantainctl -i 127.0.0.1:7003 quarantine set --service chat --part 5c1e07a2 --for 2h --reason 'ticket 12'",
			"plantainctl -i 127.0.0.1:7003 quarantine lift q-9f2c51d07a3e",
		),
		Action: runQuarantine,
		Commands: []*cli.Command{
			{
				Name: "set", Usage: "refuse requests whose content has all the given parts", ArgsUsage: "no arguments",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "service", Usage: "`SERVICE` that the requests are for", Required: true},
					&cli.StringSliceFlag{Name: "part", Usage: "`PART` of the content; may be given several times", Required: true},
					&cli.StringFlag{Name: "workspace", Usage: "only requests of this `WORKSPACE`"},
					&cli.DurationFlag{Name: "for", Usage: "`DURATION` for which requests are refused; 0: 24h"},
					&cli.StringFlag{Name: "reason", Usage: "`TEXT` for other operators"},
				},
				Action: runQuarantineSet,
			},
			{
				Name: "lift", Usage: "end an entry", ArgsUsage: "ID",
				Action: runQuarantineLift,
			},
		},
	}
}

func runQuarantine(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c, 0, 0); err != nil {
		return err
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	u, err := client.Quarantine(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, u)
	}
	t := newTable(c.Root().Writer, "ID", "STATE", "SERVICE", "WORKSPACE", "PARTS", "SINCE", "UNTIL", "SET BY", "UPSTREAMS", "REASON")
	for i := range u.Entries {
		addEntryRow(t, &u.Entries[i], time.Now())
	}
	if err := t.flush(); err != nil || len(u.Suspects) == 0 {
		return err
	}
	t = newTable(c.Root().Writer, "SUSPECT", "SERVICE", "CRASHES")
	for _, s := range u.Suspects {
		if s.Part != "" {
			t.addRow(s.Part, s.Service, strconv.Itoa(s.Crashes))
		}
	}
	return t.flush()
}

// addEntryRow adds the row of an entry.
func addEntryRow(t *table, e *wire.QuarantineEntry, now time.Time) {
	state, setBy := "active", e.SetBy
	if now.UnixMilli() >= int64(e.UntilMs) {
		state = "ended"
	}
	if setBy == "" {
		setBy = "leader"
	}
	t.addRow(e.ID, state, e.Service, orDash(e.Workspace), strings.Join(e.Parts, ","), formatTime(e.SinceMs), formatTime(e.UntilMs),
		setBy, orDash(strings.Join(e.Upstreams, ",")), orDash(e.Reason))
}

// formatTime formats a time in milliseconds since 1970.
func formatTime(ms int) string { return time.UnixMilli(int64(ms)).UTC().Format(time.RFC3339) }

func runQuarantineSet(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c, 0, 0); err != nil {
		return err
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	workspace, reason, forMs := c.String("workspace"), c.String("reason"), int(c.Duration("for").Milliseconds())
	e, err := client.SetQuarantine(ctx, wire.QuarantineRequest{
		Service: c.String("service"), Parts: c.StringSlice("part"), Workspace: &workspace, Reason: &reason, ForMs: &forMs,
	})
	return printEntry(c, &e, "set", err)
}

func runQuarantineLift(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 1, 1)
	if err != nil {
		return err
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	e, err := client.LiftQuarantine(ctx, args[0])
	return printEntry(c, &e, "lifted", err)
}

// printEntry prints what has happened to an entry, unless err is set, which it returns.
func printEntry(c *cli.Command, e *wire.QuarantineEntry, what string, err error) error {
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, e)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: %s\n", e.ID, what)
	return err
}
