package forward

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"plantainlane/plantainlane/batch"
	"plantainlane/plantainlane/site"
)

// TestUpstreamsFailureIsGivenAsRefusal guards against a caller that is told by the status that its request hasn't run, though the
// upstream has run it and only failed: a request that must not run twice would be sent again.
func TestUpstreamsFailureIsGivenAsRefusal(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		for mode, want := range map[site.RetryMode]int{site.AtMostOnce: http.StatusBadGateway, site.Idempotent: status} {
			is := is.New(t)
			h := newHarness(t, &site.Route{RetryMode: mode, MaxAttempts: 1})
			h.upstream("u", func(w http.ResponseWriter, r *http.Request) {
				sign(w, r)
				w.WriteHeader(status)
			})
			res, _, err := h.post()
			is.NoErr(err)
			is.Equal(res.StatusCode, want)
			is.Equal(res.Header.Get("X-Signed") != "", want == status)
			is.Equal(h.totalArrivals(), 1)
		}
	}
}

// TestRefusalOfUpstreamIsGivenOn guards against a caller that isn't told that it may send its request again, though the upstream has
// said that it hasn't run it.
func TestRefusalOfUpstreamIsGivenOn(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1})
	h.upstream("u", refusing(""))
	res, _, err := h.post()
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
}

// TestRequestWithoutStagesIsRefusedAfterRun guards against a caller that is told that its request hasn't run, because its stages can't be run
// again after their results were gone at a second upstream, though the first one may have run it.
func TestRequestWithoutStagesIsRefusedAfterRun(t *testing.T) {
	for _, mode := range []site.RetryMode{site.Resumable, site.Idempotent} {
		is := is.New(t)
		h := newHarness(t, &site.Route{
			RetryMode: mode, MaxAttempts: 3, Stream: mode == site.Resumable, Stages: []site.Stage{{Service: "p"}},
		})
		h.dispatcher.outcomes = []batch.Outcome{{Handles: []string{"h"}}, {Reason: batch.ReasonFailed}}
		handler := func(w http.ResponseWriter, r *http.Request) {
			if h.totalArrivals() == 1 {
				resetConnection(w)
				return
			}
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.Header().Set("X-Not-Run", "yes")
			w.WriteHeader(http.StatusConflict)
		}
		h.upstream("u1", handler)
		h.upstream("u2", handler)
		res, _, err := h.post("X-Pieces", "1", "X-Piece-Key", "k")
		is.NoErr(err)
		is.Equal(h.totalArrivals(), 2)
		is.Equal(res.StatusCode, http.StatusBadGateway)
	}
}
