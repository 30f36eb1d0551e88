package forward

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// arrived returns the number of requests that an upstream has received.
func (h *harness) arrived(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.arrivals[id]
}

// refusing answers that the request did not run, with a time to stay away unless that is empty.
func refusing(retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Not-Run", "1")
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// TestUpstreamThatSaysItLeavesIsChosen guards against requests to an upstream after an answer in which it has said that it
// is leaving, while its announcements don't say so.
func TestUpstreamThatSaysItLeavesIsChosen(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.Idempotent, MaxAttempts: 3})
	h.upstream("leaving", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Leaving", "1")
		echo(w, r)
	})
	h.upstream("staying", echo)
	for range 60 {
		res, _, err := h.post()
		is.NoErr(err)
		is.Equal(res.StatusCode, 200)
	}
	is.True(h.arrived("leaving") <= 1)
	h.balancer.Review(time.Now())
	res, _, err := h.post()
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
}

// TestLastUpstreamLeaves guards against a request that waits, or that is sent to an upstream that is leaving, if there is
// no other.
func TestLastUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.Idempotent, MaxAttempts: 3})
	h.upstream("leaving", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Leaving", "1")
		echo(w, r)
	})
	_, _, err := h.post()
	is.NoErr(err)
	started := time.Now()
	res, _, err := h.post()
	is.NoErr(err)
	is.Equal(res.StatusCode, 503)
	is.True(time.Since(started) < time.Second)
	is.Equal(h.arrived("leaving"), 1)
}

// TestUpstreamIsAskedDuringItsPause guards against requests to an upstream that has asked for a pause, and against requests
// that fail though another upstream has room.
func TestUpstreamIsAskedDuringItsPause(t *testing.T) {
	for name, refuse := range map[string]http.HandlerFunc{
		"not run": refusing("20"),
		"may have run": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.Header().Set("Retry-After", "20")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, &site.Route{RetryMode: site.Idempotent, MaxAttempts: 3})
			h.upstream("paused", refuse)
			h.upstream("free", echo)
			for range 60 {
				res, _, err := h.post()
				is.NoErr(err)
				is.Equal(res.StatusCode, 200)
			}
			is.True(h.arrived("paused") <= 2)
			ejected, _ := h.balancer.Ejected("paused")
			is.True(!ejected)
		})
	}
}

// TestServiceAtPauseIsUnservable guards against requests that are refused though the pause of the only upstream ends soon
// enough, and against a refusal that doesn't say when the pause ends.
func TestServiceAtPauseIsUnservable(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1, Timeout: 4 * time.Second})
	var retryAfterText atomic.Pointer[string]
	h.upstream("u", func(w http.ResponseWriter, r *http.Request) {
		if text := retryAfterText.Swap(nil); text != nil {
			refusing(*text)(w, r)
			return
		}
		echo(w, r)
	})
	short, long := "0.6", "8"
	retryAfterText.Store(&short)
	started := time.Now()
	res, _, err := h.post()
	is.NoErr(err)
	if res.StatusCode == http.StatusServiceUnavailable {
		res, _, err = h.post()
		is.NoErr(err)
	}
	is.Equal(res.StatusCode, 200)
	is.True(time.Since(started) > 600*time.Millisecond)
	retryAfterText.Store(&long)
	_, _, err = h.post()
	is.NoErr(err)
	started = time.Now()
	res, reason, err := h.post()
	is.NoErr(err)
	is.Equal(res.StatusCode, 503)
	is.True(strings.Contains(reason, "no request"))
	is.True(time.Since(started) < time.Second)
}
