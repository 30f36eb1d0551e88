package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fullCall adds a job that fills a call, and returns the call.
func fullCall(q *Queue, now time.Time) *Call {
	j, _ := newJob(now, spec.MaxPieces, time.Second, time.Minute)
	q.Add(now, j)
	return q.Next(now)
}

// TestContentionIsNoSlowdown guards against an upstream that gets no calls for seconds because its machine was short of room
// for a moment, and against one that is slow by itself and isn't seen.
func TestContentionIsNoSlowdown(t *testing.T) {
	for pace, isFast := range map[int]bool{250: true, 100: false, 0: false} {
		is, q, now := is.New(t), newQueue(spec, "z"), time.Now()
		for range 4 {
			call := fullCall(q, now)
			call.Pace = pace
			now = now.Add(q.callTime(spec.MaxPieces) * 5 / 2)
			q.Done(now, call, completedResults(call, "r"), false)
			now = now.Add(time.Second)
		}
		is.Equal(q.upstreams["w0"].isFast(), isFast)
	}
}

// TestCallsAvoidContention guards against a call that goes to an upstream under contention while another one is free, and
// against one that is expected too early there or times out for it.
func TestCallsAvoidContention(t *testing.T) {
	is, q, now := is.New(t), newQueue(spec, "z", "z"), time.Now()
	normal := q.callTime(spec.MaxPieces)
	first, second := fullCall(q, now), fullCall(q, now)
	is.Equal(first.Upstream.ID, "w0")
	is.Equal(first.ExpectedAt, now.Add(normal))
	now = now.Add(normal)
	first.Pace, second.Pace = 250, 50
	q.Done(now, first, completedResults(first, "a"), false)
	q.Done(now, second, completedResults(second, "b"), false)
	third, fourth := fullCall(q, now), fullCall(q, now)
	is.Equal(third.Upstream.ID, "w1")      // the faster one
	is.Equal(third.timeout, first.timeout) // its pace may end before the call
	took := fourth.ExpectedAt.Sub(now)
	is.True(third.ExpectedAt.Sub(now) < normal && took > normal*3/2 && took < normal*5/2)
	is.True(fourth.timeout > first.timeout)
}
