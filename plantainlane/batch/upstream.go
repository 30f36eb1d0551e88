package batch

import (
	"time"
)

// Upstream is an upstream that makes pieces.
type Upstream struct {
	ID      string
	Address string
	Zone    string
	// Leaving upstreams get no new calls.
	Leaving bool

	calls int
	// used is the room that results take, in bytes.
	used int
	held map[string]heldResult
	// unneeded results were given up and still take room.
	unneeded      []string
	unneededBytes int
	// slowness is the time of calls over the expected time, smoothed. 1 at first.
	slowness float64
	failures int
	// notBefore is when the upstream may be tried again after a failure.
	notBefore time.Time
}

type heldResult struct {
	bytes int
	until time.Time
}

// isQuick tells whether an upstream takes new calls at about its usual pace.
func (u *Upstream) isQuick() bool { return !u.Leaving && u.slowness < slowLimit }

func (u *Upstream) before(other *Upstream, zone string) bool {
	if (u.Zone == zone) != (other.Zone == zone) {
		return u.Zone == zone
	}
	if d := u.slowness - other.slowness; max(d, -d) > similarSlowness {
		return d < 0
	}
	return u.used < other.used || u.used == other.used && u.ID < other.ID
}

func (u *Upstream) fail(now time.Time, busy bool) {
	pause := firstPause
	if !busy {
		u.failures++
		pause = min(firstPause<<min(u.failures-1, 6), maxPause)
	}
	u.notBefore = now.Add(pause)
}

func (u *Upstream) succeed(took, usual time.Duration) {
	u.failures = 0
	if usual > 0 {
		ratio := max(float64(took)/float64(usual), 1)
		u.slowness += slowShare * (ratio - u.slowness)
	}
}

func (u *Upstream) hold(handle string, bytes int, until time.Time) {
	u.held[handle] = heldResult{bytes: bytes, until: until}
	u.used += bytes
}

// release forgets a result.
func (u *Upstream) release(handle string) {
	u.used -= u.held[handle].bytes
	delete(u.held, handle)
}
