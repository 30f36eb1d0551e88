package route

import "time"

// SetCold records that an incarnation of an upstream is cold until a time, which may be past. It then counts with the
// fraction of its capacity that counts at the beginning of slow start, and with all of it afterwards. SetCold returns false
// if the incarnation is unknown. It is safe for concurrent use.
func (b *Balancer) SetCold(now time.Time, id string, incarnation int, until time.Time) bool {
	u := b.index.get(id)
	if u == nil || u.info.Load().incarnation != incarnation {
		return false
	}
	end := b.since(until)
	u.coldUntil.Store(end)
	u.slowStartAt.Store(end)
	u.endWarmup(b.since(now))
	return true
}

// endWarmup ends the slow start of an upstream whose warm-up has ended.
func (u *upstream) endWarmup(now int64) {
	end := u.coldUntil.Load()
	if end == 0 || now < end || !u.coldUntil.CompareAndSwap(end, 0) {
		return
	}
	// An ejection or a pause may have begun another slow start meanwhile.
	u.slowStartAt.CompareAndSwap(end, end-int64(SlowStart))
}

// isCold reports whether the upstream is in warm-up.
func (u *upstream) isCold(now int64) bool { return now < u.slowStartAt.Load() }
