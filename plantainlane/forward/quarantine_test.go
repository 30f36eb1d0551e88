package forward

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/batch"
	"plantainlane/plantainlane/quarantine"
	"plantainlane/plantainlane/site"
	"plantainlane/wire"
)

// endedChecker says of each process whether it has ended.
type endedChecker bool

func (e endedChecker) HasEnded(context.Context, quarantine.Process) bool { return bool(e) }

// guard gives the server a guard with an entry for the part "bad" in quarantine, and the suspect "suspect".
func (h *harness) guard(ended bool) *quarantine.Guard {
	g := quarantine.NewGuard(h.t.Context(), endedChecker(ended), func() {})
	g.Learn(time.Now(), wire.QuarantineUpdate{
		Version:  1,
		Entries:  []wire.QuarantineEntry{quarantine.NewEntry(time.Now(), "s", "", []string{"bad"}, time.Minute)},
		Suspects: []wire.SuspectPart{{Service: "s", Part: "suspect", Crashes: 2}},
	})
	h.server.Guard = g
	return g
}

// waitFor waits until a condition is true.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for range 200 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not within 2 s")
}

// TestContentInQuarantineRuns guards against requests that run though their content is in quarantine, that aren't told so as
// not run, or that are refused because only their last part is.
func TestContentInQuarantineRuns(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{MaxAttempts: 2, RetryMode: site.Idempotent, Stages: []site.Stage{{Service: "st"}}})
	g := h.guard(true)
	h.upstream("u", echo)
	res, _, err := h.post("X-Parts", "first,bad,last", "X-Pieces", "1")
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable) // not run
	retryAfter, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(retryAfter > 30) // the entry ends after a minute
	is.Equal(h.totalArrivals(), 0)
	is.Equal(len(h.dispatcher.jobs), 0) // its stages run
	is.Equal(g.Refused.Value(), int64(1))
	for _, parts := range []string{"first,other,last", "first,bad", "bad", ""} {
		res, _, err = h.post("X-Parts", parts)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
	}
}

// TestSuspectContentIsSentAgain guards against a request with a suspect part that ends one upstream after the other.
func TestSuspectContentIsSentAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{MaxAttempts: 2, RetryMode: site.Idempotent})
	g := h.guard(true)
	for _, id := range []string{"u", "v"} {
		h.upstream(id, func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) })
	}
	for i, parts := range []string{"first,suspect,last", "first,other,last"} {
		before := h.totalArrivals()
		res, _, err := h.post("X-Parts", parts)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusBadGateway)
		is.Equal(h.totalArrivals()-before, i+1)
	}
	waitFor(t, func() bool { return g.Broken.Value() == 3 })
}

// TestBrokenConnectionCountsAsEnd guards against sends that are reported as ended with their upstream though its process goes
// on, or though the upstream was only silent or has failed.
func TestBrokenConnectionCountsAsEnd(t *testing.T) {
	is := is.New(t)
	for name, c := range map[string]struct {
		ended   bool
		handler http.HandlerFunc
		broken  int64
	}{
		"ended":    {true, func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) }, 1},
		"goes on":  {false, func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) }, 0},
		"silent":   {true, func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) }, 0},
		"failed":   {true, serverError, 0},
		"answered": {true, echo, 0},
	} {
		h := newHarness(t, &site.Route{MaxAttempts: 1, RetryMode: site.Idempotent, Timeout: 300 * time.Millisecond})
		g := h.guard(c.ended)
		h.upstream("u", c.handler)
		_, _, err := h.post("X-Parts", "first,other,last")
		is.NoErr(err)
		time.Sleep(100 * time.Millisecond)
		t.Log(name)
		is.Equal(g.Broken.Value(), c.broken)
	}
}

// trialAsker answers queries for trials.
type trialAsker struct {
	mu       sync.Mutex
	answer   wire.TrialAnswer
	returned []int
}

func (a *trialAsker) AskTrial(_ context.Context, q wire.TrialQuery) (wire.TrialAnswer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if q.Returned != 0 {
		a.returned = append(a.returned, q.Returned)
		return wire.TrialAnswer{}, true
	}
	return a.answer, true
}

// TestSuspectRequestRunsWithoutTrial guards against a request that has ended upstreams and runs, or whose stages run, though it
// has no trial, and against a trial that isn't given back though it wasn't used.
func TestSuspectRequestRunsWithoutTrial(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{MaxAttempts: 2, RetryMode: site.Idempotent, Stages: []site.Stage{{Service: "st"}}})
	asker := &trialAsker{answer: wire.TrialAnswer{Suspect: true, WaitMs: 10}}
	h.server.Guard = quarantine.NewGuard(t.Context(), endedChecker(true), func() {}).WithAsker(asker)
	h.upstream("u", echo)
	res, _, err := h.post("X-Pieces", "1")
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	exact := quarantine.Exact{Head: []string{http.MethodPost, "a.example", "/x/y?z=%2F", "hostel"}, Body: []byte("body")}
	h.server.Guard.Learn(time.Now(), wire.QuarantineUpdate{
		Version: 1, Suspects: []wire.SuspectPart{{Service: "s", Part: exact.ID(), Crashes: 2}},
	})
	arrivals, jobs := h.totalArrivals(), len(h.dispatcher.jobs)
	res, _, err = h.post("X-Pieces", "1")
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable) // not run
	is.True(res.Header.Get("Retry-After") != "")
	is.Equal(h.totalArrivals(), arrivals)
	is.Equal(len(h.dispatcher.jobs), jobs)
	asker.answer = wire.TrialAnswer{Suspect: true, Trial: 3, ValidMs: 1000}
	res, _, err = h.post("X-Pieces", "1")
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(len(asker.returned), 0)
	h.dispatcher.outcomes = []batch.Outcome{{Reason: batch.ReasonDeadline}}
	_, _, err = h.post("X-Pieces", "1")
	is.NoErr(err)
	waitFor(t, func() bool {
		asker.mu.Lock()
		defer asker.mu.Unlock()
		return len(asker.returned) == 1
	})
}

// TestTrialThatBrokeBarsOthers guards against a trial that bars others until it lapses though its upstream goes on.
func TestTrialThatBrokeBarsOthers(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{MaxAttempts: 2, RetryMode: site.Idempotent})
	asker := &trialAsker{answer: wire.TrialAnswer{Suspect: true, Trial: 3, ValidMs: 1000}}
	h.server.Guard = quarantine.NewGuard(t.Context(), endedChecker(false), func() {}).WithAsker(asker)
	h.upstream("u", func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) })
	exact := quarantine.Exact{Head: []string{http.MethodPost, "a.example", "/x/y?z=%2F", "hostel"}, Body: []byte("body")}
	h.server.Guard.Learn(time.Now(), wire.QuarantineUpdate{
		Version: 1, Suspects: []wire.SuspectPart{{Service: "s", Part: exact.ID(), Crashes: 2}},
	})
	res, _, err := h.post()
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusBadGateway)
	is.Equal(h.totalArrivals(), 1) // a trial is one send
	waitFor(t, func() bool {
		asker.mu.Lock()
		defer asker.mu.Unlock()
		return len(asker.returned) == 1
	})
}
