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

// TestRequestForEvacuatedServiceRuns guards against a request that isn't refused, or whose stages run, though all upstreams of its
// service or of a stage are in evacuated zones.
func TestRequestForEvacuatedServiceRuns(t *testing.T) {
	for _, service := range []string{"s", "stage"} {
		is := is.New(t)
		h := newHarness(t, &site.Route{Stages: []site.Stage{{Service: "stage"}}})
		h.balancer.Apply(time.Now(), wire.Announcement{ID: "v", Service: service, Zone: "z", Incarnation: 1, Sequence: 1})
		h.balancer.SetEvacuated(time.Now(), map[string]bool{"z": true})
		res, _, err := h.post("X-Pieces", "1", "X-Piece-Key", "k")
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
		is.Equal(res.Header.Get("Retry-After"), "2.000")
		is.Equal(len(h.dispatcher.jobs), 0)
	}
}

// TestPromptPrefersEvacuatedUpstream guards against prompts that keep preferring upstreams, or zones of stages, that are evacuated.
func TestPromptPrefersEvacuatedUpstream(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	for _, id := range []string{"a1", "b1"} {
		is.NoErr(r.Announce(wire.Announcement{ID: id, Service: "s", Zone: id[:1], Incarnation: 1, Sequence: 1, TTLMs: 1000}, "", time.Now()))
	}
	v := r.View()
	v.Evacuations = v.Evacuations.With("a", wire.Evacuation{Zone: "a", Active: true, Version: 1})
	is.Equal(affinityOf(newUpstreamList(v, "s", nil).all, []PromptPart{{ID: "p", Tokens: 5000}, {ID: "q", Tokens: 5}}).ids, []string{"b1"})
	is.Equal(weightZones(v, []site.Stage{{Service: "s"}}), zoneWeights{"b": 1})
}
