package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestContentionIsNoSlowdown guards against an upstream that gets no calls for seconds because its machine was short of room
// for a moment, and against one that is slow by itself and isn't seen.
func TestContentionIsNoSlowdown(t *testing.T) {
	for name, c := range map[string]struct {
		pace   int
		isFast bool
	}{"contention": {250, true}, "slow by itself": {100, false}, "pace unknown": {0, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q, now := newQueue(spec, "z"), time.Now()
			for range 4 {
				j, _ := newJob(now, spec.MaxPieces, time.Second, time.Minute)
				q.Add(now, j)
				call := q.Next(now)
				took := q.callTime(spec.MaxPieces)
				call.Pace = c.pace
				now = now.Add(took * 5 / 2)
				q.Done(now, call, completedResults(call, name), false)
				now = now.Add(time.Second)
			}
			is.Equal(q.upstreams["w0"].isFast(), c.isFast)
		})
	}
}

// TestCallsAvoidContention guards against a call that goes to an upstream under contention while another one is free, and
// against one that is expected too early there or times out for it.
func TestCallsAvoidContention(t *testing.T) {
	is := is.New(t)
	q, now := newQueue(spec, "z", "z"), time.Now()
	send := func() *Call {
		j, _ := newJob(now, spec.MaxPieces, time.Second, time.Minute)
		q.Add(now, j)
		return q.Next(now)
	}
	first, second := send(), send()
	is.Equal(first.Upstream.ID, "w0")
	normal := q.callTime(spec.MaxPieces)
	is.Equal(first.ExpectedAt, now.Add(normal))
	is.Equal(first.timeout, 4*normal+500*time.Millisecond)
	now = now.Add(normal)
	first.Pace, second.Pace = 250, 50
	q.Done(now, first, completedResults(first, "a"), false)
	q.Done(now, second, completedResults(second, "b"), false)
	third, fourth := send(), send()
	is.Equal(third.Upstream.ID, "w1") // the faster one
	is.True(third.ExpectedAt.Sub(now) < normal)
	is.Equal(third.timeout, first.timeout) // its pace may end before the call
	is.Equal(fourth.Upstream.ID, "w0")     // better than none
	took := fourth.ExpectedAt.Sub(now)
	is.True(took > normal*3/2 && took < normal*5/2)
	is.True(fourth.timeout > first.timeout)
	now = now.Add(normal)
	third.Pace, fourth.Pace = 250, 250
	q.Done(now, third, completedResults(third, "c"), false)
	q.Done(now, fourth, completedResults(fourth, "d"), false)
	now = now.Add(time.Second)
	is.Equal(send().ExpectedAt, now.Add(normal)) // the reports are old
}
