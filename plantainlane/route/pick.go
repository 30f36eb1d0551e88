package route

import (
	"slices"
	"time"
)

const (
	// SlowStart is the time in which a new or readmitted upstream rises to its full share.
	SlowStart = 5 * time.Second
	// coldShare is the part of its capacity that an upstream starts with.
	coldShare = 0.1

	// maxDraws bounds the random draws for two usable candidates.
	maxDraws = 8
	// crowdedShare is the part of an upstream's capacity in use at which other zones are considered.
	crowdedShare = 0.85
	// tolerableSlowness is the latency over the median that counts as the usual scatter.
	tolerableSlowness = 1.5
	// homeSlowness is the latency over the median from which a home is passed over. The latency of a stream is as long as
	// its answer, so that it differs more than that of other requests.
	homeSlowness = 3
	// fartherPenalty multiplies the score of each tier after the nearest.
	fartherPenalty = 1.25
	// hintDiscount is the part of its score that an upstream with the whole prefix cached is spared.
	hintDiscount = 0.75
	maxFailures  = 6
)

// Hint names an upstream that has part of the request's prefix in its cache.
type Hint struct {
	Upstream string
	// Share is the part of the request's prefix that is cached, 0 to 1.
	Share float64
}

// Query describes an attempt.
type Query struct {
	Service string
	// Model is a model as name@version or as bare name; empty for any upstream.
	Model string
	// Avoid lists upstream IDs not to be chosen, such as those already tried.
	Avoid []string
	// Hints favour upstreams by their prefix caches while they have room.
	Hints []Hint
	// Preferred are upstreams to take before others: the first one that is usable, not slow, and has at most
	// PreferredSlack calls more than the one that would be chosen otherwise.
	Preferred      []string
	PreferredSlack float64
}

// candidate is an upstream under consideration. A lower score is better.
type candidate struct {
	upstream *upstream
	score    float64
	crowded  bool
}

// Pick chooses an upstream and counts the attempt as in flight there. It reports false if no upstream of the
// service serves the model, or all that do are to be avoided.
func (b *Balancer) Pick(now time.Time, q Query) (Target, bool) {
	s := b.service(q.Service)
	if s == nil {
		return Target{}, false
	}
	p := s.pool(q.Model)
	if p == nil {
		return Target{}, false
	}
	at := b.since(now)
	if b.roundRobin {
		return b.target(at, s.next(p, q.Avoid))
	}
	best := b.choose(at, p, &q)
	if home := b.home(at, &q, best); home != nil {
		return b.target(at, home)
	}
	if best.upstream == nil {
		return b.target(at, lastResort(p, &q))
	}
	return b.target(at, best.upstream)
}

// home returns the home to be taken instead of the best candidate; nil if there is none.
func (b *Balancer) home(now int64, q *Query, best candidate) *upstream {
	for _, id := range q.Preferred {
		u := b.hinted(Hint{Upstream: id}, q)
		if u == nil || u.slowness(now) > homeSlowness {
			continue
		}
		if best.upstream == nil || u.load() <= best.upstream.load()+q.PreferredSlack {
			return u
		}
	}
	return nil
}

func (b *Balancer) target(now int64, u *upstream) (Target, bool) {
	if u == nil {
		return Target{}, false
	}
	u.begin(now)
	i := u.info.Load()
	return Target{
		ID: i.id, Address: i.address, Zone: i.zone, Incarnation: i.incarnation, Capacity: i.capacity,
		Models: i.row.Models, Role: i.row.Role, upstream: u, balancer: b,
	}, true
}

func (b *Balancer) choose(now int64, p *pool, q *Query) candidate {
	var best candidate
	penalty := 1.0
	for _, tier := range p.tiers {
		if len(tier) > 0 {
			best = better(best, b.draw(now, tier, penalty, q))
			penalty *= fartherPenalty
		}
		if best.upstream != nil && !best.crowded {
			break
		}
	}
	for _, h := range q.Hints {
		if u := b.hinted(h, q); u != nil {
			c := u.score(now, b.distance(u))
			if !c.crowded {
				c.score *= 1 - hintDiscount*min(h.Share, 1)
			}
			best = better(best, c)
		}
	}
	return best
}

func (b *Balancer) distance(u *upstream) float64 {
	penalty := 1.0
	for range b.tierOf(u.info.Load().row) {
		penalty *= fartherPenalty
	}
	return penalty
}

func (b *Balancer) hinted(h Hint, q *Query) *upstream {
	u := b.index.get(h.Upstream)
	if u == nil || u.service.name != q.Service || !u.serves(q.Model) || !u.usable(q) {
		return nil
	}
	return u
}

func better(a, b candidate) candidate {
	if a.upstream == nil || b.upstream != nil && b.score < a.score {
		return b
	}
	return a
}

// draw takes the better of two random usable upstreams, and goes on drawing while the best is slow.
func (b *Balancer) draw(now int64, tier []*upstream, penalty float64, q *Query) candidate {
	var best candidate
	found := 0
	n := uint64(len(tier))
	r := b.random()
	first := r % n
	// Steps from a random place visit each member of a small tier once.
	step := 1 + (r>>32)%max(n-1, 1)
	at := first
	// Reading the second candidate now overlaps its cache miss with the first one's.
	tier[(first+step)%n].inFlight.Load()
	for range min(n, maxDraws) {
		u := tier[at]
		if u.usable(q) {
			found++
			best = better(best, u.score(now, penalty))
			if found >= 2 && !best.slow(now) {
				return best
			}
		}
		at = (at + step) % n
		if at == first {
			at = (at + 1) % n
		}
	}
	if best.upstream == nil && n > maxDraws {
		return scan(now, tier, first, penalty, q)
	}
	return best
}

func (c candidate) slow(now int64) bool {
	return c.upstream.slowness(now) > tolerableSlowness
}

// scan takes the first usable upstream from a place on.
func scan(now int64, tier []*upstream, from uint64, penalty float64, q *Query) candidate {
	n := uint64(len(tier))
	for i := range n {
		if u := tier[(from+i)%n]; u.usable(q) {
			return u.score(now, penalty)
		}
	}
	return candidate{}
}

// usable reports whether the upstream may be chosen. An upstream on probation gets one call at a time.
func (u *upstream) usable(q *Query) bool {
	state := u.state.Load()
	if u.ejectedUntil.Load() != 0 || state == leaving {
		return false
	}
	if state == probation && u.inFlight.Load() > 0 {
		return false
	}
	return len(q.Avoid) == 0 || !slices.Contains(q.Avoid, u.info.Load().id)
}

// score is the part of the upstream's capacity in use after one more call, raised for slowness and failures.
func (u *upstream) score(now int64, penalty float64) candidate {
	load := u.load() + 1
	capacity := float64(u.capacity.Load()) * u.warmth(now)
	score := load / capacity * penalty
	slowness := u.slowness(now) / tolerableSlowness
	if slowness > 1 {
		score *= slowness * slowness
	}
	if failures := u.unusualFailures(); failures > 0 {
		score *= float64(int32(1) << min(failures, maxFailures))
	}
	return candidate{
		upstream: u, score: score,
		crowded: load > max(1, crowdedShare*capacity) || slowness > 1,
	}
}

// warmth rises from coldShare to 1 during SlowStart.
func (u *upstream) warmth(now int64) float64 {
	age := now - u.warmFrom.Load()
	if age >= int64(SlowStart) {
		return 1
	}
	return coldShare + (1-coldShare)*float64(max(age, 0))/float64(SlowStart)
}

// lastResort takes the least loaded upstream, on probation or even ejected, rather than none.
func lastResort(p *pool, q *Query) *upstream {
	var best *upstream
	for _, tier := range p.tiers {
		for _, u := range tier {
			if u.state.Load() == leaving || slices.Contains(q.Avoid, u.info.Load().id) {
				continue
			}
			if best == nil || u.lessBad(best) {
				best = u
			}
		}
	}
	return best
}

func (u *upstream) lessBad(other *upstream) bool {
	mine, theirs := u.ejectedUntil.Load() != 0, other.ejectedUntil.Load() != 0
	if mine != theirs {
		return theirs
	}
	return u.inFlight.Load() < other.inFlight.Load()
}

// next takes the upstreams of all tiers in turn.
func (s *service) next(p *pool, avoid []string) *upstream {
	n := uint64(p.size())
	for range n {
		at := int(s.turn.Add(1) % n)
		for _, tier := range p.tiers {
			if at < len(tier) {
				if u := tier[at]; u.state.Load() != leaving && !slices.Contains(avoid, u.info.Load().id) {
					return u
				}
				break
			}
			at -= len(tier)
		}
	}
	return nil
}
