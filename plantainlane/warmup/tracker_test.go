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
	roster *roster.Roster
	now    time.Time
	// ended is the end of the evacuation of each zone.
	ended time.Time
	// told holds what the balancer was told.
	told []time.Time
}

func (f *fixture) SetCold(_ time.Time, _ string, _ int, until time.Time) bool {
	f.told = append(f.told, until)
	return true
}

var services = map[string]*site.Service{
	"s": {Warmup: site.Warmup{Time: 3 * time.Second, PerSecond: 8.9}},
	"t": {},
}

func newFixture() *fixture {
	f := &fixture{roster: roster.New(), now: time.Unix(1000, 0)}
	f.Tracker = New(f.now, f, func(string) time.Time { return f.ended })
	f.SetServices(services)
	return f
}

// announce announces the upstream "u" of a service after a time.
func (f *fixture) announce(after time.Duration, service string, sequence int, left time.Duration) {
	f.now = f.now.Add(after)
	_ = f.roster.Announce(wire.Announcement{
		ID: "u", Service: service, Zone: "z", Address: "a", Incarnation: 1, Sequence: sequence, TTLMs: 4000,
		WarmupLeftMs: int(left.Milliseconds()),
	}, "", f.now)
	f.Refresh(f.now, f.roster.TakeNew(), nil, f.roster.View())
}

// pass lets time pass with a Refresh each 100 ms.
func (f *fixture) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(100 * time.Millisecond)
		f.Refresh(f.now, nil, nil, f.roster.View())
	}
}

// left returns for how long the upstream is still cold.
func (f *fixture) left() time.Duration {
	w, ok := f.Warmup(f.now, quota.Peer{Address: "a", ID: "u", Incarnation: 1})
	byAddress, okByAddress := f.Warmup(f.now, quota.Peer{Address: "a"})
	if ok != okByAddress || ok && (w != byAddress || w.PerSecond != 8.9) {
		return -1
	}
	if !ok {
		return 0
	}
	return w.Until.Sub(f.now)
}

// TestAnnouncementsTellWarmups guards against an upstream whose warm-up isn't known, or is kept after its end.
func TestAnnouncementsTellWarmups(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.announce(0, "s", 1, 3*time.Second)
	is.Equal(f.left(), 3*time.Second)
	f.announce(time.Second, "s", 2, 2*time.Second)
	is.Equal(f.left(), 2*time.Second)
	f.announce(time.Second, "s", 3, 0) // earlier than it had said
	is.Equal(f.left(), time.Duration(0))
	is.Equal(f.told[len(f.told)-1], f.now)
	f.announce(time.Second, "s", 4, time.Second)
	f.pass(2 * time.Second)
	is.Equal(f.left(), time.Duration(0))
	is.Equal(f.Stats(), Stats{Begun: 2, Ended: 2})
	f.announce(0, "s", 5, time.Second)
	f.Refresh(f.now, nil, []string{"u"}, roster.View{})
	is.Equal(f.left(), time.Duration(0)) // it is gone
}

// TestAnswersTellWarmups guards against an upstream that says in an answer that it is cold, before its announcement, and
// against an answer that outlasts the announcements.
func TestAnswersTellWarmups(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	peer := quota.Peer{Address: "a", ID: "u", Incarnation: 1}
	f.Observe(peer, f.now.Add(time.Second)) // an unknown upstream
	is.Equal(f.left(), time.Duration(0))
	f.announce(0, "s", 1, 0)
	f.Observe(peer, f.now.Add(time.Second))
	f.Observe(quota.Peer{Address: "a", ID: "u", Incarnation: 2}, f.now.Add(time.Minute))
	is.Equal(f.left(), time.Second)
	f.announce(500*time.Millisecond, "s", 2, 0)
	is.Equal(f.left(), time.Duration(0))
}

// TestUpstreamsAreColdAfterEvacuation guards against requests to upstreams that have turned cold during an evacuation and
// haven't said so yet, and against upstreams that are taken for cold after they have said that they are warm.
func TestUpstreamsAreColdAfterEvacuation(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.announce(0, "s", 1, 0)
	f.ended = f.now.Add(100 * time.Millisecond)
	f.pass(100 * time.Millisecond)
	is.Equal(f.left(), 3*time.Second)
	f.announce(200*time.Millisecond, "s", 2, 0) // may have been made before the end
	is.Equal(f.left(), 2800*time.Millisecond)
	f.announce(time.Second, "s", 3, 0)
	is.Equal(f.left(), time.Duration(0))
	f.ended = f.now
	f.pass(100 * time.Millisecond)
	f.announce(0, "s", 4, 5*time.Second)
	is.Equal(f.left(), 5*time.Second)
	f.ended = f.now.Add(time.Second)
	f.pass(10 * time.Second) // no announcement arrives
	is.Equal(f.left(), time.Duration(0))
}

// TestFrozenInstanceKnowsNothing guards against an instance that stood still and sends at once to upstreams that turned cold
// meanwhile.
func TestFrozenInstanceKnowsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.announce(0, "s", 1, 0)
	f.now = f.now.Add(3 * time.Second)
	_, isCold := f.Warmup(f.now, quota.Peer{Address: "a", ID: "u", Incarnation: 1})
	is.True(isCold)
	f.pass(100 * time.Millisecond)
	_, isCold = f.Warmup(f.now, quota.Peer{Address: "a", ID: "u", Incarnation: 1})
	is.True(isCold) // announcements are still to arrive
	f.pass(catchUp)
	is.Equal(f.left(), time.Duration(0))
}

// TestServicesWithoutWarmupAreUnchanged guards against limits in deployments whose configuration names no warm-up.
func TestServicesWithoutWarmupAreUnchanged(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.announce(0, "t", 1, 3*time.Second)
	is.Equal(f.left(), time.Duration(0))
	f.ended = f.now
	f.pass(100 * time.Millisecond)
	f.now = f.now.Add(3 * time.Second) // frozen
	is.Equal(f.left(), time.Duration(0))
	is.Equal(f.told, nil)
	is.Equal(f.Stats().Begun, int64(0))
}
