package forward

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// TestDrainTakesWhatItCannotEnd guards against requests that a draining instance takes though they may outlast it, since others were
// shorter, and against refused ones that certainly end in time.
func TestDrainTakesWhatItCannotEnd(t *testing.T) {
	begin := time.Now()
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	drain := Drain{CallersGone: at(3), Ends: at(7)}
	for i, c := range []struct {
		drain                    Drain
		came, expected, deadline float64
		mayTake                  bool
	}{
		{Drain{}, 3.1, 9, 20, true},
		{drain, 1, 3, 20, true},
		{drain, 1, 7.1, 20, false},
		{drain, 3.1, 3.2, 20, false},
		{drain, 3.1, 3.2, 6.9, true},
		{drain, 6.9, 6.9, 7.1, false},
	} {
		if got := c.drain.MayTake(at(c.came), at(c.expected), at(c.deadline)); got != c.mayTake {
			t.Errorf("case %d: %v, expected %v", i, got, c.mayTake)
		}
	}
}

// TestSlowBodyEndsLateInDrain guards against a request that comes early in a drain, or before it, whose body is read late in it and
// which is passed on then.
func TestSlowBodyEndsLateInDrain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{MaxAttempts: 1, RetryMode: site.AtMostOnce})
	h.upstream("u", func(w http.ResponseWriter, r *http.Request) { sign(w, r) })
	_, _, err := h.post() // so that requests are known to be short
	is.NoErr(err)
	var drain atomic.Pointer[Drain]
	h.server.Drain = func() Drain {
		if d := drain.Load(); d != nil {
			return *d
		}
		return Drain{}
	}
	body, write := io.Pipe()
	go func() {
		_, _ = write.Write([]byte("bo"))
		time.Sleep(300 * time.Millisecond)
		now := time.Now()
		drain.Store(&Drain{CallersGone: now.Add(-time.Second), Ends: now.Add(2 * time.Second)})
		_, _ = write.Write([]byte("dy"))
		_ = write.Close()
	}()
	req, err := http.NewRequest(http.MethodPost, h.listener.URL+"/x/y", body)
	is.NoErr(err)
	req.Host = "a.example"
	req.Header.Set("X-Id", "id2")
	req.Header.Set("X-Key", "key")
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.Equal(h.totalArrivals(), 1)
}
