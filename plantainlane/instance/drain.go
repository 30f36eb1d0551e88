package instance

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/forward"
)

const (
	// drainPollInterval is the period at which the instance checks whether it is to drain.
	drainPollInterval = 50 * time.Millisecond
	// propagationDelay is how long after the start of a drain other instances may still list the draining instance in
	// their entry answers.
	propagationDelay = 3 * time.Second
	// noticeDelay is how long the process may take to notice that it is to drain. Callers count from the signal.
	noticeDelay = 500 * time.Millisecond
	// leadershipTransferTime is how long a draining instance without callers waits for another instance to become
	// leader.
	leadershipTransferTime = time.Second
	// closeTimeout is the maximum wait for the requests that are in flight at the end of Run. After a drain, there are
	// no requests of callers among them.
	closeTimeout = time.Second
	// finalAnswerTime is the time at the end of a drain for the answers to requests that are not completed.
	finalAnswerTime = 300 * time.Millisecond
)

// errDrained is the cause for which requests are cancelled that are still in flight at the end of a drain.
var errDrained = errors.New("instance: drained")

// Drain requests that the instance drains and stops. It returns before the drain has ended.
func (x *Instance) Drain(ctx context.Context) {
	now := time.Now()
	x.drainAsked.CompareAndSwap(nil, &now)
	x.loop.Deliver(ctx, control.DrainRequested{Instance: x.self.ID, Reply: make(chan error, 1)})
}

// waitForDrain returns when the instance has drained or ctx ends. The control goroutine starts the drain, from which on
// entry answers no longer list the instance. The instance keeps accepting requests for drainDelay. Then it stops
// accepting them, and waits up to the DrainLimit of the settings for the requests in flight, for the resolution of
// their claims and for the commit of their costs.
func (x *Instance) waitForDrain(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !x.View().Draining {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	limit := time.Duration(x.settings.Entry.DrainLimit)
	now := time.Now()
	if asked := x.drainAsked.Load(); asked != nil {
		now = *asked
	}
	drain := forward.Drain{CallersGone: now.Add(propagationDelay - noticeDelay), Ends: now.Add(x.drainDelay() + limit - finalAnswerTime)}
	x.drain.Store(&drain)
	klog.InfoS("draining", "keepFor", x.settings.Entry.KeepFor, "callersGone", drain.CallersGone, "ends", drain.Ends)
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Until(now.Add(x.drainDelay()))):
	}
	drainCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var all sync.WaitGroup
	for _, s := range x.callerServers {
		all.Go(func() { s.shutdown(drainCtx) })
	}
	all.Wait()
	x.runner.WaitResolved(drainCtx)
	x.loop.Deliver(drainCtx, control.TrafficEnded{})
	x.flushCosts(drainCtx)
	klog.InfoS("drained")
}

// drainOfRequests returns what requests need to know of the drain; the zero value unless the instance drains.
func (x *Instance) drainOfRequests() forward.Drain {
	if drain := x.drain.Load(); drain != nil {
		return *drain
	}
	return forward.Drain{}
}

// mayTake reports whether the instance may take a pipeline's request now that must end by a deadline.
func (x *Instance) mayTake(deadline time.Time) bool {
	now := time.Now()
	return x.drainOfRequests().MayTake(now, now, deadline)
}

// drainDelay returns how long a draining instance keeps accepting requests: until no caller can hold a cached entry
// answer that lists the instance. An instance without callers only waits for the transfer of its leadership.
func (x *Instance) drainDelay() time.Duration {
	if x.self.ControlOnly {
		return leadershipTransferTime
	}
	return time.Duration(x.settings.Entry.KeepFor) + propagationDelay
}

// closeServers closes all listeners, and aborts the requests that are still in flight after closeTimeout.
func (x *Instance) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range x.servers {
		s.shutdown(ctx)
	}
}
