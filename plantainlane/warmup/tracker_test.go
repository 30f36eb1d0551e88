package warmup

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/site"
	"plantainlane/wire"
)

// fixture is a Tracker with a roster, in simulated time. It is the Tracker's Balancer.
type fixture struct {
	*Tracker
	roster     *roster.Roster
	now, ended time.Time
	told       time.Time
}

func (f *fixture) SetCold(_ time.Time, _ string, _ int, until time.Time) bool {
	f.told = until
	return true
}

func newFixture() *fixture {
	f := &fixture{roster: roster.New(), now: time.Unix(1000, 0)}
	f.Tracker = New(f.now, f, func(string) time.Time { return f.ended })
	f.SetServices(map[string]*site.Service{"s": {Warmup: site.Warmup{Time: 3 * time.Second, PerSecond: 8.9}}, "t": {}})
	return f
}

var peer = quota.Peer{Address: "a", ID: "u", Incarnation: 1}

// announce announces the peer after a time, and returns for how long it is still cold.
func (f *fixture) announce(afterMs int, service string, leftMs int) int {
	f.now = f.now.Add(time.Duration(afterMs) * time.Millisecond)
	_ = f.roster.Announce(wire.Announcement{
		ID: "u", Service: service, Zone: "z", Address: "a", Incarnation: 1, Sequence: int(f.now.UnixMilli()), TTLMs: 4000, WarmupLeftMs: leftMs,
	}, "", f.now)
	f.Refresh(f.now, f.roster.TakeNew(), nil, f.roster.View())
	return f.left()
}

// pass lets time pass with a Refresh each 100 ms, and returns for how long the peer is still cold.
func (f *fixture) pass(ms int) int {
	for ; ms > 0; ms -= 100 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.Refresh(f.now, nil, nil, f.roster.View())
	}
	return f.left()
}

// left returns for how many milliseconds the peer is still cold.
func (f *fixture) left() int {
	if w, ok := f.Warmup(f.now, peer); ok {
		return int(w.Until.Sub(f.now).Milliseconds())
	}
	return 0
}

// TestWarmupsAreKnown guards against an upstream whose warm-up isn't known from its announcements or answers, or is kept after
// its end, and against an instance that stood still and sends at once to upstreams that turned cold meanwhile.
func TestWarmupsAreKnown(t *testing.T) {
	is, f := is.New(t), newFixture()
	is.Equal(f.announce(0, "s", 3000), 3000)
	w, _ := f.Warmup(f.now, quota.Peer{Address: "a"}) // to whatever process has the address
	is.Equal(w.PerSecond, 8.9)
	is.Equal(f.announce(1000, "s", 2000), 2000)
	is.Equal(f.announce(1000, "s", 0), 0) // earlier than it had said
	is.Equal(f.told, f.now)
	f.Observe(peer, f.now.Add(time.Second))
	f.Observe(quota.Peer{Address: "a", ID: "u", Incarnation: 2}, f.now.Add(time.Minute))
	is.Equal(f.left(), 1000)
	is.Equal(f.pass(1000), 0)
	is.Equal(f.Stats(), Stats{Begun: 2, Ended: 2})
	f.now = f.now.Add(3 * time.Second) // frozen
	is.True(f.left() > 0)
	is.True(f.pass(100) > 0) // announcements are still to arrive
	is.Equal(f.pass(500), 0)
}

// TestUpstreamsAreColdAfterEvacuation guards against requests to upstreams that have turned cold during an evacuation and
// haven't said so yet, and against upstreams that are taken for cold after they have said that they are warm.
func TestUpstreamsAreColdAfterEvacuation(t *testing.T) {
	is, f := is.New(t), newFixture()
	f.announce(0, "s", 0)
	f.ended = f.now.Add(100 * time.Millisecond)
	is.Equal(f.pass(100), 3000)
	is.Equal(f.announce(200, "s", 0), 2800) // may have been made before the end
	is.Equal(f.announce(1000, "s", 0), 0)
	f.ended = f.now.Add(100 * time.Millisecond)
	is.Equal(f.pass(1000), 2100)
	is.Equal(f.pass(2100), 0) // no announcement has arrived
}

// TestServicesWithoutWarmupAreUnchanged guards against limits in deployments whose configuration names no warm-up.
func TestServicesWithoutWarmupAreUnchanged(t *testing.T) {
	is, f := is.New(t), newFixture()
	is.Equal(f.announce(0, "t", 3000), 0)
	f.ended = f.now
	is.Equal(f.pass(100), 0)
	f.now = f.now.Add(3 * time.Second) // frozen
	is.Equal(f.left(), 0)
	is.True(f.told.IsZero())
}
