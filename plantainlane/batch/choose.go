package batch

import (
	"slices"
	"time"
)

// before tells whether an order goes before another one: those that can be on time before those that can't.
//
// Load pattern: in a burst, serving by due time alone makes every request late, since the oldest are always served
// just after their time. Late requests are served with what capacity is left.
func (q *Queue) before(now time.Time, a, b *Job) bool {
	return q.compare(now, a, b, (*Job).rank) < 0
}

// compare sorts orders that can be on time before those that can't, and otherwise by rank.
func (q *Queue) compare(now time.Time, a, b *Job, rank func(*Job) time.Time) int {
	callTime := q.usualCall()
	lateA, lateB := a.isLate(now, callTime), b.isLate(now, callTime)
	switch {
	case lateA == lateB:
		return rank(a).Compare(rank(b))
	case lateB:
		return -1
	}
	return 1
}

// plan notes when an order is due with the queues that its request goes through afterwards as they are now.
//
// Load pattern: in a burst the queues of later stages fill while an order waits for the first one. By the waits at the
// time of the order every request is begun and none is on time.
func (q *Queue) plan(o *Job) {
	o.due, o.held = o.Due, false
	if q.WaitTimesOf == nil {
		return
	}
	for _, service := range o.NextServices {
		waits := q.WaitTimesOf(service)
		o.due = o.due.Add(-waits.OnTime)
		o.held = o.held || waits.All > longWait
	}
}

// isHeld tells whether an order has to wait for the queues that its request goes through afterwards.
func (q *Queue) isHeld(now time.Time, o *Job) bool { return o.held && o.isLate(now, q.usualCall()) }

// hasFreeUpstream tells whether some upstream may be sent a call.
func (q *Queue) hasFreeUpstream(now time.Time) bool {
	for _, u := range q.upstreams {
		if q.isFree(now, u) {
			return true
		}
	}
	return false
}

// isFree tells whether an upstream may be sent a call.
func (q *Queue) isFree(now time.Time, u *Upstream) bool {
	return !u.Leaving && u.calls < max(q.spec.Slots, 1) && !now.Before(u.notBefore)
}

// freeUpstream returns the upstream for the next call: of those with a free slot the one of the zone that the most
// urgent order needs its results in, then the quickest.
func (q *Queue) freeUpstream(now time.Time, order []*Job) *Upstream {
	var best *Upstream
	for _, u := range q.upstreams {
		if !q.isFree(now, u) {
			continue
		}
		if u.slowness >= slowLimit && !q.isBacklogged() {
			continue
		}
		if !q.hasRoom(u, order) {
			continue
		}
		if q.isTooFar(now, u, order) {
			continue
		}
		if best == nil || u.before(best, order[0].Zone) {
			best = u
		}
	}
	return best
}

// staysNear tells whether an order still waits for an upstream of the zone in which its results are needed.
func (q *Queue) staysNear(now time.Time, o *Job, u *Upstream) bool {
	if o.Zone == u.Zone || q.near[o.Zone] == 0 {
		return false
	}
	ample := now.Add(q.spec.CallTime + nearSlack).Before(o.due)
	wait := time.Duration(float64(o.CrossBytes) / 1e6 * float64(nearWaitPerMB))
	return ample && now.Sub(o.added) < min(wait, maxNearWait)
}

// isTooFar tells whether all orders still wait for upstreams of other zones.
func (q *Queue) isTooFar(now time.Time, u *Upstream, order []*Job) bool {
	return !slices.ContainsFunc(order, func(o *Job) bool { return !q.staysNear(now, o, u) })
}

// sendable returns the orders with pieces to send now, the first one first.
func (q *Queue) sendable(now time.Time) []*Job {
	out := make([]*Job, 0, len(q.orders))
	for _, o := range q.orders {
		q.plan(o)
		if o.unsent() > 0 && !q.isHeld(now, o) {
			out = append(out, o)
		}
	}
	slices.SortStableFunc(out, func(a, b *Job) int { return q.compare(now, a, b, (*Job).rank) })
	return out
}

// hasRoom tells whether an upstream has room for a call that is worth its time: for what waits, or for the most part
// of a full call.
func (q *Queue) hasRoom(u *Upstream, order []*Job) bool {
	if q.spec.MemoryBytes <= 0 || u.used == 0 {
		return true
	}
	room, fits, wanted := q.spec.MemoryBytes-u.used, 0, 0
	for _, o := range order {
		n := o.unsent()
		if wanted+n > q.spec.MaxPieces {
			n = q.spec.MaxPieces - wanted
		}
		wanted += n
		if n*o.Bytes <= room {
			room -= n * o.Bytes
			fits += n
		}
		if wanted == q.spec.MaxPieces {
			break
		}
	}
	return fits == wanted || float64(fits) >= worthwhileFill*float64(q.spec.MaxPieces)
}

// isBacklogged tells whether more waits than the quick upstreams take in one call each.
func (q *Queue) isBacklogged() bool {
	return q.waiting > q.quickUpstreams()*q.spec.MaxPieces
}

// fill chooses the pieces of a call, the most urgent first. Of the orders that are on time, those whose results are
// needed in the upstream's zone count as a little more urgent.
func (q *Queue) fill(now time.Time, u *Upstream, order []*Job) []Item {
	rank := func(o *Job) time.Time {
		if o.Zone == u.Zone {
			return o.rank().Add(-nearBonus)
		}
		return o.rank()
	}
	slices.SortStableFunc(order, func(a, b *Job) int { return q.compare(now, a, b, rank) })
	order = slices.DeleteFunc(order, func(o *Job) bool { return q.staysNear(now, o, u) })
	var items []Item
	room := q.spec.MemoryBytes - u.used
	for _, o := range order {
		fits := q.spec.MaxPieces - len(items)
		if q.spec.MemoryBytes > 0 && o.Bytes > 0 {
			fits = min(fits, room/o.Bytes)
		}
		// An order that is split holds the results of its first part until the last one is made.
		if o.unsent() > fits && len(items) > 0 {
			continue
		}
		for range min(fits, o.unsent()) {
			room -= o.Bytes
			items = append(items, Item{Job: o, Piece: o.take()})
			q.waiting--
		}
		o.sentAt = now
	}
	return items
}
