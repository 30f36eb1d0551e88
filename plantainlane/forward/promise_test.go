package forward

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

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
