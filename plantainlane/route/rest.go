package route

import (
	"slices"
	"time"
)

// rests reports whether the upstream takes no request now, for its limit or because it has asked for a pause.
func (u *upstream) rests(now int64) bool { return now < u.restsUntil.Load() }

// SetAside records why no request may be sent to the upstream: it is leaving, for good, or it takes none until a time. After
// a pause that it has asked for, it is in slow start.
func (t Target) SetAside(until time.Time, isLeaving, isPaused bool) {
	if isLeaving {
		t.upstream.state.Store(leaving)
		return
	}
	end := t.balancer.since(until)
	t.upstream.restsUntil.Store(end)
	if isPaused {
		t.upstream.slowStartAt.Store(end)
	}
}

// RestsUntil returns the earliest time at which an upstream that matches the query ends its rest. It reports false unless
// all such upstreams rest.
func (b *Balancer) RestsUntil(now time.Time, q Query) (time.Time, bool) {
	s := b.service(q.Service)
	if s == nil {
		return time.Time{}, false
	}
	p := s.pool(q.Model)
	if p == nil {
		return time.Time{}, false
	}
	at, earliest := b.since(now), int64(0)
	for _, tier := range p.tiers {
		for _, u := range tier {
			if u.state.Load() == leaving || slices.Contains(q.Avoid, u.info.Load().id) {
				continue
			}
			if !u.rests(at) {
				return time.Time{}, false
			}
			if until := u.restsUntil.Load(); earliest == 0 || until < earliest {
				earliest = until
			}
		}
	}
	return b.start.Add(time.Duration(earliest)), earliest != 0
}
