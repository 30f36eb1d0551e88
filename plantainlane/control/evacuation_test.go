package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// order proposes an order for zone "z" at an instance, against the state that it knows, and reports whether it is confirmed within
// 2 s. cancelled may be nil.
func (d *departures) order(id string, isActive bool, cancelled <-chan struct{}) bool {
	known, _ := d.cores[id].config.Evacuations.Get("z")
	reply := make(chan wire.ProposeAnswer, 1)
	order := wire.EvacuationOrder{Zone: "z", Active: isActive, BaseVersion: known.Version}
	d.step(id, Proposed{Command: wire.Command{Evacuate: &order}, Until: d.now.Add(time.Second), Cancelled: cancelled, Reply: reply})
	if len(reply) == 0 {
		d.run(2 * time.Second)
	}
	a := <-reply
	return a.Committed && a.Evacuation.Active == isActive
}

// TestInstanceLearnsOfEvacuationLate guards against an instance that doesn't obey an order at once because a push of the configuration
// is under way, or within an interval of lease requests because frames were lost.
func TestInstanceLearnsOfEvacuationLate(t *testing.T) {
	for name, c := range map[string]struct {
		isLost func(f wire.Frame) bool
		within time.Duration
	}{
		"push under way":     {func(f wire.Frame) bool { return f.Config != nil }, 0},
		"update lost":        {func(f wire.Frame) bool { return f.Evacuations != nil }, 1200 * time.Millisecond},
		"pushes and updates": {func(f wire.Frame) bool { return f.Config != nil || f.Evacuations != nil }, 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDepartures(t)
			d.isLost = func(_ string, o Outbound) bool { return o.To == "c" && c.isLost(o.Frame) }
			for _, isActive := range []bool{true, false} {
				is.True(d.order("b", isActive, nil))
				d.run(c.within)
				for _, core := range d.cores {
					v, _ := core.View()
					is.Equal(v.IsEvacuated("z"), isActive)
				}
			}
		})
	}
}

// TestOrderInForceIsConfirmedLocally guards against a repeated order that is acknowledged without the leader, by a state that may be
// old, and against one whose caller is gone that is proposed once there is a leader again.
func TestOrderInForceIsConfirmedLocally(t *testing.T) {
	is := is.New(t)
	d := newDepartures(t)
	is.True(d.order("b", true, nil))
	d.isLost = func(from string, o Outbound) bool { return from == "b" || o.To == "b" }
	is.True(!d.order("b", true, nil))
	d.isLost = nil
	gone := make(chan struct{})
	close(gone)
	is.True(!d.order("b", false, gone))
	is.True(d.cores["a"].config.IsEvacuated("z"))
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
	is.True(d.order("b", false, nil)) // ends nothing
	is.True(ended("b").IsZero())
	d.isLost = func(_ string, o Outbound) bool { return o.To == "c" }
	is.True(d.order("b", true, nil))
	is.True(d.order("b", false, nil))
	is.Equal(ended("b"), d.now)
	is.True(ended("c").IsZero())
	d.isLost = nil
	d.run(2 * time.Second)
	learned := ended("c")
	is.True(d.now.Sub(learned) <= 2*time.Second)
	d.restart("c")
	d.run(2 * time.Second)
	is.True(ended("c").After(learned))
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
		is.True(d.order("a", isActive, nil))
		for range leader.engines() {
			is.True(!isActive)
		}
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
	for _, period := range []time.Duration{2 * time.Second, 3 * time.Second} {
		delete(d.cores, "c")
		d.run(period)
		d.cores["c"] = frozen
		d.isLost = func(from string, _ Outbound) bool { return from == "c" }
		d.step("c")
		v, _ := frozen.View()
		is.Equal(v.HeldUntil.Equal(d.now.Add(maxHold)), period == 3*time.Second)
		d.isLost = nil
		d.run(1200 * time.Millisecond)
		v, _ = frozen.View()
		is.True(v.HeldUntil.IsZero())
	}
	l := NewLoop(frozen, nil, nil, nil)
	for _, ago := range []time.Duration{0, 3 * time.Second} {
		at := time.Now().Add(-ago)
		l.steppedAt.Store(&at)
		is.Equal(l.IsHeld(), ago > 0)
	}
}
