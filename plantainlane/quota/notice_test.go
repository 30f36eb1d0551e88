package quota

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/plantainlane/exchange"
)

// TestMalformedPauseIsIgnored guards against a time to stay away that is read wrongly, in each form in which it may come.
func TestMalformedPauseIsIgnored(t *testing.T) {
	now := time.Date(2026, 10, 9, 8, 0, 0, 0, time.UTC)
	tests := map[string]struct {
		pause time.Duration
		bad   bool
	}{
		"":                              {0, false},
		"0":                             {0, false},
		"2":                             {2 * time.Second, false},
		" 0.25 ":                        {250 * time.Millisecond, false},
		"99999999999999999999":          {maxPause, false},
		"-1":                            {0, true},
		"NaN":                           {0, true},
		"Inf":                           {0, true},
		"1e3":                           {0, true},
		"1.2.3":                         {0, true},
		"soon":                          {0, true},
		"Fri, 09 Oct 2026 08:00:03 GMT": {3 * time.Second, false},
		"Fri, 09 Oct 2026 07:00:00 GMT": {0, false},
		"Fri, 09 Oct 2099 07:00:00 GMT": {maxPause, false},
	}
	for text, tt := range tests {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			got, err := ReadPause(now, http.StatusServiceUnavailable, http.Header{"Retry-After": {text}})
			is.Equal(errors.Is(err, ErrBadPause), tt.bad)
			is.Equal(got, tt.pause)
		})
	}
	is := is.New(t)
	// Another status asks for no pause, and a date counts from the answer's own date.
	got, err := ReadPause(now, http.StatusTooManyRequests, http.Header{"Retry-After": {"2"}})
	is.NoErr(err)
	is.Equal(got, time.Duration(0))
	got, err = ReadPause(now, http.StatusServiceUnavailable, http.Header{
		"Retry-After": {"Fri, 09 Oct 2026 09:00:03 GMT"}, "Date": {"Fri, 09 Oct 2026 09:00:01 GMT"},
	})
	is.NoErr(err)
	is.Equal(got, 2*time.Second)
}

// TestPausedUpstreamIsAskedAgain guards against requests during a pause, also those that had a permit before it was known,
// and against a pause that never ends or ends for all instances at the same moment.
func TestPausedUpstreamIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := Peer{Address: "a", ID: "u", Incarnation: 1}
		ends := make(map[time.Duration]bool)
		for range 20 {
			g := NewGate(nil)
			before, err := g.Acquire(t.Context(), u)
			is.NoErr(err)
			is.NoErr(before.Check())
			started := time.Now()
			g.ObserveStanding(started, u, Notice{Pause: 4 * time.Second})
			g.ObserveStanding(started, u, Notice{Pause: time.Second})
			is.True(errors.Is(before.Check(), ErrNoPermit))
			_, err = g.Acquire(t.Context(), u)
			var refusal *Refusal
			is.True(errors.As(err, &refusal))
			is.True(refusal.Paused)
			is.True(!refusal.Until.Before(started.Add(4 * time.Second)))
			is.True(!refusal.Until.After(started.Add(5 * time.Second)))
			ends[refusal.Until.Sub(started)] = true
			time.Sleep(time.Until(refusal.Until))
			_, err = g.Acquire(t.Context(), u)
			is.NoErr(err)
		}
		is.True(len(ends) > 10)
	})
}

// TestLeavingIsTakenForItsSuccessor guards against an upstream that gets requests after it has said that it is leaving, and
// against a successor at its address that gets none.
func TestLeavingIsTakenForItsSuccessor(t *testing.T) {
	is := is.New(t)
	g := NewGate(nil)
	old := Peer{Address: "a", ID: "u", Incarnation: 1}
	restarted := Peer{Address: "a", ID: "u", Incarnation: 2}
	other := Peer{Address: "a", ID: "v", Incarnation: 1}
	now := time.Now()
	g.ObserveStanding(now, Peer{Address: "a"}, Notice{Leaving: true})
	is.True(!g.IsLeaving(old)) // said by an unknown process
	g.ObserveStanding(now, old, Notice{Leaving: true})
	g.ObserveStanding(now, old, Notice{})
	is.True(g.IsLeaving(old))
	_, err := g.Acquire(t.Context(), Peer{Address: "a"})
	is.True(errors.Is(err, ErrNoPermit))
	for _, successor := range []Peer{restarted, other} {
		_, err := g.Acquire(t.Context(), successor)
		is.NoErr(err)
		is.True(!g.IsLeaving(successor))
	}
	// The successor has said something of itself; a late answer of its predecessor changes nothing.
	g.ObserveStanding(now, restarted, Notice{Pause: time.Minute})
	g.ObserveStanding(now, old, Notice{Leaving: true})
	_, err = g.Acquire(t.Context(), restarted)
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.True(refusal.Paused)
}

// TestConnectionToPredecessorIsKept guards against what a predecessor says on an old connection and is taken for its
// successor's.
func TestConnectionToPredecessorIsKept(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Leaving", "1") }))
	defer s.Close()
	address := s.Listener.Addr().String()
	c := NewClient(exchange.NewPool(time.Minute), NewGate(nil), readNotice)
	old, successor := Peer{Address: address, ID: "u", Incarnation: 1}, Peer{Address: address, ID: "u", Incarnation: 2}
	pools := []*exchange.Pool{c.Pool, c.Calls, c.Control}
	for _, pool := range pools {
		_, err := pool.RoundTrip(t.Context(), address, &exchange.Request{Method: http.MethodPost, Target: "/", Host: "h"}, 100)
		is.NoErr(err)
	}
	_, err := c.RoundTrip(t.Context(), old, &exchange.Request{Method: http.MethodPost, Target: "/", Host: "h"}, 100)
	is.NoErr(err)
	is.True(c.Gate.IsLeaving(old))
	_, err = c.Acquire(t.Context(), successor)
	is.NoErr(err)
	for _, pool := range pools {
		conn, err := pool.Get(t.Context(), address, "", time.Minute)
		is.NoErr(err)
		is.True(!conn.Reused)
		conn.Close()
	}
}
