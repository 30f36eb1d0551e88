package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// TestRequestsWaitForFirstSite guards against requests that are refused in the moment in which all instances have started again,
// come back before there is a configuration, and are given up.
func TestRequestsWaitForFirstSite(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{MaxAttempts: 1})
	h.upstream("u", func(w http.ResponseWriter, r *http.Request) { sign(w, r) })
	first := h.site
	h.site = nil
	time.AfterFunc(50*time.Millisecond, func() {
		h.mu.Lock()
		h.site = first
		h.mu.Unlock()
		close(h.siteKnown)
	})
	res, _, err := h.post()
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
}

// TestStartupBoundsWaiters guards against an instance that can't reach a leader and holds its callers, or more of them than it has
// memory for.
func TestStartupBoundsWaiters(t *testing.T) {
	is := is.New(t)
	var s startup
	now := time.Now()
	for range maxSiteWaiters {
		is.True(s.enter(now))
	}
	is.True(!s.enter(now))
	s.leave()
	is.True(s.enter(now.Add(startupTime)))
	s.leave()
	is.True(!s.enter(now.Add(startupTime + 1)))
}
