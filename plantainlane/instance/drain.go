package instance

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"plantainlane/plantainlane/control"
)

const (
	// drainPoll is the period at which a drain is looked for.
	drainPoll = 50 * time.Millisecond
	// spread is how long it takes until no instance names a draining one in its entry answer.
	spread = 3 * time.Second
	// handOver is how long a draining instance that takes no callers waits until another one leads.
	handOver = time.Second
	// closeTimeout bounds the closing of listeners that carry no caller's work.
	closeTimeout = time.Second
)

// Drain asks the instance to drain and stop.
func (x *Instance) Drain(ctx context.Context) {
	x.loop.Deliver(ctx, control.DrainRequested{Instance: x.self.ID, Reply: make(chan error, 1)})
}

// waitForDrain returns when a drain is over or ctx ended. A draining instance has left the entry answer and
// serves on until no caller can hold an answer that names it; then it finishes what is in flight.
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
	case <-time.After(x.leaveTime()):
	}
	limit, cancel := context.WithTimeout(ctx, time.Duration(x.settings.Entry.DrainLimit))
	defer cancel()
	for _, s := range x.traffic {
		s.shutdown(limit)
	}
	x.runner.WaitResolved(limit)
	x.loop.Deliver(limit, control.TrafficEnded{})
	x.flushCosts(limit)
	klog.InfoS("drained")
}

// leaveTime is how long a draining instance serves as before: until no caller can hold an answer that names it. One
// that takes no callers only hands its leadership over.
func (x *Instance) leaveTime() time.Duration {
	if x.self.ControlOnly {
		return handOver
	}
	return time.Duration(x.settings.Entry.KeepFor) + spread
}

func (x *Instance) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range x.servers {
		s.shutdown(ctx)
	}
}
