package route

import (
	"math"
	"time"

	"plantainlane/wire"
)

// Result is how a call to an upstream ended.
type Result int

const (
	// Success is a complete answer, also one received after the deadline.
	Success Result = iota
	// Failure is an error of the upstream or of the connection to it, or a timeout because no data was received.
	Failure
	// Refused is the upstream's answer that it did not run the work because it is busy.
	Refused
	// Cancelled is a call that this instance cancelled before the upstream answered.
	Cancelled
)

// Outcome describes a call that has ended.
type Outcome struct {
	Result Result
	// Latency is the time from sending to the end of the call.
	Latency time.Duration
}

// Target is the upstream that was chosen for one attempt. Done must be called exactly once, when the attempt has ended.
type Target struct {
	ID      string
	Address string
	Zone    string
	// Incarnation is the upstream's incarnation at the time of the choice.
	Incarnation int
	// Capacity is the announced number of calls that the upstream can run concurrently.
	Capacity int
	// Models are the models that the upstream serves, as name@version. The slice must not be modified.
	Models []string
	// Role is the role of an engine; empty for other upstreams.
	Role string

	upstream *upstream
	balancer *Balancer
	// pace is the upstream's pace as known at the time of the choice; 0 if it wasn't looked at.
	pace float64
}

// Done records the end of the attempt. It may eject the upstream or end its probation.
func (t Target) Done(now time.Time, o Outcome) {
	u := t.upstream
	at := t.balancer.since(now)
	u.inFlight.Add(-1)
	switch o.Result {
	case Success:
		u.lastProgress.Store(at)
		if u.failureRun.Load() != 0 {
			u.failureRun.Store(0)
		}
		u.endProbation()
		u.observeLatency(t.normalLatency(at, o))
	case Failure:
		u.lastProgress.Store(at)
		u.failureRun.Add(1)
		u.failuresSinceReview.Add(1)
		u.observeLatencyBound(t.normalLatency(at, o))
		u.ejectOnFailures(at)
	case Refused:
		u.lastProgress.Store(at)
		u.endProbation()
		u.markFull()
	case Cancelled:
		u.observeLatencyBound(t.normalLatency(at, o))
	}
}

// observeLatencyBound records the time of a call that failed or was cancelled. The time is a lower bound of the latency
// that a success would have had, so it counts as a latency sample only if it is above the average.
func (u *upstream) observeLatencyBound(normal float64) {
	if mean := u.meanLatency(); mean != 0 && normal > mean {
		u.observeLatency(normal)
	}
}

// normalLatency returns the latency of an ended call at the normal pace, in nanoseconds. Contention may have ended
// during the call or begun during it, so the slower of the paces at its start and its end counts.
func (t Target) normalLatency(now int64, o Outcome) float64 {
	return atNormalPace(o.Latency, max(t.pace, t.upstream.paceAt(now)))
}

// markFull raises the other load to the upstream's free capacity after a refusal, so that the upstream counts as full
// until its next load reports lower the other load.
func (u *upstream) markFull() {
	minOtherLoad := float32(max(u.capacity.Load()-u.inFlight.Load(), 0))
	if minOtherLoad > math.Float32frombits(u.otherLoad.Load()) {
		u.otherLoad.Store(math.Float32bits(minOtherLoad))
	}
}

func (u *upstream) endProbation() {
	if u.state.Load() == probation {
		u.state.CompareAndSwap(probation, accepting)
	}
}

// Progressed records that the upstream has made progress with the attempt, for example that an event of a stream was
// received. Without these calls a long stream would count as slow.
func (t Target) Progressed(now time.Time) { t.upstream.lastProgress.Store(t.balancer.since(now)) }

// Reported records the load that the upstream reported with an answer received at a time.
func (t Target) Reported(now time.Time, load wire.UpstreamLoad) {
	t.upstream.observeLoad(t.balancer.since(now), load)
}

// ObserveLoad records the load that an upstream reported to another instance at a time.
func (b *Balancer) ObserveLoad(id string, load wire.UpstreamLoad, at time.Time) {
	if u := b.index.get(id); u != nil {
		u.observeShared(b.since(at), load)
	}
}
