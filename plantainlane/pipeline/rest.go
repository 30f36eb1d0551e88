package pipeline

import (
	"context"
	"time"
)

// maxRestFraction is the largest fraction of the time left to a stage for which it waits for upstreams whose limits allow
// no call.
const maxRestFraction = 0.5

// prepareFirst prepares an attempt as prepare does. While no upstream accepts work and the limits of some allow no call,
// it waits for the first of these.
func (x *execution) prepareFirst(ctx context.Context, s *stageRun) (*attempt, error) {
	now := time.Now()
	waitUntil := now.Add(time.Duration(maxRestFraction * float64(s.deadline.Sub(now))))
	for {
		a, err := x.prepare(s)
		if err == nil || !x.waitForRest(ctx, s, waitUntil) {
			return a, err
		}
	}
}

// waitForRest waits until the first upstream of the stage ends its rest. It returns false if none rests, if the rest
// ends after waitUntil, or if ctx ends.
func (x *execution) waitForRest(ctx context.Context, s *stageRun, waitUntil time.Time) bool {
	q := x.query(s)
	q.Avoid = nil
	now := time.Now()
	until, ok := x.Picker.RestsUntil(now, q)
	return ok && !until.After(waitUntil) && sleep(ctx, until.Sub(now))
}
