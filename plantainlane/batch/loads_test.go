package batch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// TestLoadsReachOtherInstances guards against instances that know little of the load of an upstream, since each sends it few
// requests: a report travels with released results to the owner of a queue, and with the answer to a job to others.
func TestLoadsReachOtherInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newDispatchers(t, &fakeExecutor{}, "a", "b", "c")
		owner := Owner("encode", "", n.dispatchers["a"].members())
		var others []*Dispatcher
		for id, d := range n.dispatchers {
			if id != owner {
				others = append(others, d)
			}
		}
		var learned atomic.Int64
		others[1].OnLoad = func(upstream string, load wire.UpstreamLoad, at time.Time) {
			if upstream == "engine" && load.Pace == 250 && time.Since(at) < loadValid {
				learned.Store(int64(load.InFlight))
			}
		}
		is.Equal(others[1].Run(context.Background(), "encode", testJob("first")).Reason, Reason(""))
		others[0].Reported("engine", wire.UpstreamLoad{InFlight: 5, Queued: 2, Pace: 250})
		others[0].Reported("plain", wire.UpstreamLoad{InFlight: 5}) // without a pace
		others[0].Release("encode", "", []string{"h"})
		time.Sleep(2 * minLoadInterval)
		is.Equal(others[1].Run(context.Background(), "encode", testJob("second")).Reason, Reason(""))
		time.Sleep(2 * decisionInterval)
		is.Equal(learned.Load(), int64(7))
		is.Equal(len(others[1].loads.reports), 1)
	})
}

// TestLoadBoardIsBounded guards against reports that are passed on without end, or that fill the memory.
func TestLoadBoardIsBounded(t *testing.T) {
	is := is.New(t)
	b, now := newLoadBoard(), time.Now()
	is.True(b.record(now, "u", loadReport{at: now, from: "a"}))
	is.True(!b.record(now, "u", loadReport{at: now.Add(-time.Millisecond)})) // older
	is.True(b.reportsFor(now, "a", false) == nil)                            // it is from there
	is.True(b.reportsFor(now, "b", true) == nil)
	is.Equal(b.reportsFor(now, "b", false).Upstreams, []string{"u"})
	is.True(b.reportsFor(now.Add(2*minLoadInterval), "b", false) == nil) // sent before
	for i := range 2 * maxLoads {
		b.record(now, string(rune('a'+i)), loadReport{at: now})
	}
	is.Equal(len(b.reports), maxLoads)
	later := now.Add(2 * loadValid)
	is.True(b.reportsFor(later, "c", false) == nil)
	is.True(b.record(later, "new", loadReport{at: later}))
	is.Equal(len(b.reports), 1)
}
