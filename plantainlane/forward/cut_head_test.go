package forward

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// wholeAnswers are whole answers of upstreams, by their framing. ID stands for the request's ID.
var wholeAnswers = map[string]string{
	"length":  "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\nContent-Type: text/event-stream\r\nContent-Length: 24\r\n\r\nid: 3\ndata: whole answer",
	"chunks":  "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n14\r\nid: 3\ndata: whole an\n\r\n0\r\n\r\n",
	"close":   "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 3\ndata: 3\n\n",
	"nothing": "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
	"early":   "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\nContent-Length: 0\r\n\r\n",
}

// cutAnswer writes the first bytes of an answer and closes the connection.
func cutAnswer(w http.ResponseWriter, r *http.Request, answer string, cut int) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = c.Write([]byte(strings.ReplaceAll(answer, "ID", r.Header.Get("X-Id"))[:cut]))
}

// headLength returns the length of the heads of an answer with the IDs of tests, without the last byte.
func headLength(answer string) int {
	answer = strings.ReplaceAll(answer, "ID", "id1")
	return strings.LastIndex(answer, "\r\n\r\n") + 3
}

// TestAnswerWithCutHeadIsSuccess guards against an answer whose upstream stopped within its head and that reaches the caller as a
// success, empty or short, on a new connection to the upstream or a kept one, and against a request that then runs twice though it
// may not.
func TestAnswerWithCutHeadIsSuccess(t *testing.T) {
	for framing, answer := range wholeAnswers {
		for _, r := range []site.Route{
			{RetryMode: site.AtMostOnce, MaxAttempts: 1},
			{RetryMode: site.Idempotent, MaxAttempts: 1},
			{RetryMode: site.Resumable, MaxAttempts: 1, Stream: true, TargetGap: time.Second},
		} {
			for _, isKept := range []bool{false, true} {
				t.Run(fmt.Sprint(framing, "-", r.RetryMode, "-kept-", isKept), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					own := r // the harness changes it
					h := newHarness(t, &own)
					var cut atomic.Int64
					h.upstream("u", func(w http.ResponseWriter, req *http.Request) {
						if isKept && req.Header.Get("X-First") != "" {
							sign(w, req)
							_, _ = w.Write([]byte("id: 1\ndata: 1\n\n"))
							return
						}
						cutAnswer(w, req, answer, int(cut.Load()))
					})
					length := min(headLength(answer), len(answer))
					if end := strings.Index(answer, "\r\n\r\n"); framing == "chunks" {
						length = end + len("id1") - len("ID") + 3
					}
					for n := range length + 1 {
						cut.Store(int64(n))
						if isKept {
							_, _, err := h.post("X-First", "yes")
							is.NoErr(err)
						}
						before := h.totalArrivals()
						res, body, err := h.post()
						if err == nil && res.StatusCode < http.StatusBadRequest {
							t.Fatalf("cut after %d bytes: status %d, body %q", n, res.StatusCode, body)
						}
						is.Equal(h.totalArrivals()-before, 1)
						h.balancer.Review(time.Now().Add(time.Minute)) // the upstream isn't left out for its failures
					}
				})
			}
		}
	}
}

// TestCutHeadEndsStream guards against a stream that has begun and looks complete, or has other bytes in it, because the next
// upstream stopped within the head of its answer.
func TestCutHeadEndsStream(t *testing.T) {
	const begun = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	for framing, answer := range wholeAnswers {
		if framing == "early" {
			continue
		}
		end := strings.Index(answer, "\r\n\r\n") + len("id1") - len("ID") + 3
		for cut := 0; cut <= end; cut += 3 {
			t.Run(fmt.Sprint(framing, "-", cut), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t, &site.Route{Stream: true, RetryMode: site.Resumable, MaxAttempts: 2, TargetGap: time.Second})
				handler := func(w http.ResponseWriter, r *http.Request) {
					if h.totalArrivals() == 1 {
						brokenStream(w, r)
						return
					}
					cutAnswer(w, r, answer, cut)
				}
				h.upstream("u", handler)
				h.upstream("v", handler)
				_, body, err := h.post()
				if err == nil || body != begun {
					t.Fatalf("body %q, error %v", body, err)
				}
			})
		}
	}
}
