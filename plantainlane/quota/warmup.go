package quota

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/wire"
)

// Warmup is the limit of a cold upstream.
type Warmup struct {
	// PerSecond is the limit in requests a second from all instances together. Positive.
	PerSecond float64
	// Until is when the upstream is warm.
	Until time.Time
}

// Warmups knows which upstreams are cold. It is safe for concurrent use.
type Warmups interface {
	// Warmup returns the limit of a peer that is cold at the time now. It returns false if the peer is warm or takes any
	// number of requests while it is cold.
	Warmup(now time.Time, p Peer) (Warmup, bool)
	// Observe records that a peer has said in an answer that it is cold until a time.
	Observe(p Peer, until time.Time)
}

// WithWarmups has the gate keep the limits of cold upstreams.
func (g *Gate) WithWarmups(w Warmups) *Gate {
	g.warmups = w
	return g
}

// warmup returns the limit of a peer that is cold.
func (g *Gate) warmup(now time.Time, p Peer) (Warmup, bool) {
	if g.warmups == nil {
		return Warmup{}, false
	}
	return g.warmups.Warmup(now, p)
}

// addTo adds the limit of a cold upstream to a query for a permit that is sent now.
func (w Warmup) addTo(q *wire.UpstreamLimit, now time.Time) {
	q.WarmupPerSecond = w.PerSecond
	q.WarmupLeftMs = int(w.Until.Sub(now)/time.Millisecond) + 1
}

// maxWarmup is the longest warm-up that is believed. A longer one counts as this.
const maxWarmup = 10 * time.Minute

// ReadWarmup parses how long an upstream is still cold, in milliseconds. It returns ErrBadWarmup for malformed text; an
// empty one means that nothing is said.
func ReadWarmup(text string) (time.Duration, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !IsValid(ms) {
		return 0, errors.Wrapf(ErrBadWarmup, "%q", text)
	}
	return time.Duration(min(ms, float64(maxWarmup/time.Millisecond)) * float64(time.Millisecond)), nil
}

// warmupLimit is the limit of a cold upstream as the leader knows it from queries. The zero value stands for a warm one.
type warmupLimit struct {
	perSecond float64
	until     time.Time
}

// warmUp records what a query says about the warm-up of its upstream. Instances learn of one at slightly different times and
// may know the limit of different configurations; the later end and the lower limit count.
func (r *row) warmUp(now time.Time, w wire.UpstreamLimit) {
	if w.WarmupLeftMs <= 0 || !IsValid(w.WarmupPerSecond) {
		return
	}
	until := now.Add(min(time.Duration(w.WarmupLeftMs)*time.Millisecond, maxWarmup))
	if !now.Before(r.warmup.until) {
		r.warmup = warmupLimit{w.WarmupPerSecond, until}
		// The first permit is issued one interval later, as for a limit that becomes known.
		r.issued = now.Add(burst(r.interval(now)))
		return
	}
	r.warmup.until = later(r.warmup.until, until)
	r.warmup.perSecond = min(r.warmup.perSecond, w.WarmupPerSecond)
}

// rate returns the number of requests a second that the upstream takes now, infinity if there is no limit.
func (r *row) rate(now time.Time) float64 {
	if now.Before(r.warmup.until) {
		return min(r.statement.rate(), r.warmup.perSecond)
	}
	return r.statement.rate()
}
