package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/batch"
	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/site"
	"plantainlane/wire"
)

// echo answers with the method, the target and the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	sign(w, r)
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
}

// TestRequestIsForwardedUnchanged guards against changes of the target, body or other headers, and against a caller's
// key that reaches an upstream.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{})
	h.upstream("u1", echo)
	res, body, err := h.post("X-Other", "kept")
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
	is.Equal(body, "POST /x/y?z=%2F body")
	is.Equal(res.Header.Get("X-Signed"), "yes")
	header := h.headers[0]
	is.Equal(header.Get("X-Other"), "kept")
	is.Equal(header.Get("X-Key"), "") // keys are not forwarded
	is.Equal(header.Get("X-Workspace"), "hostel")
	is.Equal(header.Get("X-Upstream"), "u1")
}

// TestRequestIsRefusedBeforeAnySend guards against requests that reach an upstream although the instance refuses them.
func TestRequestIsRefusedBeforeAnySend(t *testing.T) {
	tests := map[string]struct {
		headers []string
		change  func(h *harness)
		status  int
	}{
		"unknown key":      {[]string{"X-Key", "other"}, nil, 401},
		"bad headers":      {[]string{"X-Pieces", "many"}, nil, 400},
		"no configuration": {nil, func(h *harness) { h.site = nil }, 503},
		"no route":         {nil, func(h *harness) { h.site.Routes[0].Prefix = "/z/" }, 404},
		"large body":       {nil, func(h *harness) { h.site.Limits.BodyBytes = 2 }, 413},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, &site.Route{})
			h.upstream("u1", echo)
			if tt.change != nil {
				tt.change(h)
			}
			res, _, err := h.post(tt.headers...)
			is.NoErr(err)
			is.Equal(res.StatusCode, tt.status)
			is.Equal(h.totalArrivals(), 0)
		})
	}
}

// TestAtMostOnceRequestRunsOnce guards against a request of an at-most-once route that runs twice. The first upstream
// fails in each way; such a request may be sent to a second upstream only if the first one certainly did not run it.
func TestAtMostOnceRequestRunsOnce(t *testing.T) {
	tests := map[string]struct {
		retryMode site.RetryMode
		first     http.HandlerFunc // answer to the first send; echo answers the others
		sends     int
		status    int
	}{
		"at most once, reset":       {site.AtMostOnce, func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) }, 1, 502},
		"idempotent, reset":         {site.Idempotent, func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) }, 2, 200},
		"at most once, not run":     {site.AtMostOnce, refuseNotRun, 2, 200},
		"idempotent, not run":       {site.Idempotent, refuseNotRun, 2, 200},
		"at most once, unsigned":    {site.AtMostOnce, func(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Id", r.Header.Get("X-Id")) }, 1, 502},
		"at most once, other ID":    {site.AtMostOnce, answerOtherID, 1, 502},
		"idempotent, 500":           {site.Idempotent, serverError, 2, 200},
		"at most once, 500":         {site.AtMostOnce, serverError, 1, 500},
		"at most once, misdirected": {site.AtMostOnce, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, 2, 200},
		"at most once, encoded":     {site.AtMostOnce, answerEncoded, 1, 502},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, &site.Route{RetryMode: tt.retryMode, MaxAttempts: 2})
			handler := func(rw http.ResponseWriter, r *http.Request) {
				if h.totalArrivals() == 1 {
					tt.first(rw, r)
					return
				}
				echo(rw, r)
			}
			h.upstream("u1", handler)
			h.upstream("u2", handler)
			res, _, err := h.post()
			is.NoErr(err)
			is.Equal(res.StatusCode, tt.status)
			is.Equal(h.totalArrivals(), tt.sends)
		})
	}
}

// refuseNotRun answers that the request did not run.
func refuseNotRun(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serverError answers that the request ran and failed.
func serverError(w http.ResponseWriter, r *http.Request) {
	sign(w, r)
	w.WriteHeader(http.StatusInternalServerError)
}

// answerOtherID answers with the ID of another request, and closes the connection.
func answerOtherID(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Id", "another")
	w.Header().Set("X-Signed", "yes")
	w.Header().Set("Connection", "close")
}

// answerEncoded answers with a Content-Encoding that was not requested.
func answerEncoded(w http.ResponseWriter, r *http.Request) {
	sign(w, r)
	w.Header().Set("Content-Encoding", "gzip")
}

// TestRequestRefusedByAllIsAnsweredNotRun checks that a request which every upstream refused without running it is
// answered with 503, which tells the caller that it may retry.
func TestRequestRefusedByAllIsAnsweredNotRun(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{MaxAttempts: 2})
	h.upstream("u1", refuseNotRun)
	h.upstream("u2", refuseNotRun)
	res, _, err := h.post()
	is.NoErr(err)
	is.Equal(res.StatusCode, 503)
	is.True(res.Header.Get("Retry-After") != "")
}

// TestTruncatedAnswerIsNotForwarded guards against a truncated answer that reaches the caller: the upstream's
// connection is reset in the middle of the body.
func TestTruncatedAnswerIsNotForwarded(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{})
	h.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		sign(rw, r)
		rw.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(rw, "half")
		_ = http.NewResponseController(rw).Flush()
		resetConnection(rw)
	})
	res, body, err := h.post()
	is.NoErr(err)
	is.Equal(res.StatusCode, 502)
	is.True(!strings.Contains(body, "half"))
}

// TestRequestEndsAtItsDeadline guards against a caller that waits beyond its own timeout, which is shorter than the
// route's, for an upstream that never answers.
func TestRequestEndsAtItsDeadline(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{})
	h.upstream("u1", func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	start := time.Now()
	res, _, err := h.post("X-Patience", "300")
	is.NoErr(err)
	is.Equal(res.StatusCode, 504)
	is.True(time.Since(start) < 2*time.Second)
}

// streamEvents answers with the events from to to, inclusive. If resetAfter is not 0, it resets the connection within
// the event that follows event resetAfter.
func streamEvents(from, to, resetAfter int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("X-From", fmt.Sprint(from))
		for i := from; i <= to; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			if i == resetAfter {
				_, _ = io.WriteString(w, "id: 9")
				_ = http.NewResponseController(w).Flush()
				resetConnection(w)
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// TestInterruptedStreamResumesAtAnotherUpstream guards against events that the caller misses or gets twice when a
// stream is interrupted and resumed at another upstream.
func TestInterruptedStreamResumesAtAnotherUpstream(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{Stream: true, RetryMode: site.Resumable, MaxAttempts: 2, TargetGap: time.Second})
	handler := func(rw http.ResponseWriter, r *http.Request) {
		if h.totalArrivals() == 1 {
			streamEvents(1, 5, 2)(rw, r)
			return
		}
		streamEvents(3, 5, 0)(rw, r)
	}
	h.upstream("u1", handler)
	h.upstream("u2", handler)
	res, body, err := h.post()
	is.NoErr(err)
	is.Equal(res.Header.Get("X-From"), "1") // the head of the first upstream
	want := ""
	for i := 1; i <= 5; i++ {
		want += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	is.Equal(body, want)
	is.Equal(h.headers[1].Get("X-After"), "2")
}

// TestInterruptedAtMostOnceStreamIsAborted guards against an interrupted stream that looks complete to the caller or
// is retried although its route doesn't allow that.
func TestInterruptedAtMostOnceStreamIsAborted(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{Stream: true, MaxAttempts: 2})
	h.upstream("u1", streamEvents(1, 5, 2))
	h.upstream("u2", streamEvents(1, 5, 2))
	_, body, err := h.post()
	is.True(err != nil) // the answer is truncated
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
	is.Equal(h.totalArrivals(), 1)
}

// stagedRoute returns a route with three stages, of which the second needs the results of the first.
func stagedRoute() *site.Route {
	return &site.Route{Stages: []site.Stage{{Service: "e", Bytes: 1}, {Service: "f", After: []int{0}, Bytes: 1}, {Service: "g", Bytes: 1}}}
}

// TestStagesRunInOrder guards against a stage that starts without the results it needs, a skipped stage that runs, and
// results that are not released.
func TestStagesRunInOrder(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, stagedRoute())
	h.upstream("u1", echo)
	res, _, err := h.post("X-Pieces", "2,1,0", "X-Piece-Key", "k")
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
	is.Equal(len(h.dispatcher.jobs), 2)
	is.Equal(h.dispatcher.jobs[0].Key, "k")
	is.Equal(h.dispatcher.jobs[1].Inputs, []string{"e0.0", "e0.1"})
	is.Equal(h.dispatcher.jobs[1].Key, "")
	is.Equal(h.headers[0].Get("X-Inputs"), "f1.0") // results of final stages only
	is.Equal(len(h.dispatcher.released), 3)
}

// TestStagesRunAgainWhenResultsAreGone guards against a request that fails because a stage result was evicted before
// the request used it: the first upstream answers that inputs are gone, and all stages run again.
func TestStagesRunAgainWhenResultsAreGone(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, stagedRoute())
	handler := func(rw http.ResponseWriter, r *http.Request) {
		if h.totalArrivals() == 1 {
			rw.Header().Set("X-Id", r.Header.Get("X-Id"))
			rw.Header().Set("X-Not-Run", "1")
			rw.WriteHeader(http.StatusConflict)
			return
		}
		echo(rw, r)
	}
	h.upstream("u1", handler)
	h.upstream("u2", handler)
	res, _, err := h.post("X-Pieces", "1,1,1")
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
	is.Equal(len(h.dispatcher.jobs), 6)
}

// TestRequestIsRefusedWhenAStageIsLate guards against a request that is sent to an upstream although a stage can't
// finish before its deadline. The refusal passes on the dispatcher's retry time.
func TestRequestIsRefusedWhenAStageIsLate(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, stagedRoute())
	h.upstream("u1", echo)
	h.dispatcher.outcomes = []batch.Outcome{{Reason: batch.ReasonDeadline, RetryAfter: 2 * time.Second}}
	res, _, err := h.post("X-Pieces", "1,0,0")
	is.NoErr(err)
	is.Equal(res.StatusCode, 503)
	is.Equal(res.Header.Get("Retry-After"), "2.000")
	is.Equal(h.totalArrivals(), 0)
}

// TestUnreachableUpstreamUsesNoRetryBudget guards against requests that fail after upstreams crashed: a request that
// got no connection to the first upstreams is sent to another one, even if the budget allows no retries.
func TestUnreachableUpstreamUsesNoRetryBudget(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1})
	h.server.Budget.Ratio, h.server.Budget.Allowance = 0, 0
	for i := range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		a := wire.Announcement{
			ID: fmt.Sprint("gone", i), Service: "s", Address: l.Addr().String(), Zone: "zone", Region: "region", Capacity: 100,
			Incarnation: 1, Sequence: 1, TTLMs: 60_000,
		}
		l.Close()
		is.NoErr(h.roster.Announce(a, "", time.Now()))
		h.balancer.Apply(time.Now(), a)
	}
	h.upstream("u1", echo)
	for range 20 {
		res, _, err := h.post()
		is.NoErr(err)
		is.Equal(res.StatusCode, 200)
	}
	is.Equal(h.totalArrivals(), 20)
}

// TestBudgetBoundsRetries checks the number of retries that the budget allows in a window, and that requests of the
// next window allow new ones.
func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	b := &Budget{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second, Instances: func() int { return 10 }}
	now := time.Now()
	for range 50 {
		b.RecordRequest("s", now)
	}
	taken := 0
	for range 100 {
		if b.Take("s", now) {
			taken++
		}
	}
	is.Equal(taken, 7) // 0.7 of (0.2 x 50 + 10 / 10)
	is.True(!b.Take("s", now.Add(5*time.Second)))
	for range 50 {
		b.RecordRequest("s", now.Add(11*time.Second))
	}
	is.True(b.Take("s", now.Add(11*time.Second)))
}

// TestHeadersBeyondLimitAreForwarded guards against headers that are longer than the site allows and reach an upstream.
func TestHeadersBeyondLimitAreForwarded(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{})
	h.site.Limits.HeaderBytes = 500
	h.upstream("u", echo)
	res, _, err := h.post("X-Long", strings.Repeat("h", 500))
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	res, _, err = h.post("X-Long", strings.Repeat("h", 200))
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(h.totalArrivals(), 1)
}

// FuzzEvents checks that the events which the reader returns are a prefix of the stream, whatever the stream holds.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: x\n\nid: 2\n\n")
	f.Add("\n\n\n")
	f.Add("id:")
	f.Fuzz(func(t *testing.T, text string) {
		r := newEventReader(strings.NewReader(text), exchange.NewMemory(exchange.AnswerBytes).Reserve())
		returned := ""
		for {
			e, err := r.next()
			if err != nil {
				break
			}
			returned += string(e.bytes)
		}
		if !strings.HasPrefix(text, returned) {
			t.Fatalf("events %q are no prefix of stream %q", returned, text)
		}
	})
}
