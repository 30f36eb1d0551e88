package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// order proposes an order for zone "z" at an instance, against the state that it knows, and reports whether it is confirmed within
// a second.
func (d *departures) order(id string, isActive bool) bool {
	known, _ := d.cores[id].config.Evacuations.Get("z")
	reply := make(chan wire.ProposeAnswer, 1)
	d.step(id, Proposed{
		Command: wire.Command{Evacuate: &wire.EvacuationOrder{Zone: "z", Active: isActive, BaseVersion: known.Version}},
		Until:   d.now.Add(time.Second), Reply: reply,
	})
	select {
	case a := <-reply:
		return a.Committed && a.Evacuation.Active == isActive
	default:
		d.run(2 * time.Second)
		return (<-reply).Committed
	}
}

// requireEvacuated checks whether all instances take the zone for evacuated.
func (d *departures) requireEvacuated(want bool) {
	d.t.Helper()
	for id, c := range d.cores {
		if v, _ := c.View(); v.IsEvacuated("z") != want {
			d.t.Errorf("evacuated at %s: %v, expected %v", id, !want, want)
		}
	}
}

// TestInstanceLearnsOfEvacuationLate guards against an instance that doesn't obey an order at once because a frame was lost or a push
// of the configuration is under way, or at all because it was cut off or starts later.
func TestInstanceLearnsOfEvacuationLate(t *testing.T) {
	const leaseInterval = 1200 * time.Millisecond
	toC := func(isLost func(f wire.Frame) bool) func(d *departures) {
		return func(d *departures) {
			d.isLost = func(_ string, o Outbound) bool { return o.To == "c" && isLost(o.Frame) }
		}
	}
	for name, c := range map[string]struct {
		before, after func(d *departures)
		within        time.Duration
	}{
		"nothing lost":       {},
		"push under way":     {before: toC(func(f wire.Frame) bool { return f.Config != nil })},
		"update lost":        {before: toC(func(f wire.Frame) bool { return f.Evacuations != nil }), within: leaseInterval},
		"pushes and updates": {before: toC(func(f wire.Frame) bool { return f.Config != nil || f.Evacuations != nil }), within: leaseInterval},
		"cut off": {
			before: toC(func(wire.Frame) bool { return true }), within: leaseInterval,
			after: func(d *departures) { d.run(10 * time.Second); d.isLost = nil },
		},
		"starts later": {after: func(d *departures) { d.restart("c") }, within: leaseInterval},
		"all start again": {after: func(d *departures) {
			for _, id := range []string{"a", "b", "c"} {
				d.restart(id)
			}
		}, within: leaseInterval},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDepartures(t)
			for _, isActive := range []bool{true, false} {
				if c.before != nil {
					c.before(d)
				}
				is.New(t).True(d.order("b", isActive))
				if c.after != nil {
					c.after(d)
				}
				d.run(c.within)
				d.requireEvacuated(isActive)
			}
		})
	}
}

// TestOrderInForceIsConfirmedLocally guards against a repeated order that is acknowledged without the leader, by a state that may be
// old, and against one that a caller has given up and that is proposed once there is a leader again.
func TestOrderInForceIsConfirmedLocally(t *testing.T) {
	is := is.New(t)
	d := newDepartures(t)
	is.True(d.order("b", true))
	d.isLost = func(from string, o Outbound) bool { return from == "b" || o.To == "b" }
	is.True(!d.order("b", true))
	given := make(chan struct{})
	reply := make(chan wire.ProposeAnswer, 1)
	d.cores["b"].leader = ""
	d.step("b", Proposed{
		Command: wire.Command{Evacuate: &wire.EvacuationOrder{Zone: "z", BaseVersion: 1}},
		Until:   d.now.Add(time.Minute), Cancelled: given, Reply: reply,
	})
	close(given)
	d.isLost = nil
	d.run(3 * time.Second)
	is.Equal((<-reply).Refusal, RefusedNoLeader)
	d.requireEvacuated(true)
}

// TestEndOfEvacuationIsMissed guards against an instance that doesn't know when it learned of the end of an evacuation, because it
// was cut off during all of it or started afterwards: upstreams may have turned cold.
func TestEndOfEvacuationIsMissed(t *testing.T) {
	is := is.New(t)
	d := newDepartures(t)
	ended := func(id string) time.Time {
		v, _ := d.cores[id].View()
		return v.EvacuationEnded("z")
	}
	is.True(d.order("b", false)) // ends nothing
	is.True(ended("b").IsZero())
	d.isLost = func(_ string, o Outbound) bool { return o.To == "c" }
	is.True(d.order("b", true))
	is.True(d.order("b", false))
	is.Equal(ended("b"), d.now)
	is.True(ended("c").IsZero())
	d.isLost = nil
	d.run(2 * time.Second)
	learned := ended("c")
	is.True(d.now.Sub(learned) <= 2*time.Second)
	d.restart("c")
	d.run(2 * time.Second)
	is.True(ended("c").After(learned))
	is.True(d.order("b", false)) // doesn't end again
	is.Equal(ended("a"), ended("b"))
	is.True(d.now.Sub(ended("a")) > 2*time.Second)
}

// TestEvacuatedEngineIsOrdered guards against engines of an evacuated zone that get orders, and against their ends, when operators stop
// the zone, as evidence against content.
func TestEvacuatedEngineIsOrdered(t *testing.T) {
	is := is.New(t)
	d := newDepartures(t)
	a := d.announcement(1)
	a.Role, a.TTLMs = "both", 60_000
	d.announce("a", a)
	leader := d.cores["a"]
	for _, isActive := range []bool{true, false} {
		is.True(d.order("a", isActive))
		engines := 0
		for range leader.engines() {
			engines++
		}
		is.Equal(engines == 0, isActive)
		is.Equal(rosterUpstreams{leader}.IsLeaving("u", 7), isActive)
	}
}

// TestFrozenInstanceSendsByOldView guards against an instance that stood still while a zone was evacuated and sends by what it knew
// before, and against one that sends nothing for long because no leader answers.
func TestFrozenInstanceSendsByOldView(t *testing.T) {
	is := is.New(t)
	d := newDepartures(t)
	frozen := d.cores["c"]
	frozen.timing.ObeyWithin = 5 * time.Second
	heldUntil := func() time.Time {
		v, _ := frozen.View()
		return v.HeldUntil
	}
	freeze := func(period time.Duration) {
		delete(d.cores, "c")
		d.run(period)
		d.cores["c"] = frozen
	}
	freeze(2 * time.Second)
	d.step("c")
	is.True(heldUntil().IsZero())
	freeze(3 * time.Second)
	d.isLost = func(from string, _ Outbound) bool { return from == "c" }
	d.step("c")
	is.Equal(heldUntil(), d.now.Add(maxHold))
	d.isLost = nil
	d.run(1200 * time.Millisecond)
	is.True(heldUntil().IsZero())
	l := NewLoop(frozen, nil, nil, nil)
	before, now := time.Now().Add(-3*time.Second), time.Now()
	l.steppedAt.Store(&before)
	is.True(l.IsHeld()) // no step has run since it was frozen
	l.steppedAt.Store(&now)
	is.True(!l.IsHeld())
}
