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

// BenchmarkOwner measures the work of a queue's owner for one piece, in steps of decisionInterval, at the number of
// upstreams and of jobs that wait. As many jobs arrive as the upstreams can run.
func BenchmarkOwner(b *testing.B) {
	for _, upstreams := range []int{45, 156, 1500} {
		for _, waiting := range []int{10, 1000, 4000} {
			b.Run(fmt.Sprintf("upstreams=%d/waiting=%d", upstreams, waiting), func(b *testing.B) { benchmarkOwner(b, upstreams, waiting) })
		}
	}
}

// benchmarkOwner runs b.N pieces.
func benchmarkOwner(b *testing.B, upstreams, waiting int) {
	spec := site.Batch{Slots: 1, MaxPieces: 8, CallTime: 240 * time.Millisecond, PieceTime: 26 * time.Millisecond, MemoryBytes: 9_600_000, KeepFor: 4 * time.Second}
	zones := make([]string, upstreams)
	for i := range zones {
		zones[i] = string(rune('a' + i%5))
	}
	q := newQueue(spec, zones...)
	q.WaitTimesOf = func(string) WaitTimes { return WaitTimes{OnTime: 100 * time.Millisecond, All: 200 * time.Millisecond} }
	now := time.Now()
	callTime := spec.CallTime + time.Duration(spec.MaxPieces)*spec.PieceTime
	perStep := float64(upstreams*spec.MaxPieces) * float64(decisionInterval) / float64(callTime)
	jobs, added, owed := 0, 0, 0.0
	add := func() {
		jobs++
		j, _ := newJob(now, 2, time.Duration(500+jobs%700)*time.Millisecond, time.Hour)
		j.Bytes, j.NextServices, j.Zone, j.CrossBytes = []int{8_000, 8_000, 800_000}[jobs%3], []string{"next"}, zones[jobs%len(zones)], 400_000
		j.Priority = jobs % 3
		q.Add(now, j)
		added += j.Pieces
	}
	for range waiting {
		add()
	}
	var calls []*Call
	added = 0
	b.ReportAllocs()
	b.ResetTimer()
	for added < b.N {
		now = now.Add(decisionInterval)
		for owed += perStep; owed >= 2; owed -= 2 {
			add()
		}
		for len(calls) > 0 && now.Sub(calls[0].StartedAt) >= callTime {
			done := completedResults(calls[0], fmt.Sprint("h", jobs, ".", len(calls)))
			q.Done(now, calls[0], done, false)
			for _, r := range done {
				q.Release([]string{r.Handle})
			}
			calls = calls[1:]
		}
		for id, handles := range q.Freeable() {
			q.Freed(id, handles)
		}
		for c := q.Next(now); c != nil; c = q.Next(now) {
			calls = append(calls, c)
		}
		q.WaitTimes(now)
	}
}
