package instance

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/quota"
	"plantainlane/wire"
)

// TestEvacuationReachesSends guards against an order that doesn't reach the check before a request is written, by the upstream's ID or
// its address alone, or the upstreams of queues, and against upstreams that don't come back after it.
func TestEvacuationReachesSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x := newSiteInstance(t)
		x.gate = quota.NewGate(x).WithEvacuations(x.isEvacuated)
		x.push(0, 1, `{"Services":{"s":{"Batch":{}}}}`)
		for id, zone := range map[string]string{"u": "z", "v": "other"} {
			a := wire.Announcement{ID: id, Service: "s", Address: id + ":1", Zone: zone, Incarnation: 1, Sequence: 1, TTLMs: 60_000, Capacity: 1}
			x.loop.Deliver(t.Context(), control.UpstreamAnnounced{Announcement: a, Reply: make(chan error, 1)})
		}
		for version, isActive := range []bool{true, false} {
			update := wire.EvacuationUpdate{Evacuations: []wire.Evacuation{{Zone: "z", Active: isActive, Version: version + 1}}}
			x.loop.Deliver(t.Context(), control.FrameReceived{Frame: wire.Frame{From: "l", Evacuations: &update}})
			synctest.Wait()
			for _, p := range []quota.Peer{{Address: "u:1", ID: "u", Incarnation: 1}, {Address: "u:1"}, {Address: "v:1"}} {
				_, err := x.gate.Acquire(t.Context(), p)
				is.Equal(err != nil, isActive && p.Address == "u:1")
			}
			_, upstreams, _ := x.batchSource("s")()
			is.Equal(len(upstreams), 2)
			for _, u := range upstreams {
				is.Equal(u.Leaving, isActive && u.ID == "u")
			}
		}
	})
}
