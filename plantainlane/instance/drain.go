package instance

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"plantainlane/plantainlane/control"
)

const (
	// drainPoll is the period at which the instance checks whether it is to drain.
	drainPoll = 50 * time.Millisecond
	// propagationDelay is how long it takes until no instance lists a draining instance in its entry answer.
	propagationDelay = 3 * time.Second
	// leadershipTransferTime is how long a draining instance without callers waits for another instance to become
	// leader.
	leadershipTransferTime = time.Second
	// closeTimeout is the maximum time for closing the listeners at the end of Run. After a drain they carry no
	// requests of callers.
	closeTimeout = time.Second
)

// Drain requests that the instance drains and stops. It returns before the drain has ended.
func (x *Instance) Drain(ctx context.Context) {
	x.loop.Deliver(ctx, control.DrainRequested{Instance: x.self.ID, Reply: make(chan error, 1)})
}

// waitForDrain returns when the instance has drained or ctx ends. A draining instance is no longer listed in entry
// answers. It keeps accepting requests for drainDelay; then it stops accepting them and waits for those in flight, for
// up to the DrainLimit of the settings.
func (x *Instance) waitForDrain(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !x.View().Draining {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	klog.InfoS("draining", "keepFor", x.settings.Entry.KeepFor)
	select {
	case <-ctx.Done():
		return
	case <-time.After(x.drainDelay()):
	}
	drainCtx, cancel := context.WithTimeout(ctx, time.Duration(x.settings.Entry.DrainLimit))
	defer cancel()
	for _, s := range x.callerServers {
		s.shutdown(drainCtx)
	}
	x.runner.WaitResolved(drainCtx)
	x.loop.Deliver(drainCtx, control.TrafficEnded{})
	x.flushCosts(drainCtx)
	klog.InfoS("drained")
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
