package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/site"
)

// copyingUpstream is one process that several rows lead to. It refuses the requests that refuses says, and runs the others. Before it
// answers a request that it runs, it sends copies of its refusals on that connection once more, copies times each.
type copyingUpstream struct {
	refuses func(r *http.Request) bool
	copies  int

	mu sync.Mutex
	// runs is the number of runs by the ID of the request, reused those of requests that came on a connection of an earlier one.
	runs   map[string]int
	reused int
}

// serveCopies starts the upstream, and adds rows with the given IDs that lead to it.
func (h *harness) serveCopies(u *copyingUpstream, ids ...string) {
	u.runs = make(map[string]int)
	h.listen(u.serve, ids...)
}

// serve serves one connection.
func (u *copyingUpstream) serve(c net.Conn) {
	in := bufio.NewReader(c)
	var refusals []string
	for n := 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Id")
		if u.refuses(r) {
			refusal := fmt.Sprintf("HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: yes\r\nContent-Length: 0\r\n\r\n", id)
			refusals = append(refusals, refusal)
			_, _ = io.WriteString(c, refusal)
			continue
		}
		u.mu.Lock()
		u.runs[id]++
		if n > 0 {
			u.reused++
		}
		u.mu.Unlock()
		for _, refusal := range refusals {
			for range u.copies {
				_, _ = io.WriteString(c, refusal)
			}
		}
		refusals = nil
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: yes\r\nContent-Length: 2\r\n\r\nok", id)
	}
}

// TestCopyOfRefusalAnswersSecondSend guards against the late copy of a refusal that is taken for the answer to the second send of the
// same request, to another row with the same address: it would run a second time, or be refused though it runs.
func TestCopyOfRefusalAnswersSecondSend(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 2})
	u := &copyingUpstream{copies: 1, refuses: func(r *http.Request) bool { return r.Header.Get("X-Upstream") == "old" }}
	h.serveCopies(u, "old", "new")
	for i := range 20 {
		id := strconv.Itoa(i)
		res, _, err := h.post("X-Id", id)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
		is.Equal(u.runs[id], 1)
	}
}

// TestCopyOfRefusalAnswersRepeatedRequest guards against the late copy of a refusal that is taken for the answer to the same request when
// its caller sends it again.
func TestCopyOfRefusalAnswersRepeatedRequest(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1})
	refused := false
	u := &copyingUpstream{copies: 1, refuses: func(*http.Request) bool {
		defer func() { refused = true }()
		return !refused
	}}
	h.serveCopies(u, "u")
	res, _, err := h.post()
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	res, _, err = h.post()
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(u.runs["id1"], 1)
}

// TestSecondCopyEndsNextRequest guards against a request that ends without its answer because an upstream sends more than one copy of the
// refusals of earlier requests before it.
func TestSecondCopyEndsNextRequest(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1})
	u := &copyingUpstream{copies: 2, refuses: func(r *http.Request) bool { return r.Header.Get("X-Id") != "last" }}
	h.serveCopies(u, "u")
	for _, id := range []string{"first", "second"} {
		_, _, err := h.post("X-Id", id)
		is.NoErr(err)
	}
	res, _, err := h.post("X-Id", "last")
	is.NoErr(err)
	is.Equal(u.reused, 1)
	is.Equal(res.StatusCode, http.StatusOK)
}

// serveAnswers starts an upstream that answers the request with number n on a connection, counted from 0, with the bytes that answer
// returns, and adds a row that leads to it.
func (h *harness) serveAnswers(answer func(n int, r *http.Request) string) (address string) {
	return h.listen(func(c net.Conn) {
		in := bufio.NewReader(c)
		for n := 0; ; n++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, answer(n, r))
		}
	}, "u")
}

// success returns a whole answer of the upstream to the request with an ID.
func success(id, body string, headers ...string) string {
	head := "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signed: yes\r\n" + strings.Join(headers, "")
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// TestCopyOfCallsAnswerEndsRequest guards against a request that ends without its answer because its connection has carried a call for
// pieces, whose answer has no ID, and a late copy of that comes before it.
func TestCopyOfCallsAnswerEndsRequest(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1})
	const pieces = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhandle"
	address := h.serveAnswers(func(n int, r *http.Request) string {
		if r.URL.Path == "/pieces" {
			return pieces
		}
		return strings.Repeat(pieces, n) + success(r.Header.Get("X-Id"), "ok")
	})
	_, err := h.server.Client.RoundTrip(t.Context(), quota.Peer{Address: address}, &exchange.Request{
		Method: http.MethodPost, Target: "/pieces", Host: "h",
		Accept: func(r *exchange.Reply) (string, error) { return string(r.Body), nil },
	}, 100)
	is.NoErr(err)
	res, _, err := h.post()
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
}

// TestAnswerWithoutIDRaisesLimit guards against the same by an answer without an ID, which on a kept connection may be a late one.
func TestAnswerWithoutIDRaisesLimit(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1})
	address := h.serveAnswers(func(n int, r *http.Request) string {
		switch n {
		case 0:
			return success(r.Header.Get("X-Id"), "ok", "X-Limit: 900\r\n")
		case 1:
			return success(r.Header.Get("X-Id"), "ok", "X-Limit: 300\r\n")
		}
		return "HTTP/1.1 503 Full\r\nX-Not-Run: yes\r\nX-Limit: 900\r\nContent-Length: 0\r\n\r\n"
	})
	for n, status := range []int{http.StatusOK, http.StatusOK, http.StatusBadGateway} {
		res, _, err := h.post("X-Id", strconv.Itoa(n))
		is.NoErr(err)
		is.Equal(res.StatusCode, status)
	}
	known := h.server.Client.Gate.All(time.Now())
	is.Equal(len(known), 1)
	is.Equal(known[0].Address, address)
	is.Equal(known[0].PerSecond, 300.0)
}

// TestLargeCopyEndsNextRequest guards against a request that ends without its answer because the late copy before that is large.
func TestLargeCopyEndsNextRequest(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1})
	large := success("0", strings.Repeat("x", maxSkippedBytes+1))
	h.serveAnswers(func(n int, r *http.Request) string {
		if n == 0 {
			return large
		}
		return large + success(r.Header.Get("X-Id"), "ok")
	})
	for n := range 3 {
		res, body, err := h.post("X-Id", strconv.Itoa(n))
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
		is.True(n == 0 || body == "ok")
	}
}

// TestCopyWithoutIDEndsNextRequest guards against a request that ends without its answer because an upstream refuses an earlier one without
// its ID, and sends a copy of that before the answer.
func TestCopyWithoutIDEndsNextRequest(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1})
	const refusal = "HTTP/1.1 503 Full\r\nX-Not-Run: yes\r\nContent-Length: 0\r\n\r\n"
	refused := false
	h.serveAnswers(func(n int, r *http.Request) string {
		if !refused {
			refused = true
			return refusal
		}
		return strings.Repeat(refusal, n) + success(r.Header.Get("X-Id"), "ok")
	})
	res, _, err := h.post()
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	res, _, err = h.post("X-Id", "id2")
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
}

// TestCopyOfHeadAnswerHoldsNextRequest guards against a request whose answer is taken for the body of a copy of an answer to HEAD, which
// names a length but has no body.
func TestCopyOfHeadAnswerHoldsNextRequest(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1, Timeout: time.Second})
	const head = "HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Signed: yes\r\nContent-Length: 1000\r\n\r\n"
	h.serveAnswers(func(n int, r *http.Request) string {
		if r.Method == http.MethodHead {
			return head
		}
		return strings.Repeat(head, n) + success(r.Header.Get("X-Id"), "ok")
	})
	res, _, err := h.send(http.MethodHead)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	res, _, err = h.post("X-Id", "id2")
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
}

// TestCutCopyJoinsAnswer guards against a copy that its upstream breaks off within its head, so that the next answer looks like the rest of
// it: a failure that is given on as a success, or a success as a refusal, though both bear the ID and the signature of the request.
func TestCutCopyJoinsAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nX-Not-Run: yes\r\nRetry-After: 1\r\nX-Id: 0\r\nContent-Length: 0\r\n\r\n"
	const failure = "HTTP/1.1 500 Broken\r\nX-Id: 1\r\nX-Signed: yes\r\nContent-Length: 2\r\n\r\nno"
	for name, c := range map[string]struct {
		copied, own string
		// status is that of the own answer, on which the copy that is whole or hasn't begun has no effect.
		status int
	}{
		"refusal before success": {refusal, success("1", "ok"), http.StatusOK},
		"refusal before failure": {refusal, failure, http.StatusInternalServerError},
		"success before failure": {success("0", "ok"), failure, http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(c.copied) + 1 {
				for _, mode := range []site.RetryMode{site.AtMostOnce, site.Idempotent} {
					h := newHarness(t, &site.Route{RetryMode: mode, MaxAttempts: 1, Timeout: 200 * time.Millisecond})
					h.serveAnswers(func(n int, _ *http.Request) string {
						if n == 0 {
							return c.copied
						}
						return c.copied[:cut] + c.own
					})
					_, _, err := h.post("X-Id", "0")
					if err != nil {
						t.Fatal(err)
					}
					h.server.Client.Gate = quota.NewGate(nil) // the pause is over
					res, body, err := h.post("X-Id", "1")
					if err != nil {
						t.Fatal(err)
					}
					isOwn := res.StatusCode == c.status && (body == "ok" || body == "no")
					if !isOwn && res.StatusCode != http.StatusBadGateway && res.StatusCode != http.StatusGatewayTimeout {
						t.Errorf("cut after %d bytes, %v: status %d, %q", cut, mode, res.StatusCode, body)
					}
				}
			}
		})
	}
}

// copyMoment is when an upstream sends the copy of the refusal of request 0 on the connection on which request 1 comes.
type copyMoment string

const (
	whileIdle    copyMoment = "while the connection is idle"
	beforeBody   copyMoment = "between the head and the body"
	underWay     copyMoment = "while the request is under way"
	behindAnswer copyMoment = "behind its answer"
	thrice       copyMoment = "three times"
)

// refusalOf0 is the refusal of request 0.
const refusalOf0 = "HTTP/1.1 503 Full\r\nX-Id: 0\r\nX-Not-Run: yes\r\nContent-Length: 0\r\n\r\n"

// serveCopyAt starts an upstream that sends a copy of its refusal of request 0 at a moment. It adds a row that leads to it, and counts its
// connections.
func (h *harness) serveCopyAt(moment copyMoment, connections *atomic.Int64) {
	h.listen(func(c net.Conn) {
		connections.Add(1)
		for in := bufio.NewReader(c); answerWithCopyAt(c, in, moment) == nil; {
		}
	}, "u")
}

// answerWithCopyAt answers one request. It refuses request 0 before it has read its body.
func answerWithCopyAt(c net.Conn, in *bufio.Reader, moment copyMoment) error {
	send := func(at copyMoment) {
		if at == moment {
			_, _ = io.WriteString(c, refusalOf0)
		}
	}
	r, err := http.ReadRequest(in)
	if err != nil {
		return err
	}
	id := r.Header.Get("X-Id")
	if id == "0" {
		_, _ = io.WriteString(c, refusalOf0)
		_, err := io.Copy(io.Discard, r.Body)
		time.Sleep(20 * time.Millisecond)
		send(whileIdle)
		return err
	}
	send(beforeBody)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	send(underWay)
	for range 3 {
		send(thrice)
	}
	time.Sleep(20 * time.Millisecond)
	_, err = io.WriteString(c, success(id, strconv.Itoa(len(body))))
	time.Sleep(5 * time.Millisecond)
	send(behindAnswer)
	return err
}

// TestCopyChangesAnswerAtAnyMoment guards against a copy of a refusal, also of one before the body was read, that changes the answer to a
// request after it, whenever it comes.
func TestCopyChangesAnswerAtAnyMoment(t *testing.T) {
	for _, moment := range []copyMoment{whileIdle, beforeBody, underWay, behindAnswer, thrice} {
		t.Run(string(moment), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1})
			h.body = strings.Repeat("x", 300<<10)
			h.site.Limits.BodyBytes = len(h.body)
			var connections atomic.Int64
			h.serveCopyAt(moment, &connections)
			res, _, err := h.post("X-Id", "0")
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusServiceUnavailable)
			time.Sleep(40 * time.Millisecond)
			for n := 1; n <= 3; n++ {
				res, body, err := h.post("X-Id", strconv.Itoa(n))
				is.NoErr(err)
				is.Equal(res.StatusCode, http.StatusOK)
				is.Equal(body, strconv.Itoa(len(h.body)))
				time.Sleep(20 * time.Millisecond)
			}
			is.Equal(connections.Load() == 1, moment != whileIdle && moment != behindAnswer)
		})
	}
}

// TestManyCopiesEndNextRequest guards against the same by copies of all refusals that a connection may have carried.
func TestManyCopiesEndNextRequest(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1})
	u := &copyingUpstream{copies: 2, refuses: func(r *http.Request) bool { return r.Header.Get("X-Id") != "last" }}
	h.serveCopies(u, "u")
	for n := range 15 {
		_, _, err := h.post("X-Id", strconv.Itoa(n))
		is.NoErr(err)
	}
	res, _, err := h.post("X-Id", "last")
	is.NoErr(err)
	is.Equal(u.reused, 1)
	is.Equal(res.StatusCode, http.StatusOK)
}

// TestCopyOfUnservedAnswersNextSend guards against a copy of an answer that is no refusal, but after which the same request is sent again to
// another row with the same address: that results of its stages are gone, or that it has failed.
func TestCopyOfUnservedAnswersNextSend(t *testing.T) {
	for _, c := range []struct {
		mode  site.RetryMode
		first string
	}{
		{site.AtMostOnce, "HTTP/1.1 409 Gone\r\nX-Id: id1\r\nX-Not-Run: yes\r\nContent-Length: 0\r\n\r\n"},
		{site.Idempotent, "HTTP/1.1 500 Broken\r\nX-Id: id1\r\nX-Signed: yes\r\nContent-Length: 0\r\n\r\n"},
	} {
		is := is.New(t)
		h := newHarness(t, &site.Route{RetryMode: c.mode, MaxAttempts: 2})
		var sends, runs atomic.Int64
		address := h.serveAnswers(func(n int, r *http.Request) string {
			if sends.Add(1) == 1 {
				return c.first
			}
			runs.Add(1)
			return strings.Repeat(c.first, n) + success(r.Header.Get("X-Id"), "ok")
		})
		h.row("second", address)
		h.row("third", address)
		res, _, err := h.post()
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
		is.Equal(runs.Load(), int64(1))
	}
}
