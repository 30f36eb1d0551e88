package batch

import (
	"time"
)

// Worker is an upstream that makes pieces.
type Worker struct {
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

func (w *Worker) before(other *Worker, zone string) bool {
	if (w.Zone == zone) != (other.Zone == zone) {
		return w.Zone == zone
	}
	if d := w.slowness - other.slowness; max(d, -d) > similarSlowness {
		return d < 0
	}
	return w.used < other.used || w.used == other.used && w.ID < other.ID
}

func (w *Worker) fail(now time.Time, busy bool) {
	pause := firstPause
	if !busy {
		w.failures++
		pause = min(firstPause<<min(w.failures-1, 6), maxPause)
	}
	w.notBefore = now.Add(pause)
}

func (w *Worker) succeed(took, usual time.Duration) {
	w.failures = 0
	if usual > 0 {
		ratio := max(float64(took)/float64(usual), 1)
		w.slowness += slowShare * (ratio - w.slowness)
	}
}

func (w *Worker) hold(handle string, bytes int, until time.Time) {
	w.held[handle] = heldResult{bytes: bytes, until: until}
	w.used += bytes
}

// release forgets a result.
func (w *Worker) release(handle string) {
	w.used -= w.held[handle].bytes
	delete(w.held, handle)
}
