package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/roster"
	"plantainlane/wire"
)

// departureWait is how long the acknowledgement of a departure waits for its record. Upstreams that get no answer in a second ask
// another instance.
const departureWait = 800 * time.Millisecond

// toldDepartures is the number of departures that an instance is told when it starts. In a large region it passes them on.
const toldDepartures = 256

// ErrNotRecorded reports a departure that isn't known to be in the control log. The instances heed it while they run.
var ErrNotRecorded = errors.New("control: departure not recorded in time")

// leave records that an upstream leaves, and answers once that can't be forgotten.
func (c *Core) leave(in UpstreamLeft) {
	err := c.roster.Leave(in.ID, in.Credential, in.Incarnation, in.Sequence, c.now)
	if err != nil && !c.repeatsDeparture(err, in.ID, in.Incarnation) {
		in.Reply <- err
		return
	}
	if err == nil {
		c.dirty = true
		c.record(wire.Event{Kind: "upstreamLeaving", Upstream: &in.ID})
	}
	c.commitDeparture(in.ID, in.Reply)
}

// repeatsDeparture reports whether an upstream's message was refused only because its process is known to have departed. That may not
// be recorded yet.
func (c *Core) repeatsDeparture(err error, id string, incarnation int) bool {
	d, ok := c.roster.Departure(id)
	return errors.Is(err, roster.ErrStale) && ok && d.Incarnation == incarnation
}

// commitDeparture puts the known departure of an upstream into the control log, from which instances that start again learn of it. It
// replies ErrNotRecorded if that takes too long.
func (c *Core) commitDeparture(id string, reply chan<- error) {
	d, ok := c.roster.Departure(id)
	if !ok {
		reply <- errors.Wrapf(ErrNotRecorded, "upstream %s", id)
		return
	}
	c.propose(wire.Command{Depart: &d}, c.now.Add(departureWait), func(a wire.ProposeAnswer) {
		if !a.Committed {
			reply <- errors.Wrapf(ErrNotRecorded, "upstream %s: %s", id, a.Refusal)
			return
		}
		reply <- nil
	})
}

// mergeDepartures records departures that another instance sent, and returns those that were new.
func (c *Core) mergeDepartures(list []wire.Departure) []wire.Departure {
	var recorded []wire.Departure
	for _, d := range list {
		if c.roster.Depart(d, c.now) {
			recorded = append(recorded, d)
		}
	}
	return recorded
}

// restoreDepartures records the departures that the state holds.
func (c *Core) restoreDepartures() {
	if c.state == nil {
		return
	}
	for _, d := range c.state.Departures.All() {
		now := c.now
		if now.IsZero() {
			// Before the first step. What is too old is forgotten at the next expiry.
			now = time.UnixMilli(int64(d.AtMs))
		}
		c.roster.Depart(d, now)
	}
	c.dirty = true
}

// sendDepartures sends an instance the newest departures that the state holds.
func (c *Core) sendDepartures(to string) {
	if list := c.state.NewestDepartures(toldDepartures); len(list) > 0 {
		c.send(to, wire.Frame{Upstreams: &wire.UpstreamDelta{Departures: list}})
	}
}
