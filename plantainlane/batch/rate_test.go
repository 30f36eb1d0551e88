package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestResultsForNothingAreCounted checks the counts of results that no request used.
func TestResultsForNothingAreCounted(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	q := newQueue(spec, "z")
	ended, _ := newJob(now, 3, time.Second, 5*time.Second)
	waiting, _ := newJob(now, 5, time.Second, 5*time.Second)
	q.Add(now, ended)
	q.Add(now, waiting)
	c := q.Next(now)
	q.Cancel(ended)
	unused := q.Done(now, c, completedResults(c, "h"), false)
	q.Release(unused)
	q.Next(now.Add(spec.KeepFor + 2*keepSlack))
	counts := q.TakeCounts()
	is.Equal(counts.Unused, 3)
	is.Equal(counts.Expired, 5) // those that were never released
}
