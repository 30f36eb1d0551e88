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

func row(id, zone string, capacity int) wire.Announcement {
	return wire.Announcement{
		ID: id, Service: "encode", Region: "r1", Zone: zone, Capacity: capacity, Incarnation: 1, Sequence: 1,
		Address: id + ":80",
	}
}

func rows(n int, zone string, capacity int) []wire.Announcement {
	list := make([]wire.Announcement, n)
	for i := range list {
		list[i] = row(fmt.Sprintf("%s-%03d", zone, i), zone, capacity)
	}
	return list
}

func newBalancer(rows ...wire.Announcement) *Balancer {
	b := New(epoch, "r1", "a", WithRandom(rand.New(rand.NewPCG(1, 2)).Uint64))
	b.Apply(epoch, rows...)
	return b
}

var encode = Query{Service: "encode"}

// warm is past slow start.
var warm = epoch.Add(2 * SlowStart)

func TestPickWeighsCapacity(t *testing.T) {
	is := is.New(t)
	b := newBalancer(row("small", "a", 10), row("large", "a", 30))
	counts := map[string]int{}
	for range 40 {
		target, ok := b.Pick(warm, encode)
		is.True(ok)
		counts[target.ID]++
	}
	is.Equal(counts["large"], 30)
	is.Equal(counts["small"], 10)
}

func TestPickSpillsBeforeZoneIsFull(t *testing.T) {
	is := is.New(t)
	b := newBalancer(append(rows(4, "a", 10), rows(4, "b", 10)...)...)
	zones := map[string]int{}
	for i := range 60 {
		target, _ := b.Pick(warm, encode)
		zones[target.Zone]++
		if i == 29 {
			is.Equal(zones["b"], 0) // zone first while three quarters are in use
		}
	}
	is.True(zones["b"] > 0)
	is.True(zones["a"] <= 40) // spilled before the zone's 40 places were overbooked
}

func TestPickCountsLaggedLoad(t *testing.T) {
	is := is.New(t)
	busy := row("busy", "a", 10)
	b := newBalancer(busy, row("idle", "a", 10))
	for range 12 { // reports are smoothed
		busy.Sequence++
		busy.Load.InFlight = 8
		b.Apply(warm, busy)
	}
	counts := map[string]int{}
	for range 6 {
		target, _ := b.Pick(warm, encode)
		counts[target.ID]++
	}
	is.Equal(counts["idle"], 6)
	for range 8 {
		target, _ := b.Pick(warm, encode)
		counts[target.ID]++
	}
	is.True(counts["busy"] >= 2) // what we sent since the report counts too
}

func TestReportDoesNotCountOwnCallsTwice(t *testing.T) {
	is := is.New(t)
	only := row("only", "a", 10)
	b := newBalancer(only)
	for range 6 {
		b.Pick(warm, encode)
	}
	for range 20 {
		b.Review(warm)
	}
	only.Sequence, only.Load.InFlight = 2, 6
	b.Apply(warm, only)
	load := b.index.get("only").load()
	is.True(load >= 6 && load < 6.1)
}

func TestPickHonoursModelAndAvoid(t *testing.T) {
	is := is.New(t)
	a, c := row("a", "a", 4), row("c", "a", 4)
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
		target, ok := b.Pick(warm, test.query)
		is.Equal(target.ID, test.want)
		is.Equal(ok, test.want != "")
	}
	c.Sequence, c.Models = 2, []string{"phrase@3"}
	b.Apply(warm, c)
	_, ok := b.Pick(warm, Query{Service: "encode", Model: "tone@1"})
	is.True(!ok) // unloaded
	target, _ := b.Pick(warm, Query{Service: "encode", Model: "phrase@3"})
	is.Equal(target.ID, "c")
}

func TestLeavingIsNeverPickedNorRevived(t *testing.T) {
	is := is.New(t)
	gone, stays := row("gone", "a", 100), row("stays", "a", 1)
	b := newBalancer(gone, stays)
	gone.Sequence, gone.Leaving = 2, true
	b.Apply(warm, gone)
	late := gone
	late.Leaving = false
	b.Apply(warm, late) // replayed
	late.Sequence = 3
	b.Apply(warm, late) // an upstream can't take back that it leaves
	for range 50 {
		target, ok := b.Pick(warm, encode)
		is.True(ok)
		is.Equal(target.ID, "stays")
	}
	late.Incarnation, late.Sequence = 2, 1
	b.Apply(warm, late) // a new start is a new upstream
	_, ok := b.Pick(warm, Query{Service: "encode", Avoid: []string{"stays"}})
	is.True(ok)
}

func TestRemoveForgets(t *testing.T) {
	is := is.New(t)
	b := newBalancer(rows(3, "a", 4)...)
	b.Remove("a-000", "a-001", "a-002", "unknown")
	_, ok := b.Pick(warm, encode)
	is.True(!ok)
}

func TestNewUpstreamIsNotFlooded(t *testing.T) {
	is := is.New(t)
	b := newBalancer(rows(10, "a", 10)...)
	for range 50 {
		b.Pick(warm, encode)
	}
	b.Apply(warm, row("new", "a", 10))
	fresh := 0
	for range 33 {
		target, _ := b.Pick(warm.Add(100*time.Millisecond), encode)
		if target.ID == "new" {
			fresh++
		}
	}
	is.True(fresh <= 3) // a tenth of its capacity, and no more than a fair share
}

func TestHintsYieldUnderLoad(t *testing.T) {
	is := is.New(t)
	b := newBalancer(rows(20, "a", 10)...)
	q := Query{Service: "encode", Hints: []Hint{{Upstream: "a-007", Share: 1}}}
	counts := map[string]int{}
	for range 100 {
		target, _ := b.Pick(warm, q)
		counts[target.ID]++
	}
	is.True(counts["a-007"] >= 5) // far above the fair share at first
	is.True(counts["a-007"] <= 9) // never crowded for the sake of its cache
}

func TestRoundRobin(t *testing.T) {
	is := is.New(t)
	b := New(epoch, "r1", "a", WithRoundRobin())
	b.Apply(epoch, append(rows(2, "a", 1), rows(2, "b", 9)...)...)
	counts := map[string]int{}
	for range 8 {
		target, ok := b.Pick(epoch, encode)
		is.True(ok)
		counts[target.ID]++
	}
	is.Equal(counts, map[string]int{"a-000": 2, "a-001": 2, "b-000": 2, "b-001": 2})
}

func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	b := New(epoch, "r1", "a")
	list := rows(20, "a", 4)
	b.Apply(epoch, list...)
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			for i := range 2000 {
				target, ok := b.Pick(warm, encode)
				if ok {
					target.Done(warm, Outcome{Result: Result((i + worker) % 4), Latency: time.Millisecond})
				}
			}
		})
	}
	for i := range 200 {
		changed := list[i%20]
		changed.Incarnation, changed.Sequence = 2+i/20, i
		b.Apply(warm, changed)
		b.Review(warm.Add(time.Duration(i) * time.Second))
	}
	wg.Wait()
	b.Review(warm.Add(time.Hour))
	b.Review(warm.Add(2 * time.Hour))
	s := b.service("encode")
	is.Equal(s.ejected.Load(), int32(0))
	for _, u := range s.members {
		is.Equal(u.inFlight.Load(), int32(0))
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{100, 12000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			balancer := New(epoch, "r1", "a")
			balancer.Apply(epoch, rows(n, "a", 16)...)
			for _, u := range balancer.service("encode").members {
				u.observe(time.Millisecond)
			}
			balancer.Review(warm)
			b.ReportAllocs()
			for b.Loop() {
				target, _ := balancer.Pick(warm, encode)
				target.Done(warm, Outcome{Latency: time.Millisecond})
			}
		})
	}
}

func BenchmarkApplyOne(b *testing.B) {
	for _, kind := range []string{"load", "membership"} {
		b.Run(kind, func(b *testing.B) {
			balancer := New(epoch, "r1", "a")
			list := rows(12000, "a", 16)
			balancer.Apply(epoch, list...)
			changed := list[5000]
			for b.Loop() {
				changed.Sequence++
				if kind == "membership" {
					changed.Incarnation++
				}
				balancer.Apply(warm, changed)
			}
		})
	}
}

// TestHomeIsKeptWithinItsSlack replays sessions whose home has some calls more than others: it is left only when it
// is clearly more loaded, and then for the next home.
func TestHomeIsKeptWithinItsSlack(t *testing.T) {
	is := is.New(t)
	b := newBalancer(rows(4, "a", 64)...)
	q := Query{Service: "encode", Preferred: []string{"a-002", "a-001"}, PreferredSlack: 3}
	counts := map[string]int{}
	for range 8 {
		target, ok := b.Pick(warm, q)
		is.True(ok)
		counts[target.ID]++
	}
	is.Equal(counts["a-002"], 4) // three more than the idle ones have, and the one before
	is.Equal(counts["a-001"], 4)
}

// TestHomeWithLongAnswersIsKept replays sessions with streams of different lengths: the upstream of a session with long
// ones has twice the latency of the others, and is sound. One that is four times as slow is passed over.
func TestHomeWithLongAnswersIsKept(t *testing.T) {
	is := is.New(t)
	b := newBalancer(rows(8, "a", 64)...)
	now := warm
	answer := func(home string, latency time.Duration) {
		target, ok := b.Pick(now, Query{Service: "encode", Preferred: []string{home}, PreferredSlack: 9})
		is.True(ok)
		is.Equal(target.ID, home)
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
		now = now.Add(ReviewEvery)
		b.Review(now)
	}
	answer("a-002", 8*time.Second)
	target, ok := b.Pick(now, Query{Service: "encode", Preferred: []string{"a-002"}, PreferredSlack: 9})
	is.True(ok)
	is.True(target.ID != "a-002")
}

// TestStreamThatGoesOnIsProgress replays one long stream at an upstream that nothing else is sent to.
func TestStreamThatGoesOnIsProgress(t *testing.T) {
	is := is.New(t)
	b := newBalancer(rows(8, "a", 64)...)
	now := warm
	for i := range 8 {
		target, _ := b.Pick(now, Query{Service: "encode", Preferred: []string{fmt.Sprintf("a-%03d", i)}, PreferredSlack: 9})
		target.Done(now, Outcome{Result: Success, Latency: time.Second})
	}
	b.Review(now)
	home := Query{Service: "encode", Preferred: []string{"a-002"}, PreferredSlack: 9}
	stream, _ := b.Pick(now, home)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		stream.Progressed(now)
		target, ok := b.Pick(now, home)
		is.True(ok)
		is.Equal(target.ID, "a-002")
		target.Done(now, Outcome{Result: Cancelled})
	}
	now = now.Add(5 * time.Second) // silence
	target, ok := b.Pick(now, home)
	is.True(ok)
	is.True(target.ID != "a-002")
}

func TestAvoidedHomeIsNotTaken(t *testing.T) {
	is := is.New(t)
	b := newBalancer(rows(4, "a", 64)...)
	target, ok := b.Pick(warm, Query{Service: "encode", Preferred: []string{"a-002"}, PreferredSlack: 9, Avoid: []string{"a-002"}})
	is.True(ok)
	is.True(target.ID != "a-002")
}
