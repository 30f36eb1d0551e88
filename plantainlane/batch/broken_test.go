package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// breakCalls serves a queue until it is idle. Calls with pieces of bad break; it returns how many did.
func breakCalls(q *Queue, now time.Time, bad *Job) (broken int) {
	for step := 0; !q.Idle() && step < 1000; step++ {
		for c := q.Next(now); c != nil; c = q.Next(now) {
			for _, item := range c.Items {
				c.Broken = c.Broken || item.Job == bad
			}
			if c.Broken {
				broken++
				q.Done(now, c, nil, false)
				continue
			}
			q.Done(now, c, completedResults(c, c.Upstream.ID), false)
		}
		now = now.Add(50 * time.Millisecond)
	}
	return broken
}

// TestPieceThatEndsUpstreamsTakesOthersAlong guards against a job whose pieces end each upstream that runs them, seven in
// all, and against sound jobs that fail because they shared its calls.
func TestPieceThatEndsUpstreamsTakesOthersAlong(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	q := newQueue(spec, "z", "z", "z", "z")
	bad, badOutcome := newJob(now, 1, 20*time.Second, time.Minute)
	q.Add(now, bad)
	var sound []*Outcome
	for _, pieces := range []int{1, 2, 1, 1, 3, 2} {
		j, out := newJob(now, pieces, 20*time.Second, time.Minute)
		q.Add(now, j)
		sound = append(sound, out)
	}
	broken := breakCalls(q, now, bad)
	is.Equal(badOutcome.Reason, ReasonFailed)
	is.True(broken <= maxBreaks+1)
	for _, out := range sound {
		is.Equal(out.Reason, Reason("")) // a sound job failed
	}
}

// TestFailedCallFailsLargeJob guards against a job that fails because one call with many of its pieces did.
func TestFailedCallFailsLargeJob(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	q := newQueue(spec, "z", "z")
	j, out := newJob(now, spec.MaxPieces, 20*time.Second, time.Minute)
	q.Add(now, j)
	q.Done(now, q.Next(now), nil, false)
	is.Equal(out.Reason, Reason(""))
	q.Done(now, q.Next(now), nil, false)
	is.Equal(out.Reason, Reason(""))
	breakCalls(q, now.Add(time.Second), nil)
	is.Equal(len(out.Handles), spec.MaxPieces)
}

// TestPieceThatEndsUpstreamsComesAgain guards against pieces with a key that end each upstream that runs them, and do so anew for each
// request that comes with them, and against a sound key that is refused after it shared their calls, or for good after an outage.
func TestPieceThatEndsUpstreamsComesAgain(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	q := newQueue(spec, "z", "z", "z", "z")
	add := func(key string) (*Job, *Outcome) {
		j, out := newJob(now, 1, 20*time.Second, time.Minute)
		j.Key = key
		q.Add(now, j)
		return j, out
	}
	broken, served, asked := 0, 0, 0
	for range 600 { // each 100 ms for a minute
		bad, badOutcome := add("bad")
		_, out := add("sound")
		broken += breakCalls(q, now, bad)
		is.Equal(badOutcome.Reason, ReasonFailed)
		asked++
		if out.Reason == "" {
			served++
		}
		now = now.Add(100 * time.Millisecond)
	}
	is.True(broken <= maxBreaks+1+3) // tried again after 0.5, 4 and 32 s
	is.Equal(served, asked)
	// The upstreams are mended.
	now = now.Add(time.Hour)
	_, out := add("bad")
	breakCalls(q, now, nil)
	is.Equal(out.Reason, Reason(""))
	_, out = add("bad")
	breakCalls(q, now, nil)
	is.Equal(out.Reason, Reason(""))
	is.Equal(len(q.broken), 0)
	for i := range 1000 {
		j, _ := add(fmt.Sprint("key-", i))
		q.recordBreak(now, j, true)
		is.True(len(q.broken) <= maxContents)
	}
}
