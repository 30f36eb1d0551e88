package forward

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// closeDelimited answers with a head without a length and a body that ends with the connection, by a reset if reset is set.
func closeDelimited(body string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Signed: yes\r\nConnection: close\r\n\r\n" + body))
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			time.Sleep(50 * time.Millisecond) // the body is read before the reset
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// TestAnswerWithoutLengthLooksComplete guards against an answer without a length that was broken off and looks complete to the
// caller, and against a whole one that is not delivered or whose connection to the upstream is used again.
func TestAnswerWithoutLengthLooksComplete(t *testing.T) {
	is := is.New(t)
	for name, c := range map[string]struct {
		stream     bool
		body       string
		reset      bool
		isComplete bool
	}{
		"whole answer":             {false, "whole", false, true},
		"answer with a reset":      {false, "part", true, false},
		"whole stream":             {true, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, true},
		"stream with a reset":      {true, "id: 1\ndata: a\n\n", true, false},
		"stream within an event":   {true, "id: 1\ndata: a\n\nid: 2\nda", false, false},
		"stream within its first":  {true, "id: 1\nda", false, false},
		"stream without any event": {true, "", false, false},
	} {
		h := newHarness(t, &site.Route{MaxAttempts: 1, RetryMode: site.AtMostOnce, Stream: c.stream})
		h.upstream("u", closeDelimited(c.body, c.reset))
		for range 2 { // on a kept connection of the caller
			res, body, err := h.post()
			t.Logf("%s: %v, %q, %v", name, res, body, err)
			is.Equal(err == nil && res.StatusCode == http.StatusOK, c.isComplete)
			if c.isComplete {
				is.Equal(body, c.body)
			}
		}
		is.Equal(h.totalArrivals(), 2)
	}
}
