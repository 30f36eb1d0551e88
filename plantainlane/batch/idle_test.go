package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// scarceSpec has memory for the results of one full call and a half, if the results are large.
var scarceSpec = site.Batch{
	Slots: 1, Waiting: 2, MaxPieces: 8, CallTime: 240 * time.Millisecond, PieceTime: 26 * time.Millisecond,
	MemoryBytes: 9_600_000, KeepFor: 4 * time.Second,
}

// addJobs adds jobs of one piece each.
func addJobs(q *Queue, now time.Time, count, bytes int, due time.Duration) {
	for range count {
		j, _ := newJob(now, 1, due, time.Minute)
		j.Bytes = bytes
		q.Add(now, j)
	}
}

// TestUpstreamIdlesWhileSmallPiecesWait guards against an upstream that gets no call because the first jobs in the queue
// need more memory than it has left, while enough others wait that don't.
func TestUpstreamIdlesWhileSmallPiecesWait(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	q := newQueue(scarceSpec, "z")
	addJobs(q, now, 8, 800_000, time.Second)
	c := q.Next(now)
	is.Equal(len(c.Items), 8)
	now = now.Add(450 * time.Millisecond)
	q.Done(now, c, completedResults(c, "h"), false)
	addJobs(q, now, 20, 800_000, time.Second)
	addJobs(q, now, 8, 8_000, 2*time.Second)
	c = q.Next(now)
	is.True(c != nil)
	is.Equal(len(c.Items), 8)
}

// TestUpstreamIdlesBetweenCalls guards against an upstream that waits between two calls for the answer to the first to
// be handled, while a full call waits.
func TestUpstreamIdlesBetweenCalls(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	q := newQueue(scarceSpec, "z")
	q.ObserveDelay(50 * time.Millisecond)
	addJobs(q, now, 40, 8_000, 3*time.Second)
	first := q.Next(now)
	is.Equal(len(first.Items), 8)
	is.True(q.Next(now) == nil)
	almost := first.ExpectedAt.Add(-40 * time.Millisecond)
	is.True(q.Next(first.ExpectedAt.Add(-200*time.Millisecond)) == nil)
	second := q.Next(almost)
	is.True(second != nil)
	is.Equal(len(second.Items), 8)
	is.True(!second.ExpectedAt.Before(first.ExpectedAt.Add(q.callTime(8))))
	is.True(q.Next(almost) == nil) // one call waits at most
	// The time that the second call waits isn't slowness of the upstream.
	q.Done(first.ExpectedAt, first, completedResults(first, "a"), false)
	q.Done(second.ExpectedAt, second, completedResults(second, "b"), false)
	is.True(first.Upstream.slowdown < 1.05)
	// An upstream whose call is overdue gets none.
	third := q.Next(second.ExpectedAt)
	is.True(third != nil)
	is.True(q.Next(third.ExpectedAt.Add(200*time.Millisecond)) == nil)
}

// TestCallThatIsNotFullWaitsAtUpstream guards against calls that are sent ahead though more pieces could still join them.
func TestCallThatIsNotFullWaitsAtUpstream(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	q := newQueue(scarceSpec, "z")
	addJobs(q, now, 15, 8_000, 3*time.Second)
	first := q.Next(now)
	is.Equal(len(first.Items), 8)
	is.True(q.Next(first.ExpectedAt.Add(-5*time.Millisecond)) == nil)
	// Nor is one if the memory doesn't suffice for it beside the results of the call that runs.
	q = newQueue(scarceSpec, "z")
	addJobs(q, now, 40, 800_000, 3*time.Second)
	first = q.Next(now)
	is.Equal(len(first.Items), 8)
	is.True(q.Next(first.ExpectedAt.Add(-5*time.Millisecond)) == nil)
}

// TestNewOwnerFillsUpstreamsAgain guards against an owner that sends pieces again and again to upstreams which have no
// memory left, for results of which it doesn't know.
func TestNewOwnerFillsUpstreamsAgain(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	start := now
	q := newQueue(scarceSpec, "z")
	const bytes = 800_000
	// The results of the previous owner were made one after another, and expire so.
	unknown := func() int {
		return 6_400_000 - int(6_400_000*min(now.Sub(start), scarceSpec.KeepFor)/scarceSpec.KeepFor)
	}
	noMemory, made := 0, 0
	for call := range 8 {
		addJobs(q, now, 8, bytes, 3*time.Second)
		c := q.Next(now)
		if c == nil {
			now = now.Add(450 * time.Millisecond)
			continue
		}
		if call == 1 {
			noMemory, made = 0, 0 // the first call tells
		}
		results, free := completedResults(c, fmt.Sprint("h", call)), scarceSpec.MemoryBytes-unknown()
		for i := range results {
			if free < bytes {
				results[i] = Result{Reason: ReasonNoMemory}
				noMemory++
				continue
			}
			free -= bytes
			made++
		}
		now = now.Add(450 * time.Millisecond)
		q.Done(now, c, results, false)
		for _, r := range results {
			q.Release([]string{r.Handle})
		}
		for id, handles := range q.Freeable() {
			q.Freed(id, handles)
		}
	}
	t.Log("made", made, "no memory", noMemory)
	is.True(made > 0)
	is.True(float64(noMemory) <= toleratedNoMemory*float64(made+noMemory))
	// What the new owner doesn't know expires.
	now = now.Add(scarceSpec.KeepFor)
	c := q.Next(now)
	is.Equal(len(c.Items), 8)
}

// TestUpstreamIdlesForLackOfMemory guards against an upstream that waits for memory longer than a fuller call is worth, such
// as for results of an unknown owner that don't go.
func TestUpstreamIdlesForLackOfMemory(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	q := newQueue(scarceSpec, "z")
	addJobs(q, now, 40, 800_000, 10*time.Second)
	c := q.Next(now)
	is.Equal(len(c.Items), 8)
	now = now.Add(450 * time.Millisecond)
	q.Done(now, c, completedResults(c, "h"), false)
	// There is memory for four of eight pieces. Two calls of four take 240 ms longer than one of eight.
	is.True(q.Next(now) == nil)
	is.True(q.Next(now.Add(200*time.Millisecond)) == nil)
	c = q.Next(now.Add(250 * time.Millisecond))
	is.True(c != nil)
	is.Equal(len(c.Items), 4)
}
