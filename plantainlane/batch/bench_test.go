package batch

import (
	"fmt"
	"testing"
	"time"

	"plantainlane/plantainlane/site"
)

// BenchmarkBacklog measures the work of a queue's owner for one job while more than a thousand pieces wait: the job is
// added, its pieces are sent in calls, and its results are released.
func BenchmarkBacklog(b *testing.B) {
	large := site.Batch{Slots: 1, MaxPieces: 48, CallTime: 240 * time.Millisecond, PieceTime: 4 * time.Millisecond, MemoryBytes: 5_300_000, KeepFor: 4 * time.Second}
	q := newQueue(large, "a", "b", "c", "a", "b", "c", "a", "b", "c", "a", "b", "c", "a", "b", "c")
	q.WaitTimesOf = func(string) WaitTimes { return WaitTimes{OnTime: 100 * time.Millisecond, All: 200 * time.Millisecond} }
	now := time.Now()
	n := 0
	add := func() {
		n++
		j, _ := newJob(now, 7, time.Duration(500+n%700)*time.Millisecond, 12*time.Second)
		j.Bytes, j.NextServices, j.Zone, j.CrossBytes = 60_000, []string{"next"}, []string{"a", "b", "c"}[n%3], 400_000
		j.Inputs = []string{"x"}
		q.Add(now, j)
	}
	for range 250 {
		add()
	}
	var calls []*Call
	var results []string
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(4 * time.Millisecond)
		add()
		if c := q.Next(now); c != nil {
			calls = append(calls, c)
		}
		if len(calls) > 0 && now.Sub(calls[0].StartedAt) > 440*time.Millisecond {
			c := calls[0]
			calls = calls[1:]
			done := completedResults(c, fmt.Sprint("h", n))
			for _, r := range done {
				results = append(results, r.Handle)
			}
			q.Done(now, c, done, false)
		}
		for len(results) > 600 {
			q.Release(results[:7])
			results = results[7:]
		}
		for id, handles := range q.Freeable() {
			q.Freed(id, handles)
		}
		q.WaitTimes(now)
	}
}
