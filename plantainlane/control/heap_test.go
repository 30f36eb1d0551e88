package control

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"plantainlane/plantainlane/limit"
	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// BenchmarkHeap reports the heap of the tables of one instance: configuration, roster, balancer and limiter.
func BenchmarkHeap(b *testing.B) {
	for _, size := range []struct{ workspaces, upstreams int }{{250, 50}, {25_000, 50}, {250, 12_000}, {25_000, 12_000}} {
		b.Run("workspaces="+strconv.Itoa(size.workspaces)+"/upstreams="+strconv.Itoa(size.upstreams), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				tables := fullTables(b, size.workspaces, size.upstreams)
				b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
				runtime.KeepAlive(tables)
			}
		})
	}
}

// heapBytes returns the size of the live heap in bytes.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// instanceTables holds the tables that BenchmarkHeap measures.
type instanceTables struct {
	state    *state.State
	roster   *roster.Roster
	balancer *route.Balancer
	limiter  *limit.Limiter
}

// fullTables returns tables whose contents are decoded from bytes, as an instance receives them, so that the tables
// share no memory with their source.
func fullTables(b *testing.B, workspaces, upstreams int) *instanceTables {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first := &state.State{Config: state.Config{}.With(scaleDeclarations(workspaces), nil, 1)}
	encoded, err := first.Encode()
	if err != nil {
		b.Fatal(err)
	}
	t := &instanceTables{roster: roster.New(), balancer: route.New(now, "region", "zone-0"), limiter: limit.New(now)}
	if t.state, err = state.Decode(encoded); err != nil {
		b.Fatal(err)
	}
	t.limiter.SetContracts(now, t.state.Config.Contracts)
	for u := range upstreams {
		frame, err := wire.Encode(scaleAnnouncement(u, 1))
		if err != nil {
			b.Fatal(err)
		}
		var a wire.Announcement
		if err := wire.Decode(frame, &a); err != nil {
			b.Fatal(err)
		}
		t.roster.Merge([]wire.Announcement{a}, now)
	}
	t.balancer.Apply(now, t.roster.TakeNew()...)
	return t
}
