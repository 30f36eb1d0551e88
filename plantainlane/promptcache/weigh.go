package promptcache

import (
	"math"
	"slices"
	"time"

	"plantainlane/plantainlane/route"
)

const (
	// sharedPrior is the probability that a preferred upstream caches the shared parts of a prompt that this instance
	// didn't send lately, for all that the other instances may have sent.
	sharedPrior = 0.8
	// lastPrior is the same for the last part, at the most preferred upstream: it may be of a session that asks again.
	lastPrior = 0.3
	// maxPresence bounds the probability that a part is cached which this instance didn't send itself.
	maxPresence = 0.95
	// loadWeight is the weight of an engine's known load above the mean: each call there is delayed by the reading of this
	// prompt, and delays it by reading a prompt of its own.
	loadWeight = 0.25
	// tolerance is the difference of costs that is within the error of the estimates: loads are reported late. The upstream that
	// has the least to read is chosen then, so that prompts keep their places.
	tolerance = 50 * time.Millisecond
	// othersWeight is the weight of a delay of the other requests at an engine, against the same delay of this one.
	othersWeight = 1
	// toleratedSlowdown is the slowdown of an upstream's answers up to which it counts as normal.
	toleratedSlowdown = 1.5
	// maxUse bounds the use of an engine in the formula of the wait; above it the requests that wait are counted.
	maxUse = 0.95
)

// Choice is a decision, for logs and metrics. The values are estimates.
type Choice struct {
	// ReadTokens is what the chosen upstream has to read of the prompt.
	ReadTokens int
	// SavedTokens is what it has to read less than the upstream that would have been chosen by load alone.
	SavedTokens int
	// ExtraWait is how much longer the wait is than at that one; 0 if it isn't.
	ExtraWait time.Duration

	// id is the chosen upstream, load its calls in flight.
	id   string
	load float64
}

// Choice returns the decision on the last send; zero if there was none.
func (p *Plan) Choice() Choice {
	if p == nil {
		return Choice{}
	}
	return p.chosen
}

// estimate is what a request would cost at an upstream. Times are in seconds.
type estimate struct {
	read, wait, reading float64
	// others is the delay that reading imposes on the other requests, summed up.
	others float64
}

func (x *estimate) total() float64 { return x.wait + x.reading + othersWeight*x.others }

// Weigh returns the index of the upstream at which a request costs the least time. The last upstream is the best by load
// alone. list must not be empty.
func (e *Estimator) Weigh(now time.Time, p *Plan, list []route.State) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.of(now, p.service, p.engine)
	least := math.Inf(1)
	for i := range list {
		observe(&s.load, min(list[i].Load, float64(s.engine.Slots)), averageWeight/float64(len(list)))
	}
	estimates := make([]estimate, len(list))
	for i := range list {
		estimates[i] = s.estimate(now, p, &list[i])
		least = min(least, estimates[i].total())
	}
	best := leastRead(estimates, least+tolerance.Seconds())
	bestEstimate, last := estimates[best], estimates[len(list)-1]
	p.chosen = Choice{
		ReadTokens: int(bestEstimate.read), SavedTokens: int(max(last.read-bestEstimate.read, 0)),
		ExtraWait: seconds(max(bestEstimate.wait-last.wait, 0)), id: list[best].ID, load: list[best].Load,
	}
	return best
}

// leastRead returns the index of the estimate with the fewest tokens to read, and of these the one with the least total, among those
// with a total of at most limit.
func leastRead(list []estimate, limit float64) int {
	best := -1
	for i := range list {
		x := &list[i]
		if x.total() > limit {
			continue
		}
		if best < 0 || x.read < list[best].read || x.read == list[best].read && x.total() < list[best].total() {
			best = i
		}
	}
	return max(best, 0)
}

// estimate estimates the cost of a request at an upstream.
func (s *service) estimate(now time.Time, p *Plan, u *route.State) estimate {
	if c := s.caches[u.ID]; c != nil {
		c.restart(now, u.Incarnation, s.otherRate(now))
	}
	cached, _ := s.cachedTokens(now, p, u.ID, u.Load)
	x := estimate{read: float64(p.Prompt.tokens) - cached}
	slow := max(u.Slowdown/toleratedSlowdown, 1)
	unread := u.Load * s.readTokens * s.readingShare() / 2
	if c := s.caches[u.ID]; c != nil {
		slow = max(slow, c.slow)
		unread = max(unread, c.unread)
	}
	if u.Pace > 0 {
		slow *= u.Pace
	}
	perToken := s.speed.perToken() * slow
	x.reading = x.read * perToken
	x.wait = slow*s.slotWait(u.Load, u.Capacity) + unread*perToken
	// The mean load counts in full for reading, since the known load of one engine is late and lacks what others send there now.
	x.others = x.reading*s.load + loadWeight*(min(u.Load, u.Capacity)-s.load)*(x.reading+s.readTokens*perToken)
	return x
}

// readingShare returns the fraction of the requests in flight whose prompts are still being read.
func (s *service) readingShare() float64 { return min(s.firstEvent/max(s.latency, 1e-3), 1) }

// slotWait returns the expected wait for a slot of an engine, in seconds, by Sakasegawa's approximation of queues with
// several servers. It rises before all slots are known to be in use, as reports of load are late.
func (s *service) slotWait(load, slots float64) float64 {
	slots = max(slots, 1)
	use := min((load+1)/slots, maxUse)
	wait := math.Pow(use, math.Sqrt(2*(slots+1))-1) / (1 - use)
	return s.latency / slots * (wait + max(load+1-slots, 0))
}

// cachedTokens returns how many tokens of the prompt an upstream probably caches: each part only if all before it are
// cached. doubtful is how far the number is expected to be off. The upstream has load calls in flight.
func (s *service) cachedTokens(now time.Time, p *Plan, id string, load float64) (cached, doubtful float64) {
	room := s.room(load)
	c := s.caches[id]
	fill := s.otherRate(now)
	if c != nil {
		c.advance(now, fill)
	}
	rank := slices.Index(p.Preferred[:p.placed], id)
	warmth, probability := c.warmth(room), 1.0
	for i, x := range p.Prompt.prefixes {
		n := s.node(x.hash)
		kept, tokens := s.presence(now, p, i, rank, room*warmth)*warmth, x.tokens
		if h := n.holder(c); h != nil {
			if own := h.kept(room); own >= kept {
				kept, tokens = own, min(x.tokens, h.tokens)
			}
		}
		probability = min(probability, kept)
		cached += probability * float64(tokens)
		doubtful += 2 * probability * (1 - probability) * float64(tokens)
		if probability == 0 || tokens < x.tokens {
			break
		}
	}
	return cached, doubtful
}

// presence returns the probability that an upstream caches a part because of what other instances sent. rank is the
// upstream's place among the preferred ones, -1 for others. room is the memory that was filled since.
func (s *service) presence(now time.Time, p *Plan, part, rank int, room float64) float64 {
	others := 1 - s.share
	if others <= 0 {
		return 0
	}
	fill := s.reads.perSecond(now) / s.share / float64(s.size)
	if fill <= 0 {
		fill = 1
	}
	rate := 0.0
	if n := s.node(p.Prompt.prefixes[part].hash); n != nil {
		// This request itself is counted as well, and says nothing of others.
		rate = max(n.seen.of(now)-1, 0) / rateWindow.Seconds() / s.share * others
	}
	prior := 0.0
	switch last := len(p.Prompt.prefixes) - 1; {
	case part < p.key:
		rate /= float64(s.size)
	case rank < 0 || rank >= p.width:
		return 0
	case part == last:
		if rank == 0 {
			prior = lastPrior
		}
		rate /= float64(p.width)
	default:
		rate /= float64(p.width)
		prior = sharedPrior
	}
	return min(max(1-math.Exp(-rate*room/fill), prior*others), maxPresence)
}
