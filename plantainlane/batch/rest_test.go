package batch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/quota"
)

// limitedExecutor sends a call to the first upstream at most once a second, and answers calls after 10 ms.
type limitedExecutor struct {
	mu sync.Mutex
	// next is when the first upstream's limit allows a call again.
	next time.Time
	// sent is the number of calls by upstream.
	sent map[string]int
}

func (e *limitedExecutor) Execute(_ context.Context, c *Call) ([]Result, bool, error) {
	e.mu.Lock()
	if c.Upstream.ID == "w0" {
		if now := time.Now(); now.Before(e.next) {
			defer e.mu.Unlock()
			return nil, false, &quota.Refusal{Until: e.next}
		}
		e.next = time.Now().Add(time.Second)
	}
	e.sent[c.Upstream.ID]++
	e.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	return completedResults(c, c.Items[0].Job.Request), false, nil
}

func (*limitedExecutor) Free(context.Context, []string) {}

// TestLimitOfUpstreamFailsJobs guards against jobs that fail or wait because the limit of an upstream allows no call, and
// against an owner that takes such an upstream for a failing one or asks for it again and again.
func TestLimitOfUpstreamFailsJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		executor := &limitedExecutor{sent: make(map[string]int)}
		n := newDispatchers(t, executor, "a")
		for range 40 {
			started := time.Now()
			out := n.dispatchers["a"].Run(t.Context(), "encode", testJob("r"))
			is.Equal(out.Reason, Reason(""))
			is.True(time.Since(started) < 200*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
		}
		u := n.dispatchers["a"].owner(queueID{service: "encode"}).queue.upstreams["w0"]
		is.Equal(u.failures, 0)
		is.True(executor.sent["w0"] >= 1 && executor.sent["w0"] <= 6)
		is.True(executor.sent["w1"] >= 30)
	})
}
