package forward

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"plantainlane/plantainlane/placement"
	"plantainlane/plantainlane/promptcache"
	"plantainlane/plantainlane/site"
	"plantainlane/wire"
)

// TestPreferredHaveHighestScores guards against preferred upstreams that other instances, which run earlier versions, don't
// prefer.
func TestPreferredHaveHighestScores(t *testing.T) {
	is := is.New(t)
	var list []listedUpstream
	for i := range 40 {
		list = append(list, listedUpstream{fmt.Sprint("e", i), "z", float64(1 + i%3)})
	}
	got := affinityOf(list, []PromptPart{part("topic", 3000), part("own", 10)})
	score := func(u listedUpstream) float64 { return placement.Score(xxhash.Sum64String("topic\x00"+u.id), u.weight) }
	slices.SortFunc(list, func(a, b listedUpstream) int { return cmp.Compare(score(b), score(a)) })
	is.Equal(got.ids, []string{list[0].id, list[1].id, list[2].id})
	is.Equal(got.slack, 4.0)
}

// TestSendsAreKnownToEstimator guards against requests that are placed by a plan without counting where they were read, and
// against counting those that were refused.
func TestSendsAreKnownToEstimator(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{Stream: true, RetryMode: site.Resumable, MaxAttempts: 2})
	h.site.Services["s"].Engine = &site.Engine{Slots: 24, CacheTokens: 1000}
	h.server.Prompts = &promptcache.Estimator{}
	h.upstream("a", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	_, _, err := h.post("X-Id", "zero", "X-Key", "key", "X-Parts", "first,own")
	is.NoErr(err)
	is.Equal(h.server.Prompts.Stats().Decisions, int64(0)) // the engine reports no pace
	h.balancer.ObserveLoad("a", wire.UpstreamLoad{Pace: 100}, time.Now())
	_, _, err = h.post("X-Id", "one", "X-Key", "key", "X-Parts", "first,own")
	is.NoErr(err)
	is.Equal(h.server.Prompts.Stats().Decisions, int64(1))
	is.Equal(h.server.Prompts.Stats().ReadTokens, int64(0))
	h.site.Services["s"].Engine.CacheTokens = 0 // not known
	_, _, err = h.post("X-Id", "two", "X-Key", "key", "X-Parts", "first,own")
	is.NoErr(err)
	is.Equal(h.server.Prompts.Stats().Decisions, int64(1))
}
