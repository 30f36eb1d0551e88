package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestColdUpstreamGetsLittleAndThenItsShare guards against an upstream that gets its full load, or is preferred, while it is
// cold, or is starved after it has become warm.
func TestColdUpstreamGetsLittleAndThenItsShare(t *testing.T) {
	is, b := is.New(t), newBalancer(announcements(4, "a", 8)...)
	w := &workload{balancer: b, now: afterSlowStart, random: rand.New(rand.NewPCG(13, 14)), latency: func(string) time.Duration {
		return 100 * time.Millisecond
	}}
	is.True(!b.SetCold(w.now, "a-001", 2, w.now.Add(time.Hour))) // another incarnation
	is.True(b.SetCold(w.now, "a-001", 1, w.now.Add(3*time.Second)))
	target, _ := b.Pick(w.now, Query{Service: "encode", Preferred: []string{"a-001", "a-002"}, PreferredSlack: 100})
	is.Equal(target.ID, "a-002")
	is.True(w.run(3*time.Second, 10*time.Millisecond)["a-001"] <= 20) // of 300
	w.run(ReviewInterval, 10*time.Millisecond)
	is.True(w.run(4*time.Second, 10*time.Millisecond)["a-001"] >= 80) // of 400
}
