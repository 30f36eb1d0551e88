package order

import (
	"math/rand/v2"
	"time"

	"plantainlane/wire"
)

// loadLimiter is a token bucket that keeps the loads of weights below the weight store's rate. One limiter is
// enough for all engines, since only the leader orders loads. The bucket starts empty, because the previous leader
// may just have used the burst.
type loadLimiter struct {
	// rate is the weight store's rate.
	rate wire.Rate
	// tokens is in units of the weight store's rate; it is negative after a load that costs more than the burst.
	tokens     float64
	refilledAt time.Time
	// refusals counts the weight store's consecutive refusals.
	refusals int
	// blockedUntil is until when no load may start after a refusal.
	blockedUntil time.Time
}

// refill adds the tokens for the time since the last refill, up to the burst.
func (l *loadLimiter) refill(now time.Time) {
	if l.refilledAt.IsZero() {
		l.refilledAt = now
	}
	l.tokens = min(l.rate.Burst, l.tokens+now.Sub(l.refilledAt).Seconds()*l.rate.PerSecond)
	l.refilledAt = now
}

// take takes a load's units from the bucket and reports whether the load may start. A load that costs more than the
// burst waits for a full bucket and leaves tokens negative, so that later loads wait until the bucket is
// refilled.
func (l *loadLimiter) take(now time.Time, units float64) bool {
	if now.Before(l.blockedUntil) || l.tokens < min(units, l.rate.Burst) {
		return false
	}
	l.tokens -= units
	return true
}

// recordRefusal handles a load that the weight store refused: it empties the bucket and blocks all loads for
// retryAfter, which the store asked for, or for the backoff if that is longer.
func (l *loadLimiter) recordRefusal(now time.Time, retryAfter time.Duration, t Timing, random *rand.Rand) {
	l.tokens = min(l.tokens, 0)
	wait := max(retryAfter, backoff(l.refusals, t, random))
	l.refusals++
	if until := now.Add(wait); until.After(l.blockedUntil) {
		l.blockedUntil = until
	}
}

// recordSuccess resets the backoff after a completed load.
func (l *loadLimiter) recordSuccess() { l.refusals = 0 }

// backoff returns the wait after a failure: it doubles with each previous consecutive failure, up to
// t.MaxBackoff, and a random jitter of up to half of it is added.
func backoff(failures int, t Timing, random *rand.Rand) time.Duration {
	wait := t.Backoff << min(failures, 16)
	if wait > t.MaxBackoff || wait <= 0 {
		wait = t.MaxBackoff
	}
	return wait + time.Duration(random.Int64N(int64(wait)/2+1))
}
