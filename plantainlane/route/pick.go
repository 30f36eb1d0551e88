package route

import (
	"slices"
	"time"
)

const (
	// SlowStart is the time over which the load of a new or readmitted upstream rises to its full capacity.
	SlowStart = 5 * time.Second
	// slowStartMin is the fraction of its capacity that counts at the beginning of an upstream's slow start.
	slowStartMin = 0.1

	// maxDraws bounds how many upstreams of a tier are drawn at random to find two usable ones.
	maxDraws = 8
	// saturatedFraction is the fraction of its capacity in use above which an upstream counts as saturated.
	saturatedFraction = 0.85
	// toleratedSlowdown is the slowdown up to which a latency counts as typical variation.
	toleratedSlowdown = 1.5
	// maxPreferredSlowdown is the slowdown above which a preferred upstream is not chosen. It is higher than
	// toleratedSlowdown because the latency of a stream grows with the length of its answer, so latencies of streams
	// vary more than those of other requests.
	maxPreferredSlowdown = 3
	// tierPenalty multiplies the score of an upstream once for each nearer tier.
	tierPenalty = 1.25
	// cacheDiscount is the fraction by which the score of an upstream is lowered that has the whole prefix cached.
	cacheDiscount = 0.75
	// maxFailureDoublings bounds how often consecutive failures double the score.
	maxFailureDoublings = 6
)

// Hint names an upstream that has part of the request's prefix in its cache.
type Hint struct {
	Upstream string
	// Share is the fraction of the request's prefix that is cached, 0 to 1.
	Share float64
}

// Query describes the attempt that an upstream is chosen for.
type Query struct {
	Service string
	// Model is the model that the upstream must serve, as name@version or as name without version; empty for any.
	Model string
	// Avoid lists the IDs of upstreams that must not be chosen, such as those already tried.
	Avoid []string
	// Hints lists upstreams with part of the prefix cached. They are favoured while they are not saturated.
	Hints []Hint
	// Preferred lists the IDs of preferred upstreams, most preferred first. Pick chooses the first that is usable and warm,
	// that has a slowdown of at most maxPreferredSlowdown, and whose load exceeds that of the upstream which would be chosen
	// otherwise by at most PreferredSlack.
	Preferred []string
	// PreferredSlack is a load in calls, see Preferred.
	PreferredSlack float64
	// Weigh, if set, chooses among the preferred upstreams and the best of the others instead. PreferredSlack has no
	// effect then.
	Weigh Weigher
}

// candidate is an upstream that may be chosen, with its score. A lower score is better.
type candidate struct {
	upstream *upstream
	score    float64
	// saturated is set if the upstream is almost full or slow. Upstreams of farther tiers are then considered too, and
	// a hint has no effect.
	saturated bool
}

// Pick chooses an upstream and counts the attempt as in flight there until Target.Done. It reports false if no upstream
// of the service serves the model, or if all that do are leaving, resting or in q.Avoid.
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
		return b.target(at, s.nextRoundRobin(at, p, q.Avoid))
	}
	best := b.choose(at, p, &q)
	if q.Weigh != nil {
		if u := b.weighed(at, &q, best); u != nil {
			return b.target(at, u)
		}
		return b.target(at, fallback(at, p, &q))
	}
	if preferred := b.preferred(at, &q, best); preferred != nil {
		return b.target(at, preferred)
	}
	if best.upstream == nil {
		return b.target(at, fallback(at, p, &q))
	}
	return b.target(at, best.upstream)
}

// preferred returns the preferred upstream to be chosen instead of the best candidate; nil if there is none.
func (b *Balancer) preferred(now int64, q *Query, best candidate) *upstream {
	for _, id := range q.Preferred {
		u := b.usableByID(now, Hint{Upstream: id}, q)
		if u == nil || u.slowdown(now) > maxPreferredSlowdown || u.isCold(now) {
			continue
		}
		if best.upstream == nil || u.pacedLoad(now) <= best.upstream.pacedLoad(now)+q.PreferredSlack {
			return u
		}
	}
	return nil
}

// target counts an attempt as in flight at the upstream and returns its Target. It reports false if the upstream is
// nil.
func (b *Balancer) target(now int64, u *upstream) (Target, bool) {
	if u == nil {
		return Target{}, false
	}
	u.startCall(now)
	i := u.info.Load()
	return Target{
		ID: i.id, Address: i.address, Zone: i.zone, Incarnation: i.incarnation, Capacity: i.capacity,
		Models: i.announcement.Models, Role: i.announcement.Role, upstream: u, balancer: b, pace: u.paceAt(now),
	}, true
}

// choose returns the best of the candidates drawn from the nearest tiers and of the hinted upstreams. Farther tiers are
// considered only while the best candidate is saturated. Empty tiers add no penalty to drawn candidates. The
// candidate's upstream is nil if no usable one was found.
func (b *Balancer) choose(now int64, p *pool, q *Query) candidate {
	var best candidate
	penalty := 1.0
	for _, tier := range p.tiers {
		if len(tier) > 0 {
			best = better(best, b.drawBest(now, tier, penalty, q))
			penalty *= tierPenalty
		}
		if best.upstream != nil && !best.saturated {
			break
		}
	}
	for _, h := range q.Hints {
		if u := b.usableByID(now, h, q); u != nil {
			c := u.score(now, b.tierPenaltyOf(u))
			if !c.saturated {
				c.score *= 1 - cacheDiscount*min(h.Share, 1)
			}
			best = better(best, c)
		}
	}
	return best
}

// tierPenaltyOf returns the penalty of a hinted upstream: 1 in this instance's zone, and multiplied by tierPenalty for
// each nearer tier, whether or not that tier has upstreams.
func (b *Balancer) tierPenaltyOf(u *upstream) float64 {
	penalty := 1.0
	for range b.tierOf(u.info.Load().announcement) {
		penalty *= tierPenalty
	}
	return penalty
}

// usableByID returns the upstream with the ID h.Upstream; nil if it is unknown, belongs to another service, does not
// serve the model, is in an evacuated zone, or is not usable.
func (b *Balancer) usableByID(now int64, h Hint, q *Query) *upstream {
	u := b.index.get(h.Upstream)
	if u == nil || u.service.name != q.Service || u.evacuated.Load() || !u.serves(q.Model) || !u.usable(now, q) {
		return nil
	}
	return u
}

// better returns the candidate with the lower score, a if the scores are equal. A candidate without upstream loses.
func better(a, b candidate) candidate {
	if a.upstream == nil || b.upstream != nil && b.score < a.score {
		return b
	}
	return a
}

// drawBest draws upstreams of a tier at random and returns the best of them. It stops after two usable upstreams unless
// the best is slow, and after maxDraws in any case. If maxDraws draws from a larger tier find no usable upstream,
// drawBest searches the whole tier.
func (b *Balancer) drawBest(now int64, tier []*upstream, penalty float64, q *Query) candidate {
	var best candidate
	found := 0
	n := uint64(len(tier))
	r := b.random()
	first := r % n
	// Steps of a constant size from a random start visit each member of a tier of at most maxDraws once, unless step
	// and n have a common divisor above 2: step 3 of 6 and step 4 of 8 visit only four members.
	step := 1 + (r>>32)%max(n-1, 1)
	i := first
	// This read loads the second candidate's cache line while the first candidate's is still loading.
	tier[(first+step)%n].inFlight.Load()
	for range min(n, maxDraws) {
		u := tier[i]
		if u.usable(now, q) {
			found++
			best = better(best, u.score(now, penalty))
			if found >= 2 && !best.isSlow(now) {
				return best
			}
		}
		i = (i + step) % n
		if i == first {
			i = (i + 1) % n
		}
	}
	if best.upstream == nil && n > maxDraws {
		return firstUsable(now, tier, first, penalty, q)
	}
	return best
}

// isSlow reports whether the candidate's latency, or the time that work takes there now, is above typical variation.
func (c candidate) isSlow(now int64) bool {
	return c.upstream.slowdown(now) > toleratedSlowdown || c.upstream.paceAt(now) > toleratedSlowdown
}

// firstUsable returns the first usable upstream of a tier, in the order of the tier from index first on.
func firstUsable(now int64, tier []*upstream, first uint64, penalty float64, q *Query) candidate {
	n := uint64(len(tier))
	for i := range n {
		if u := tier[(first+i)%n]; u.usable(now, q) {
			return u.score(now, penalty)
		}
	}
	return candidate{}
}

// usable reports whether the upstream may be chosen: it is not ejected, leaving, resting or in q.Avoid. An upstream on
// probation may have one call in flight.
func (u *upstream) usable(now int64, q *Query) bool {
	state := u.state.Load()
	if u.ejectedUntil.Load() != 0 || state == leaving || u.rests(now) {
		return false
	}
	if state == probation && u.inFlight.Load() > 0 {
		return false
	}
	return len(q.Avoid) == 0 || !slices.Contains(q.Avoid, u.info.Load().id)
}

// score rates the upstream for one more call: the fraction of its capacity that is then in use, multiplied by the
// tier's penalty and the upstream's pace, and raised for a slowdown above typical variation and for consecutive failures.
func (u *upstream) score(now int64, penalty float64) candidate {
	load := u.load() + 1
	capacity := float64(u.capacity.Load()) * u.slowStartFactor(now)
	pace := u.paceAt(now)
	score := load / capacity * penalty * pace
	// A ratio above 1 is more than typical variation.
	ratio := u.slowdown(now) / toleratedSlowdown
	if ratio > 1 {
		score *= ratio * ratio
	}
	if failures := u.excessFailures(); failures > 0 {
		score *= float64(int32(1) << min(failures, maxFailureDoublings))
	}
	return candidate{
		upstream: u, score: score,
		saturated: load > max(1, saturatedFraction*capacity) || ratio > 1 || pace > toleratedSlowdown,
	}
}

// slowStartFactor returns the fraction of the capacity that counts. The fraction rises from slowStartMin to 1 during
// SlowStart.
func (u *upstream) slowStartFactor(now int64) float64 {
	age := now - u.slowStartAt.Load()
	if age >= int64(SlowStart) {
		return 1
	}
	return slowStartMin + (1-slowStartMin)*float64(max(age, 0))/float64(SlowStart)
}

// fallback returns the upstream to be chosen if none is usable: among those that are not ejected, or among all if all
// are ejected, the one to which this instance has the fewest calls in flight. It returns nil if all upstreams are
// leaving, resting or in q.Avoid.
func fallback(now int64, p *pool, q *Query) *upstream {
	var best *upstream
	for _, tier := range p.tiers {
		for _, u := range tier {
			if u.state.Load() == leaving || u.rests(now) || slices.Contains(q.Avoid, u.info.Load().id) {
				continue
			}
			if best == nil || u.isBetterFallback(best) {
				best = u
			}
		}
	}
	return best
}

// isBetterFallback reports whether the upstream is to be chosen before other if neither is usable.
func (u *upstream) isBetterFallback(other *upstream) bool {
	ejected, otherEjected := u.ejectedUntil.Load() != 0, other.ejectedUntil.Load() != 0
	if ejected != otherEjected {
		return otherEjected
	}
	return u.inFlight.Load() < other.inFlight.Load()
}

// nextRoundRobin returns the next upstream of all tiers in turn; nil if all are leaving, resting or in avoid.
func (s *service) nextRoundRobin(now int64, p *pool, avoid []string) *upstream {
	n := uint64(p.size())
	for range n {
		i := int(s.roundRobinCount.Add(1) % n)
		for _, tier := range p.tiers {
			if i < len(tier) {
				if u := tier[i]; u.state.Load() != leaving && !u.rests(now) && !slices.Contains(avoid, u.info.Load().id) {
					return u
				}
				break
			}
			i -= len(tier)
		}
	}
	return nil
}
