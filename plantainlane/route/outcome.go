package route

import (
	"math"
	"time"

	"plantainlane/wire"
)

// Result is how a call to an upstream ended.
type Result int

const (
	// Success is a whole answer, also one that came after the deadline.
	Success Result = iota
	// Failure is an error of the upstream or of the connection to it, or silence.
	Failure
	// Refused is the upstream's own statement that the work did not run because it is busy.
	Refused
	// Cancelled is a call that this instance gave up before the upstream answered.
	Cancelled
)

// Outcome reports a call that ended.
type Outcome struct {
	Result Result
	// Latency is the time from sending to the end of the call.
	Latency time.Duration
}

// Target is an upstream chosen for one attempt. Done must be called once.
type Target struct {
	ID      string
	Address string
	Zone    string
	// Incarnation is the upstream's incarnation when it was chosen.
	Incarnation int
	// Capacity is the number of calls the upstream works on at once.
	Capacity int
	// Models that the upstream serves, as name@version; not to be changed.
	Models []string
	// Role of an engine; empty for other upstreams.
	Role string

	upstream *upstream
	balancer *Balancer
}

// Done reports the end of the attempt.
func (t Target) Done(now time.Time, o Outcome) {
	u := t.upstream
	at := t.balancer.since(now)
	u.inFlight.Add(-1)
	switch o.Result {
	case Success:
		u.progress.Store(at)
		if u.failures.Load() != 0 {
			u.failures.Store(0)
		}
		u.endProbation()
		u.observe(o.Latency)
	case Failure:
		u.progress.Store(at)
		u.failures.Add(1)
		u.failed.Add(1)
		u.observeLowerBound(o.Latency)
		u.ejectOnFailures(at)
	case Refused:
		u.progress.Store(at)
		u.endProbation()
		u.markFull()
	case Cancelled:
		u.observeLowerBound(o.Latency)
	}
}

// observeLowerBound takes a latency that the upstream would have exceeded.
func (u *upstream) observeLowerBound(sample time.Duration) {
	if float64(sample) > math.Float64frombits(u.latency.Load()) && u.latency.Load() != 0 {
		u.observe(sample)
	}
}

// markFull makes the upstream look full until its next reports say otherwise.
func (u *upstream) markFull() {
	full := float32(max(u.capacity.Load()-u.inFlight.Load(), 0))
	if full > math.Float32frombits(u.others.Load()) {
		u.others.Store(math.Float32bits(full))
	}
}

func (u *upstream) endProbation() {
	if u.state.Load() == probation {
		u.state.CompareAndSwap(probation, open)
	}
}

// Progressed notes that the upstream goes on with the attempt, such as by an event of a stream.
func (t Target) Progressed(now time.Time) { t.upstream.progress.Store(t.balancer.since(now)) }

// Reported takes the load that the upstream told with an answer.
func (t Target) Reported(load wire.UpstreamLoad) {
	t.upstream.report(load)
}
