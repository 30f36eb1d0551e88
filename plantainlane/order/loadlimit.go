package order

import (
	"math/rand/v2"
	"time"

	"plantainlane/wire"
)

// pace keeps loads under the weight store's rate over all instances, since one leader paces them all. Its
// bucket starts empty: an earlier leader may just have used the burst.
type pace struct {
	rate     wire.Rate
	left     float64
	at       time.Time
	refusals int
	blocked  time.Time
}

func (p *pace) refill(now time.Time) {
	if p.at.IsZero() {
		p.at = now
	}
	p.left = min(p.rate.Burst, p.left+now.Sub(p.at).Seconds()*p.rate.PerSecond)
	p.at = now
}

// take reports whether a load may begin. One that takes more than the burst waits for a full bucket, and the
// loads after it wait until its debt is paid.
func (p *pace) take(now time.Time, units float64) bool {
	if now.Before(p.blocked) || p.left < min(units, p.rate.Burst) {
		return false
	}
	p.left -= units
	return true
}

// refuse empties the bucket and blocks all loads for the time that the store asked for, or a backoff if that is
// longer.
func (p *pace) refuse(now time.Time, after time.Duration, t Timing, random *rand.Rand) {
	p.left = min(p.left, 0)
	wait := max(after, backoff(p.refusals, t, random))
	p.refusals++
	if until := now.Add(wait); until.After(p.blocked) {
		p.blocked = until
	}
}

func (p *pace) served() { p.refusals = 0 }

// backoff doubles with the failures before, with a jitter of up to half of it.
func backoff(failures int, t Timing, random *rand.Rand) time.Duration {
	wait := t.Backoff << min(failures, 16)
	if wait > t.MaxBackoff || wait <= 0 {
		wait = t.MaxBackoff
	}
	return wait + time.Duration(random.Int64N(int64(wait)/2+1))
}
