package command

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"plantainlane/wire"
)

func init() { register(newStatus) }

func newStatus() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show the instances with their revisions, and the upstreams",
		ArgsUsage: "no arguments",
		Description: withExamples("Shows the leader, the evacuated zones, every instance with its lease and revision, every upstream and every model engine.",
			"plantainctl -i 127.0.0.1:7003 status",
			"plantainctl -i 127.0.0.1:7003 status --json",
		),
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c, 0, 0); err != nil {
		return err
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, s)
	}
	return printStatus(c.Root().Writer, s)
}

// printStatus prints the tables of instances, upstreams and engines, each ordered by ID.
func printStatus(w io.Writer, s wire.StatusAnswer) error {
	slices.SortFunc(s.Instances, func(a, b wire.InstanceStatus) int { return strings.Compare(a.Info.ID, b.Info.ID) })
	slices.SortFunc(s.Upstreams, func(a, b wire.UpstreamStatus) int {
		return strings.Compare(a.Announcement.ID, b.Announcement.ID)
	})
	fmt.Fprintf(w, "revision %d, in force everywhere %d, leader %s, term %d\n\n", s.Revision, s.AcceptedRevision, orDash(s.Leader), s.Term)
	if zones := evacuatedZones(s.Evacuations); len(zones) > 0 {
		fmt.Fprintf(w, "evacuated zones: %s\n\n", strings.Join(zones, ", "))
	}
	t := newTable(w, "INSTANCE", "ZONE", "REGION", "LEASE", "REVISION", "REPLICA", "STATE")
	for _, i := range s.Instances {
		state := "serving"
		if i.Info.Draining {
			state = "draining"
		}
		t.addRow(i.Info.ID, i.Info.Zone, i.Info.Region, i.Lease, strconv.Itoa(i.AppliedRevision), i.Replica, state)
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	t = newTable(w, "UPSTREAM", "SERVICE", "ZONE", "ADDRESS", "IN FLIGHT", "QUEUED", "STATE")
	for _, u := range s.Upstreams {
		a := u.Announcement
		t.addRow(a.ID, a.Service, a.Zone, a.Address, strconv.Itoa(a.Load.InFlight), strconv.Itoa(a.Load.Queued), upstreamState(u, s.Evacuations))
	}
	if err := t.flush(); err != nil {
		return err
	}
	return printEngines(w, s.Upstreams)
}

// evacuatedZones returns the names of the evacuated zones, sorted.
func evacuatedZones(list []wire.Evacuation) []string {
	var zones []string
	for _, e := range list {
		if e.Active {
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

func upstreamState(u wire.UpstreamStatus, evacuations []wire.Evacuation) string {
	switch {
	case u.Announcement.Leaving:
		return "leaving"
	case slices.Contains(evacuatedZones(evacuations), u.Announcement.Zone):
		return "evacuated"
	case u.Ejected:
		return "ejected"
	}
	return "serving"
}
