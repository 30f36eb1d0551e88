package forward

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// TestStreamGoesOnWhileUpstreamIsAtWork guards against a stream that is given up at a silent upstream and goes on at another one at
// once, while the first, which looks at its connection only now and then, works for another 0.7 s. 0.4 s are allowed.
func TestStreamGoesOnWhileUpstreamIsAtWork(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{Stream: true, RetryMode: site.Resumable, MaxAttempts: 2, TargetGap: 100 * time.Millisecond})
	var begun, ended atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		after, _ := strconv.Atoi(r.Header.Get("X-After"))
		if after > 0 {
			begun.Store(time.Now().UnixNano())
			fmt.Fprint(w, "id: 2\ndata: b\n\n")
			return
		}
		fmt.Fprint(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		time.Sleep(700 * time.Millisecond)
		ended.Store(time.Now().UnixNano())
	}
	h.upstream("u1", handler)
	h.upstream("u2", handler)
	_, body, err := h.post()
	is.NoErr(err)
	is.Equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	for ended.Load() == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(time.Duration(ended.Load()-begun.Load()) < 400*time.Millisecond)
}
