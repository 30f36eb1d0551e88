package route

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// announcement returns the first announcement of an upstream of the service "encode".
func announcement(id, zone string, capacity int) wire.Announcement {
	return wire.Announcement{
		ID: id, Service: "encode", Region: "r1", Zone: zone, Capacity: capacity, Incarnation: 1, Sequence: 1,
		Address: id + ":80",
	}
}

// announcements returns announcements of n upstreams in a zone, with the IDs ZONE-000, ZONE-001 and so on.
func announcements(n int, zone string, capacity int) []wire.Announcement {
	list := make([]wire.Announcement, n)
	for i := range list {
		list[i] = announcement(fmt.Sprintf("%s-%03d", zone, i), zone, capacity)
	}
	return list
}

// newBalancer returns a Balancer of zone a that has applied the announcements at epoch.
func newBalancer(list ...wire.Announcement) *Balancer {
	b := New(epoch, "r1", "a", WithRandom(rand.New(rand.NewPCG(1, 2)).Uint64))
	b.Apply(epoch, list...)
	return b
}

var encode = Query{Service: "encode"}

// afterSlowStart is a time at which the upstreams announced at epoch are past slow start.
var afterSlowStart = epoch.Add(2 * SlowStart)

func TestPickWeighsCapacity(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcement("small", "a", 10), announcement("large", "a", 30))
	counts := map[string]int{}
	for range 40 {
		target, ok := b.Pick(afterSlowStart, encode)
		is.True(ok)
		counts[target.ID]++
	}
	is.Equal(counts["large"], 30)
	is.Equal(counts["small"], 10)
}

// Upstreams of the same zone are preferred, but those of other zones must be used before the same zone's are full, so
// that calls don't wait there while others are idle.
func TestPickUsesOtherZoneBeforeZoneIsFull(t *testing.T) {
	is := is.New(t)
	b := newBalancer(append(announcements(4, "a", 10), announcements(4, "b", 10)...)...)
	zones := map[string]int{}
	for i := range 60 {
		target, _ := b.Pick(afterSlowStart, encode)
		zones[target.Zone]++
		if i == 29 {
			is.Equal(zones["b"], 0) // same zone only, up to three quarters of its capacity
		}
	}
	is.True(zones["b"] > 0)
	is.True(zones["a"] <= 40) // other zone used before the load exceeds the zone's capacity of 40
}

// Load reports are delayed. If Pick relied on them alone, it would send all calls to the upstream that was idle in the
// last report.
func TestPickCountsReportedLoadAndOwnCalls(t *testing.T) {
	is := is.New(t)
	busy := announcement("busy", "a", 10)
	b := newBalancer(busy, announcement("idle", "a", 10))
	for range 12 { // a report enters a moving average
		busy.Sequence++
		busy.Load.InFlight = 8
		b.Apply(afterSlowStart, busy)
	}
	counts := map[string]int{}
	for range 6 {
		target, _ := b.Pick(afterSlowStart, encode)
		counts[target.ID]++
	}
	is.Equal(counts["idle"], 6)
	for range 8 {
		target, _ := b.Pick(afterSlowStart, encode)
		counts[target.ID]++
	}
	is.True(counts["busy"] >= 2) // the calls sent since the report count too
}

// An upstream's report includes the calls of this instance. They must not count a second time as load of others.
func TestReportDoesNotCountOwnCallsTwice(t *testing.T) {
	is := is.New(t)
	only := announcement("only", "a", 10)
	b := newBalancer(only)
	for range 6 {
		b.Pick(afterSlowStart, encode)
	}
	for range 20 {
		b.Review(afterSlowStart)
	}
	only.Sequence, only.Load.InFlight = 2, 6
	b.Apply(afterSlowStart, only)
	load := b.index.get("only").load()
	is.True(load >= 6 && load < 6.1)
}

func TestPickHonoursModelAndAvoid(t *testing.T) {
	is := is.New(t)
	a, c := announcement("a", "a", 4), announcement("c", "a", 4)
	a.Models, c.Models = []string{"phrase@1"}, []string{"phrase@2", "tone@1"}
	b := newBalancer(a, c)
	tests := []struct {
		query Query
		want  string
	}{
		{Query{Service: "encode", Model: "phrase@1"}, "a"},
		{Query{Service: "encode", Model: "tone"}, "c"},
		{Query{Service: "encode", Model: "phrase", Avoid: []string{"a"}}, "c"},
		{Query{Service: "encode", Model: "phrase@3"}, ""},
		{Query{Service: "encode", Avoid: []string{"a", "c"}}, ""},
		{Query{Service: "none"}, ""},
	}
	for _, test := range tests {
		target, ok := b.Pick(afterSlowStart, test.query)
		is.Equal(target.ID, test.want)
		is.Equal(ok, test.want != "")
	}
	c.Sequence, c.Models = 2, []string{"phrase@3"}
	b.Apply(afterSlowStart, c)
	_, ok := b.Pick(afterSlowStart, Query{Service: "encode", Model: "tone@1"})
	is.True(!ok) // no longer served
	target, _ := b.Pick(afterSlowStart, Query{Service: "encode", Model: "phrase@3"})
	is.Equal(target.ID, "c")
}

// A delayed, repeated or newer announcement without the leaving mark must not make a leaving upstream accept work
// again. Only a new incarnation does.
func TestLeavingIsNeverPickedNorRevived(t *testing.T) {
	is := is.New(t)
	leaver, stays := announcement("gone", "a", 100), announcement("stays", "a", 1)
	b := newBalancer(leaver, stays)
	leaver.Sequence, leaver.Leaving = 2, true
	b.Apply(afterSlowStart, leaver)
	replayed := leaver
	replayed.Leaving = false
	b.Apply(afterSlowStart, replayed) // the same sequence again
	replayed.Sequence = 3
	b.Apply(afterSlowStart, replayed) // a newer sequence can't revoke leaving
	for range 50 {
		target, ok := b.Pick(afterSlowStart, encode)
		is.True(ok)
		is.Equal(target.ID, "stays")
	}
	replayed.Incarnation, replayed.Sequence = 2, 1
	b.Apply(afterSlowStart, replayed) // a restarted upstream has a new incarnation
	_, ok := b.Pick(afterSlowStart, Query{Service: "encode", Avoid: []string{"stays"}})
	is.True(ok)
}

func TestRemovedUpstreamIsNotPicked(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcements(3, "a", 4)...)
	b.Remove("a-000", "a-001", "a-002", "unknown")
	_, ok := b.Pick(afterSlowStart, encode)
	is.True(!ok)
}

// A new upstream has the least load, so without slow start Pick would prefer it to all others until it is as
// loaded as they are.
func TestNewUpstreamStartsSlowly(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcements(10, "a", 10)...)
	for range 50 {
		b.Pick(afterSlowStart, encode)
	}
	b.Apply(afterSlowStart, announcement("new", "a", 10))
	picks := 0
	for range 33 {
		target, _ := b.Pick(afterSlowStart.Add(100*time.Millisecond), encode)
		if target.ID == "new" {
			picks++
		}
	}
	is.True(picks <= 3) // a tenth of its capacity, which is no more than its fair share
}

// A cache hint must draw calls to its upstream, but not beyond the load at which the upstream counts as saturated.
func TestCacheHintYieldsUnderLoad(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcements(20, "a", 10)...)
	q := Query{Service: "encode", Hints: []Hint{{Upstream: "a-007", Share: 1}}}
	counts := map[string]int{}
	for range 100 {
		target, _ := b.Pick(afterSlowStart, q)
		counts[target.ID]++
	}
	is.True(counts["a-007"] >= 5) // far above the fair share
	is.True(counts["a-007"] <= 9) // the hint has no effect beyond saturation
}

func TestRoundRobin(t *testing.T) {
	is := is.New(t)
	b := New(epoch, "r1", "a", WithRoundRobin())
	b.Apply(epoch, append(announcements(2, "a", 1), announcements(2, "b", 9)...)...)
	counts := map[string]int{}
	for range 8 {
		target, ok := b.Pick(epoch, encode)
		is.True(ok)
		counts[target.ID]++
	}
	is.Equal(counts, map[string]int{"a-000": 2, "a-001": 2, "b-000": 2, "b-001": 2})
}

// Picks, ends of calls, announcements and reviews run concurrently. Afterwards no ejection and no call in flight may
// stay counted.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	b := New(epoch, "r1", "a")
	list := announcements(20, "a", 4)
	b.Apply(epoch, list...)
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			for i := range 2000 {
				target, ok := b.Pick(afterSlowStart, encode)
				if ok {
					target.Done(afterSlowStart, Outcome{Result: Result((i + worker) % 4), Latency: time.Millisecond})
				}
			}
		})
	}
	for i := range 200 {
		changed := list[i%20]
		changed.Incarnation, changed.Sequence = 2+i/20, i
		b.Apply(afterSlowStart, changed)
		b.Review(afterSlowStart.Add(time.Duration(i) * time.Second))
	}
	wg.Wait()
	b.Review(afterSlowStart.Add(time.Hour))
	b.Review(afterSlowStart.Add(2 * time.Hour))
	s := b.service("encode")
	is.Equal(s.ejectedCount.Load(), int32(0))
	for _, u := range s.members {
		is.Equal(u.inFlight.Load(), int32(0))
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{100, 12000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			balancer := New(epoch, "r1", "a")
			balancer.Apply(epoch, announcements(n, "a", 16)...)
			for _, u := range balancer.service("encode").members {
				u.observeLatency(float64(time.Millisecond))
			}
			balancer.Review(afterSlowStart)
			b.ReportAllocs()
			for b.Loop() {
				target, _ := balancer.Pick(afterSlowStart, encode)
				target.Done(afterSlowStart, Outcome{Latency: time.Millisecond})
			}
		})
	}
}

func BenchmarkApplyOne(b *testing.B) {
	for _, kind := range []string{"load", "membership"} {
		b.Run(kind, func(b *testing.B) {
			balancer := New(epoch, "r1", "a")
			list := announcements(12000, "a", 16)
			balancer.Apply(epoch, list...)
			changed := list[5000]
			for b.Loop() {
				changed.Sequence++
				if kind == "membership" {
					changed.Incarnation++
				}
				balancer.Apply(afterSlowStart, changed)
			}
		})
	}
}

// Sessions share preferred upstreams that have a few calls more than the others. A preferred upstream must be passed
// over only if its load exceeds the best one's by more than the slack, and then for the next preferred upstream.
// Otherwise sessions would lose their cached prefixes at each small difference of load.
func TestPreferredUpstreamIsKeptWithinSlack(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcements(4, "a", 64)...)
	q := Query{Service: "encode", Preferred: []string{"a-002", "a-001"}, PreferredSlack: 3}
	counts := map[string]int{}
	for range 8 {
		target, ok := b.Pick(afterSlowStart, q)
		is.True(ok)
		counts[target.ID]++
	}
	is.Equal(counts["a-002"], 4) // the slack of 3, and the first call
	is.Equal(counts["a-001"], 4)
}

// Sessions have streams of different lengths. An upstream whose session has long streams has twice the latency of the
// others though it is healthy, and must stay preferred. One with more than maxPreferredSlowdown must be passed over.
func TestPreferredUpstreamWithLongAnswersIsKept(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcements(8, "a", 64)...)
	now := afterSlowStart
	answer := func(preferred string, latency time.Duration) {
		target, ok := b.Pick(now, Query{Service: "encode", Preferred: []string{preferred}, PreferredSlack: 9})
		is.True(ok)
		is.Equal(target.ID, preferred)
		target.Done(now, Outcome{Result: Success, Latency: latency})
	}
	for range 20 {
		for i := range 8 {
			latency := time.Second
			if i == 2 {
				latency = 2 * time.Second
			}
			answer(fmt.Sprintf("a-%03d", i), latency)
		}
		now = now.Add(ReviewInterval)
		b.Review(now)
	}
	answer("a-002", 8*time.Second)
	target, ok := b.Pick(now, Query{Service: "encode", Preferred: []string{"a-002"}, PreferredSlack: 9})
	is.True(ok)
	is.True(target.ID != "a-002")
}

// One long stream is in flight at an upstream, and no other call ends there. While events of the stream are received,
// the upstream must not count as slow. When they cease, it must count as slow.
func TestStreamEventsCountAsProgress(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcements(8, "a", 64)...)
	now := afterSlowStart
	for i := range 8 {
		target, _ := b.Pick(now, Query{Service: "encode", Preferred: []string{fmt.Sprintf("a-%03d", i)}, PreferredSlack: 9})
		target.Done(now, Outcome{Result: Success, Latency: time.Second})
	}
	b.Review(now)
	query := Query{Service: "encode", Preferred: []string{"a-002"}, PreferredSlack: 9}
	stream, _ := b.Pick(now, query)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		stream.Progressed(now)
		target, ok := b.Pick(now, query)
		is.True(ok)
		is.Equal(target.ID, "a-002")
		target.Done(now, Outcome{Result: Cancelled})
	}
	now = now.Add(5 * time.Second) // no events
	target, ok := b.Pick(now, query)
	is.True(ok)
	is.True(target.ID != "a-002")
}

// An upstream that already failed the request must not be chosen again, even if it is preferred.
func TestAvoidedPreferredUpstreamIsNotPicked(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcements(4, "a", 64)...)
	target, ok := b.Pick(afterSlowStart, Query{Service: "encode", Preferred: []string{"a-002"}, PreferredSlack: 9, Avoid: []string{"a-002"}})
	is.True(ok)
	is.True(target.ID != "a-002")
}

// TestSharedLoadDecays guards against an upstream that is avoided for good for a load of which no instance hears any more, since
// none sends it requests.
func TestSharedLoadDecays(t *testing.T) {
	is := is.New(t)
	list := announcements(2, "a", 8)
	b := newBalancer(list...)
	now := afterSlowStart
	b.ObserveLoad(list[0].ID, wire.UpstreamLoad{InFlight: 20, Pace: 100}, now)
	u := b.index.get(list[0].ID)
	load := u.load()
	is.True(load > 5)
	b.ObserveLoad(list[0].ID, wire.UpstreamLoad{InFlight: 90, Pace: 100}, now.Add(-time.Millisecond)) // older
	is.Equal(u.load(), load)
	for range 40 {
		now = now.Add(ReviewInterval)
		b.Review(now)
	}
	is.True(u.load() < 0.5)
}
