package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/site"
	"plantainlane/wire"
)

// TestRequestForEvacuatedServiceRuns guards against a request that isn't refused at once, or whose stages run, though all upstreams of
// its service or of a stage are in evacuated zones.
func TestRequestForEvacuatedServiceRuns(t *testing.T) {
	for name, service := range map[string]string{"service": "s", "stage": "stage"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, &site.Route{Stages: []site.Stage{{Service: "stage"}}})
			h.upstream("u", func(http.ResponseWriter, *http.Request) {})
			now := time.Now()
			h.balancer.Apply(now, wire.Announcement{ID: "v", Service: service, Address: "127.0.0.1:1", Zone: "other", Incarnation: 1, Sequence: 1})
			zones := map[string]bool{"other": true, "zone": service == "s"}
			h.balancer.SetEvacuated(now, zones)
			res, _, err := h.post("X-Pieces", "1", "X-Piece-Key", "k")
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusServiceUnavailable)
			is.Equal(res.Header.Get("Retry-After"), "2.000")
			is.True(time.Since(now) < time.Second)
			is.Equal(len(h.dispatcher.jobs)+h.totalArrivals(), 0)
		})
	}
}

// TestPromptPrefersEvacuatedUpstream guards against prompts that keep preferring upstreams, or zones of stages, that are evacuated.
func TestPromptPrefersEvacuatedUpstream(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		a := wire.Announcement{ID: id, Service: "s", Zone: id[:1], Incarnation: 1, Sequence: 1, TTLMs: 1000}
		is.NoErr(r.Announce(a, "", time.Now()))
	}
	v := r.View()
	v.Evacuations = v.Evacuations.With("a", wire.Evacuation{Zone: "a", Active: true, Version: 1})
	parts := []PromptPart{{ID: "p", Tokens: 5000}, {ID: "q", Tokens: 5}}
	is.Equal(len(affinityOf(v, "s", nil, parts).ids), 2)
	is.Equal(affinityOf(v, "s", nil, parts).zone, "b")
	is.Equal(weightZones(v, []site.Stage{{Service: "s"}}), zoneWeights{"b": 2})
}
