package batch

import (
	"time"

	"plantainlane/plantainlane/pace"
)

// paceReport is the pace that an upstream last reported, in percent, and when. The zero value stands for the normal pace.
type paceReport struct {
	percent int
	at      time.Time
}

// over returns the mean pace that is expected over a period from start on.
func (r paceReport) over(start time.Time, period time.Duration) float64 {
	return pace.Over(r.percent, start.Sub(r.at), period)
}

// observePace records the pace that an upstream reported with its answer to a call. It returns how long the call would
// have taken at the normal pace. Contention may have ended during the call or begun during it, so the slower of the paces
// at its start and its end counts.
func (u *Upstream) observePace(now time.Time, c *Call, startedAt time.Time) (normal time.Duration) {
	atStart := u.pace.over(startedAt, 0)
	if c.Pace > 0 {
		u.pace = paceReport{c.Pace, now}
	}
	return pace.Normal(now.Sub(startedAt), max(atStart, u.pace.over(now, 0)))
}

// expectedSlowness returns the expected time of a full call that begins now, relative to that at the normal pace at an
// upstream of typical speed.
func (q *Queue) expectedSlowness(now time.Time, u *Upstream) float64 {
	return u.slowdown * u.pace.over(now, q.callTime(q.spec.MaxPieces))
}

// expect sets when the answer to a call that begins at a time is expected, and when it times out. A pace faster than the
// normal one may end before the call does, so it doesn't bring the time-out forward.
func (q *Queue) expect(c *Call, begins time.Time) {
	took := time.Duration(float64(q.callTime(len(c.Items))) * c.Upstream.slowdown)
	p := c.Upstream.pace.over(begins, took)
	c.ExpectedAt = begins.Add(time.Duration(float64(took) * p))
	c.timeout = callTimeoutFactor*(begins.Sub(c.StartedAt)+time.Duration(float64(took)*max(p, 1))) + callTimeoutSlack
}
