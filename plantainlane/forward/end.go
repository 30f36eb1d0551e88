package forward

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/route"
)

// noticeTime is how long an upstream may take to notice that a connection has ended. Sound ones have stopped work half a second
// later.
const noticeTime = 500 * time.Millisecond

// waitForEnd waits until no upstream works on a stream that may have run, so that another one may go on with it. How the connection
// ended doesn't matter: an upstream, its kernel or the network closes or resets it while the run goes on.
func (q *request) waitForEnd(ctx context.Context, t route.Target, last sendOutcome) {
	if !q.route.Stream || last.result != mayHaveRun || ctx.Err() != nil {
		return
	}
	since := time.Now()
	isGone := waitForRun(ctx, func(ctx context.Context) bool { return exchange.IsRefused(ctx, t.Address) })
	klog.InfoS("waited for the end of a run", "request", q.call.ID, "upstream", t.ID, "isGone", isGone,
		"ms", time.Since(since).Milliseconds())
}

// waitForRun waits until a run whose connection has ended has ended too: its process is gone, or it has had noticeTime to notice. It
// calls isGone once, with a context that ends with the wait, and reports whether the process is gone.
func waitForRun(ctx context.Context, isGone func(ctx context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, noticeTime)
	defer cancel()
	if isGone(ctx) {
		return true
	}
	<-ctx.Done()
	return false
}
