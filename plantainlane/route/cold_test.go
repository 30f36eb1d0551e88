package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestColdUpstreamGetsLittleAndThenItsShare guards against an upstream that gets its full load while it is cold, or is
// starved after it has become warm.
func TestColdUpstreamGetsLittleAndThenItsShare(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcements(4, "a", 8)...)
	w := &workload{balancer: b, now: afterSlowStart, random: rand.New(rand.NewPCG(13, 14)), latency: func(string) time.Duration {
		return 100 * time.Millisecond
	}}
	is.True(!b.SetCold(w.now, "a-001", 2, w.now.Add(time.Hour))) // another incarnation
	is.True(b.SetCold(w.now, "a-001", 1, w.now.Add(3*time.Second)))
	const every = 10 * time.Millisecond
	is.True(w.run(3*time.Second, every)["a-001"] <= 20) // of 300
	w.run(ReviewInterval, every)
	is.True(w.run(4*time.Second, every)["a-001"] >= 80) // of 400
	is.True(b.SetCold(w.now, "a-001", 1, w.now))        // earlier than known
	is.True(w.run(4*time.Second, every)["a-001"] >= 80)
}

// TestColdUpstreamIsNotPreferred guards against requests that go to a cold upstream for a prefix cache that it has lost.
func TestColdUpstreamIsNotPreferred(t *testing.T) {
	is := is.New(t)
	b := newBalancer(announcements(4, "a", 8)...)
	b.SetCold(afterSlowStart, "a-001", 1, afterSlowStart.Add(time.Second))
	q := Query{Service: "encode", Preferred: []string{"a-001", "a-002"}, PreferredSlack: 100}
	target, _ := b.Pick(afterSlowStart, q)
	is.Equal(target.ID, "a-002")
	target, _ = b.Pick(afterSlowStart.Add(time.Second), q)
	is.Equal(target.ID, "a-001")
	is.True(b.SetCold(afterSlowStart, "a-003", 1, afterSlowStart.Add(time.Second)))
	q.Avoid = []string{"a-000", "a-001", "a-002"}
	target, _ = b.Pick(afterSlowStart, q)
	is.Equal(target.ID, "a-003") // better than none
}
