package batch

import (
	"time"

	"plantainlane/plantainlane/quota"
)

// Upstream is an upstream that runs pieces. A Source sets the exported fields, a Queue keeps its state in the others.
type Upstream struct {
	quota.Peer
	Zone string
	// Leaving is set while the upstream drains or its zone is evacuated; it gets no new calls.
	Leaving bool

	// calls is the number of calls in flight. The last one is expected to end at endsAt.
	calls  int
	endsAt time.Time
	// endedAt is when the last call ended.
	endedAt time.Time
	// used is the memory that results occupy, in bytes. reserved is the memory that those of the calls in flight need.
	used, reserved int
	// unknown is the memory that results of which the queue doesn't know seemed to occupy at unknownAt, in bytes.
	unknown   int
	unknownAt time.Time
	// unneeded holds the handles of results that are no longer needed and that Freeable hasn't returned yet; some of
	// them may have expired. unneededBytes is their total size.
	unneeded      []string
	unneededBytes int
	// freeing is set from the time that Freeable returned handles until Freed is called.
	freeing bool
	// slowdown is the moving average of the measured time of calls, at the normal pace, over the expected one, each at least
	// 1. It starts at 1.
	slowdown float64
	// pace is the last reported pace.
	pace paceReport
	// usedAt is when the last call was sent or ended.
	usedAt time.Time
	// failures is the number of consecutive failed calls.
	failures int
	// notBefore is when a pause ends: after a failure, or because the upstream takes no call until then.
	notBefore time.Time
}

// isFast reports whether an upstream accepts new calls and runs them at about its typical speed.
func (u *Upstream) isFast() bool { return !u.Leaving && u.slowdown < slowdownLimit }

// isPreferredTo reports whether u is a better choice than other for a job with the given preferred zone: an upstream in
// that zone, or else a clearly faster one, or else one with less memory occupied, or else the one with the lower ID. slower
// is by how much u is expected to be slower than other, see expectedSlowness.
func (u *Upstream) isPreferredTo(other *Upstream, zone string, slower float64) bool {
	if (u.Zone == zone) != (other.Zone == zone) {
		return u.Zone == zone
	}
	if max(slower, -slower) > similarSlowdown {
		return slower < 0
	}
	return u.used < other.used || u.used == other.used && u.ID < other.ID
}

// recordFailure pauses the upstream after a failed call. The pause doubles with each consecutive failure up to
// maxPause; for a call refused at capacity it is always firstPause.
func (u *Upstream) recordFailure(now time.Time, busy bool) {
	pause := firstPause
	if !busy {
		u.failures++
		pause = min(firstPause<<min(u.failures-1, 6), maxPause)
	}
	u.notBefore = now.Add(pause)
}

// rest pauses the upstream until its limit allows a call again.
func (u *Upstream) rest(until time.Time) {
	if until.After(u.notBefore) {
		u.notBefore = until
	}
}

// retrySlow lets a slow upstream that was not used for slowdownValid run calls again, so that its speed is measured. It
// is still the last choice.
func (u *Upstream) retrySlow(now time.Time) {
	if u.slowdown >= slowdownLimit && u.calls == 0 && now.Sub(u.usedAt) >= slowdownValid {
		u.slowdown = retriedSlowdown
	}
}

// recordMemory derives from the results of a call how much memory is occupied by results that the queue doesn't know,
// such as those of a previous owner. used is what was known to be occupied beside this call. Nothing is derived if only a
// few pieces lacked memory, since the sizes of results are approximate.
func (u *Upstream) recordMemory(now time.Time, c *Call, results []Result, memory, used int) {
	made, noMemory := 0, 0
	for i, r := range results {
		switch {
		case r.Handle != "":
			made += c.Items[i].Job.Bytes
		case r.Reason == ReasonNoMemory:
			noMemory++
		}
	}
	if float64(noMemory) > toleratedNoMemory*float64(len(results)) {
		u.unknown, u.unknownAt = max(memory-used-made, 0), now
	}
}

// unknownBytes returns the memory that unknown results may still occupy. They are released step by step, and the last of
// them expires keepFor after it was last seen.
func (u *Upstream) unknownBytes(now time.Time, keepFor time.Duration) int {
	age := max(now.Sub(u.unknownAt)-unknownHold, 0)
	if u.unknown == 0 || age >= keepFor {
		return 0
	}
	return int(float64(u.unknown) * float64(keepFor-age) / float64(keepFor))
}

// recordSuccess resets the consecutive failures and updates slowdown from the measured time of a call at the normal pace and
// the expected one.
func (u *Upstream) recordSuccess(took, expected time.Duration) {
	u.failures = 0
	if expected > 0 {
		ratio := max(float64(took)/float64(expected), 1)
		u.slowdown += slowdownWeight * (ratio - u.slowdown)
	}
}
