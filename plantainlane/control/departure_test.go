package control

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// departures is a cluster of a leader "a" and followers "b" and "c", and an upstream that leaves.
type departures struct {
	*grantCluster
	t *testing.T
}

func newDepartures(t *testing.T) *departures {
	d := &departures{newGrantCluster(grantContract(50, 100, 50), "a", "b", "c"), t}
	d.run(time.Second)
	return d
}

// announcement returns an announcement of the upstream.
func (d *departures) announcement(sequence int) wire.Announcement {
	return wire.Announcement{ID: "u", Service: "s", Address: "10.0.0.1:80", Zone: "z", Incarnation: 7, Sequence: sequence, TTLMs: 1000, Capacity: 1}
}

// announce lets an announcement arrive at an instance.
func (d *departures) announce(id string, a wire.Announcement) {
	d.step(id, UpstreamAnnounced{Announcement: a, Reply: make(chan error, 1)})
}

// leave lets the upstream leave at an instance, and reports whether that is acknowledged within a second.
func (d *departures) leave(id string, sequence int) bool {
	reply := make(chan error, 1)
	d.step(id, UpstreamLeft{ID: "u", Incarnation: 7, Sequence: sequence, Reply: reply})
	d.run(time.Second)
	select {
	case err := <-reply:
		return err == nil
	default:
		return false
	}
}

// restart starts an instance again. Its followers know nothing, the leader what its log holds.
func (d *departures) restart(id string) {
	var options []Option
	if id == "a" {
		stored, err := d.cores[id].state.Encode()
		if err != nil {
			d.t.Fatal(err)
		}
		s, err := state.Decode(stored)
		if err != nil {
			d.t.Fatal(err)
		}
		options = append(options, WithLog(NewSolo(id, 2), s, d.cores[id].appliedIndex))
	}
	d.cores[id] = New(wire.InstanceInfo{ID: id, Incarnation: 2}, options...)
	for other := range d.cores {
		if other != id {
			d.step(id, PeerConnected{Info: wire.InstanceInfo{ID: other}})
			d.step(other, PeerLost{ID: id})
			d.step(other, PeerConnected{Info: wire.InstanceInfo{ID: id}})
		}
	}
}

// requireGone checks that no instance uses the upstream.
func (d *departures) requireGone() {
	d.t.Helper()
	for id, c := range d.cores {
		if row, ok := c.roster.View().Rows.Get("u"); ok && row.Usable() {
			d.t.Errorf("upstream is used at %s", id)
		}
	}
}

// TestDepartedUpstreamIsRevived guards against an upstream whose departure was acknowledged and which a late announcement of the same
// process brings back: at an instance that didn't know it, has started since, or hasn't heard of the departure.
func TestDepartedUpstreamIsRevived(t *testing.T) {
	const expired = 3 * time.Second
	for name, events := range map[string]func(d *departures){
		"unknown upstream": func(d *departures) {
			is.New(d.t).True(d.leave("b", 2))
		},
		"unknown upstream, long ago": func(d *departures) {
			is.New(d.t).True(d.leave("b", 2))
			d.run(time.Minute)
		},
		"known upstream, expired": func(d *departures) {
			d.announce("a", d.announcement(1))
			is.New(d.t).True(d.leave("b", 2))
			d.run(expired)
		},
		"instance started since": func(d *departures) {
			d.announce("a", d.announcement(1))
			is.New(d.t).True(d.leave("b", 2))
			d.run(expired)
			d.restart("c")
		},
		"all instances started since": func(d *departures) {
			d.announce("a", d.announcement(1))
			is.New(d.t).True(d.leave("b", 2))
			for _, id := range []string{"a", "b", "c"} {
				d.restart(id)
			}
		},
		"all instances started since, draining": func(d *departures) {
			last := d.announcement(2)
			last.Leaving = true
			d.announce("b", last)
			d.run(time.Second)
			for _, id := range []string{"a", "b", "c"} {
				d.restart(id)
			}
		},
		"instance cut off until it has expired": func(d *departures) {
			d.announce("a", d.announcement(1))
			d.isLost = func(from string, o Outbound) bool { return from == "c" || o.To == "c" }
			is.New(d.t).True(d.leave("b", 2))
			d.run(expired)
			d.isLost = nil
		},
	} {
		for _, at := range []string{"a", "b", "c"} {
			t.Run(name+", at "+at, func(t *testing.T) {
				d := newDepartures(t)
				events(d)
				d.announce(at, d.announcement(1))
				d.run(200 * time.Millisecond)
				d.requireGone()
				d.run(2 * time.Second)
				d.requireGone()
			})
		}
	}
}

// TestDepartureIsAcknowledgedUnrecorded guards against a departure that is acknowledged though no quorum has recorded it, so that it's
// forgotten when all instances start again.
func TestDepartureIsAcknowledgedUnrecorded(t *testing.T) {
	is := is.New(t)
	d := newDepartures(t)
	d.isLost = func(_ string, o Outbound) bool { return o.To == "a" }
	is.True(!d.leave("b", 2))
	d.announce("c", d.announcement(1))
	d.run(200 * time.Millisecond)
	is.True(!d.usable("b")) // it's heeded all the same
	d.isLost = nil
	is.True(d.leave("b", 2)) // sent again
	is.True(d.leave("c", 1)) // of the same process, later than the first

	d = newDepartures(t)
	last := d.announcement(2)
	last.Leaving = true
	d.isLost = func(_ string, o Outbound) bool { return o.To == "a" }
	for range 2 { // sent again unchanged
		reply := make(chan error, 1)
		d.step("b", UpstreamAnnounced{Announcement: last, Reply: reply})
		d.run(time.Second)
		is.True(errors.Is(<-reply, ErrNotRecorded))
	}
}

// usable reports whether an instance uses the upstream.
func (d *departures) usable(id string) bool {
	row, ok := d.cores[id].roster.View().Rows.Get("u")
	return ok && row.Usable()
}

// TestDepartureHidesNextProcess guards against an upstream that starts again under its ID and isn't used, because the process before has
// departed.
func TestDepartureHidesNextProcess(t *testing.T) {
	is := is.New(t)
	d := newDepartures(t)
	is.True(d.leave("b", 2))
	next := d.announcement(1)
	next.Incarnation, next.TTLMs = 8, 60_000
	d.announce("c", next)
	d.run(200 * time.Millisecond)
	for id := range d.cores {
		is.True(d.usable(id))
	}
	is.True(d.leave("b", 9)) // late, of the process before
	for id := range d.cores {
		is.True(d.usable(id))
	}
}

// TestDeparturesAreForgotten guards against departures that fill the memory of all instances, or are passed round for ever.
func TestDeparturesAreForgotten(t *testing.T) {
	is := is.New(t)
	d := newDepartures(t)
	is.True(d.leave("b", 2))
	d.run(11 * time.Minute)
	for _, c := range d.cores {
		is.Equal(c.roster.Departures(), 0)
	}
	is.True(d.leave("b", 2)) // another one lets the log forget the first
	is.Equal(d.cores["a"].state.Departures.Len(), 1)
}
