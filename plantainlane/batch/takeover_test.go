package batch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fullExecutor runs calls at upstreams whose memory the results of a previous owner fill until they expire.
type fullExecutor struct {
	timedExecutor
	fullUntil time.Time
	// refused counts the pieces that were refused for lack of memory.
	refused atomic.Int64
}

func (e *fullExecutor) Execute(ctx context.Context, c *Call) ([]Result, bool, error) {
	if time.Now().After(e.fullUntil) {
		return e.timedExecutor.Execute(ctx, c)
	}
	e.refused.Add(int64(len(c.Items)))
	time.Sleep(e.spec.CallTime)
	results := make([]Result, len(c.Items))
	for i := range results {
		results[i].Reason = ReasonNoMemory
	}
	return results, false, nil
}

func (e *fullExecutor) FreeMemory(context.Context, *Upstream) (low, high int, err error) {
	time.Sleep(2 * time.Millisecond)
	if time.Now().After(e.fullUntil) {
		return e.spec.MemoryBytes, e.spec.MemoryBytes, nil
	}
	return 0, 0, nil
}

// TestNewOwnerSendsNoCallsToFullUpstreams guards against a new owner that takes all memory for free though the results
// of its predecessor fill it: its calls would be refused, and upstreams would be busy for nothing.
func TestNewOwnerSendsNoCallsToFullUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		e := &fullExecutor{timedExecutor: timedExecutor{spec: grownStage}, fullUntil: time.Now().Add(900 * time.Millisecond)}
		o := startOwner(ctx, e, func() {})
		completed := 0
		for range 100 {
			j, _ := newJob(time.Now(), 7, time.Minute, 2*time.Minute)
			j.Bytes = 60_000
			j.OnDone = func(Outcome) { completed++ }
			o.send(ctx, added{j})
		}
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		is.Equal(e.refused.Load(), int64(0))
		is.Equal(completed, 100) // calls go on when the memory is free
	})
}

// TestUnknownResultsExpire checks that the memory which unknown results occupy becomes free within their time to live.
func TestUnknownResultsExpire(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	small := spec
	small.MemoryBytes = 16_000
	q := newQueue(small, "z")
	q.SetFreeMemory(now, "w0", 0, 0)
	j, _ := newJob(now, 8, time.Second, 10*time.Second)
	q.Add(now, j)
	is.True(q.Next(now) == nil)
	is.True(q.Next(now.Add(spec.KeepFor/4)) == nil)
	is.Equal(len(q.Next(now.Add(spec.KeepFor/2+time.Millisecond)).Items), 8)
}

// TestOwnResultsAreNotUnknown checks that a measurement of the free memory counts only results that the queue doesn't
// know, neither those that it holds nor those of a call in flight.
func TestOwnResultsAreNotUnknown(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	small := spec
	small.MemoryBytes = 32_000
	q := newQueue(small, "z")
	first, _ := newJob(now, 8, time.Second, 10*time.Second)
	second, _ := newJob(now, 8, time.Second, 10*time.Second)
	q.Add(now, first)
	c := q.Next(now)
	q.Done(now, c, completedResults(c, "h"), false)
	q.Add(now, second)
	is.True(q.Next(now) != nil)
	q.SetFreeMemory(now, "w0", 10_000, 10_000)
	is.Equal(q.upstreams["w0"].unknown, 6_000)
}

// TestCoarseMeasurementKeepsQueueRunning guards against upstreams that report their memory in units larger than it: an
// owner that took the report for exact would send them no calls.
func TestCoarseMeasurementKeepsQueueRunning(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	small := spec
	small.MemoryBytes = 660_000
	q := newQueue(small, "z")
	q.SetFreeMemory(now, "w0", 0, 1_000_000)
	j, _ := newJob(now, 8, time.Second, 10*time.Second)
	q.Add(now, j)
	is.Equal(len(q.Next(now).Items), 8)
}

// TestRefusedCallShowsUnknownResults guards against an owner that sends full calls again and again to an upstream which
// refused most of one for lack of memory.
func TestRefusedCallShowsUnknownResults(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	small := spec
	small.MemoryBytes = 16_000
	q := newQueue(small, "z")
	j, _ := newJob(now, 8, time.Second, 10*time.Second)
	q.Add(now, j)
	c := q.Next(now)
	results := make([]Result, 8)
	for i := range results {
		results[i].Reason = ReasonNoMemory
	}
	results[0] = Result{Handle: "h"}
	now = now.Add(spec.CallTime)
	q.Done(now, c, results, false)
	is.Equal(q.upstreams["w0"].unknown, 15_000) // the memory was full
	is.True(q.Next(now.Add(2*noMemoryPause)) == nil)
	is.Equal(len(q.Next(now.Add(spec.KeepFor/2)).Items), 7)
}
