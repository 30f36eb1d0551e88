package forward

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/site"
)

// TestBodiesOfRequestsTakeMemoryTogether guards against large bodies of many requests, each within the limit of one, that take more memory
// together than an instance has: what there is no memory for is refused as not run, and served again once others have ended.
func TestBodiesOfRequestsTakeMemoryTogether(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1})
	const size = 1 << 20
	h.site.Limits.BodyBytes = size
	h.server.Bodies = exchange.NewMemory(4 * size)
	release := make(chan struct{})
	h.upstream("u", func(w http.ResponseWriter, r *http.Request) {
		<-release
		echo(w, r)
	})
	send := func() int {
		req, err := http.NewRequest(http.MethodPost, h.listener.URL+"/x/y", strings.NewReader(strings.Repeat("b", size)))
		is.NoErr(err)
		req.Host = "a.example"
		req.Header = http.Header{"X-Id": {"id1"}, "X-Key": {"key"}}
		res, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		res.Body.Close()
		return res.StatusCode
	}
	var served, refused atomic.Int64
	var all sync.WaitGroup
	for range 12 {
		all.Go(func() {
			switch send() {
			case http.StatusOK:
				served.Add(1)
			case http.StatusServiceUnavailable:
				refused.Add(1)
			}
		})
	}
	for end := time.Now().Add(5 * time.Second); refused.Load() < 8 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	close(release)
	all.Wait()
	is.True(refused.Load() >= 8)
	is.Equal(served.Load()+refused.Load(), int64(12))
	is.Equal(served.Load(), int64(h.totalArrivals()))
	is.Equal(send(), http.StatusOK)
}

// TestRefusedBodyEndsConnection guards against a caller that is still sending its body when it is refused, and whose connection is closed
// under it: it might not read the refusal.
func TestRefusedBodyEndsConnection(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1})
	const size = 4 << 20
	h.site.Limits.BodyBytes = size
	h.server.Bodies = exchange.NewMemory(1 << 20)
	others := h.server.Bodies.Reserve()
	is.NoErr(others.Grow(2 << 20))
	reused := 0
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if info.Reused {
			reused++
		}
	}}
	const requests = 3
	for range requests {
		req, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodPost, h.listener.URL+"/x/y",
			strings.NewReader(strings.Repeat("b", size)))
		is.NoErr(err)
		req.Host = "a.example"
		req.Header = http.Header{"X-Id": {"id1"}, "X-Key": {"key"}}
		res, err := h.listener.Client().Do(req)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, res.Body)
		is.NoErr(err)
		res.Body.Close()
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	}
	is.Equal(reused, requests-1)
	is.Equal(h.totalArrivals(), 0)
}
