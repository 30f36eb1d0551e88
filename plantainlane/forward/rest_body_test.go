package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// TestNextRequestIsTakenForRestOfBody guards against a request that is sent where an upstream, which has refused the request before it early,
// still expects the rest of its body.
func TestNextRequestIsTakenForRestOfBody(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.Idempotent, MaxAttempts: 2, Timeout: 2 * time.Second})
	h.body = strings.Repeat("b", 8<<20)
	h.site.Limits.BodyBytes = len(h.body)
	var wrong atomic.Int64
	h.listen(func(c net.Conn) { refuseEarly(c, &wrong) }, "u")
	res, _, err := h.post("X-Id", "0")
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	h.body = "other"
	res, _, err = h.post("X-Id", "1")
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(wrong.Load(), int64(0))
}

// refuseEarly refuses request 0 on a connection and reads its body later. It counts the bytes in that which aren't its own.
func refuseEarly(c net.Conn, wrong *atomic.Int64) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Id")
		if id != "0" {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, success(id, "ok"))
			continue
		}
		_, _ = io.WriteString(c, refusalOf0)
		time.Sleep(700 * time.Millisecond)
		body, _ := io.ReadAll(r.Body)
		wrong.Add(int64(len(body) - strings.Count(string(body), "b")))
	}
}
