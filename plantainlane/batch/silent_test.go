package batch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// TestSilentUpstreamLosesRunningCalls guards against calls that are given up or made again at another upstream because
// theirs was only silent for a while, so that its announcement expired.
func TestSilentUpstreamLosesRunningCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var silent atomic.Bool
		source := func() (site.Batch, []Upstream, bool) {
			if silent.Load() {
				return grownStage, nil, true
			}
			return grownStage, upstreams("z"), true
		}
		executor := &timedExecutor{spec: grownStage}
		publish := func(WaitTimes) {}
		o := newOwner(queueID{service: "encode"}, executor, source, publish, func(string) WaitTimes { return WaitTimes{} }, func() bool { return true })
		go o.run(ctx)
		j, out := newJob(time.Now(), 1, time.Second, 5*time.Second)
		o.send(ctx, added{j})
		time.Sleep(50 * time.Millisecond)
		silent.Store(true)
		time.Sleep(100 * time.Millisecond)
		silent.Store(false)
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		is.Equal(len(out.Handles), 1)
		is.Equal(executor.calls.Load(), int64(1))
	})
}
