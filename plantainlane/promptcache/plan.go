package promptcache

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxWidth bounds the preferred upstreams that share a prefix.
	maxWidth = 64
	// maxPreferred is the number of preferred upstreams of one prompt.
	maxPreferred = 3
	// maxKnown is the number of further upstreams that this instance knows to cache a prefix of a prompt.
	maxKnown = 3
	// targetUse is the fraction of an engine that one prefix may use, above which the prefix gets one more upstream.
	targetUse = 0.2
	// soloUse is the fraction of an engine that a prefix uses at most by which prompts are placed although they share more.
	soloUse = 0.05
	// minRequests is the number of recent requests of a service from which the rates of prefixes are known well enough to
	// tell common ones.
	minRequests = 20
)

// Plan is where a prompt may run. A plan belongs to one request; its methods and Estimator's with it must not be called
// concurrently.
type Plan struct {
	Prompt *Prompt
	// Preferred lists the upstreams by rendezvous hashing, the most preferred first, then those that this instance knows to
	// cache a prefix.
	Preferred []string
	// Zone is the availability zone of the most preferred upstream.
	Zone string
	// HasEvents is set if the answer is a stream, whose first event shows that the prompt was read. Other requests don't
	// count as still being read, as their answers come much later.
	HasEvents bool

	service string
	engine  Engine
	// placed is the number of preferred upstreams by rendezvous hashing at the beginning of Preferred.
	placed int
	// key is the index of the prefix by which the prompt is placed, width the number of upstreams that share it.
	key, width int
	chosen     Choice
}

// Plan counts a request and returns where it may run. It returns nil if the prompt is nil, larger than the memory of an engine, or
// there is no upstream.
func (e *Estimator) Plan(now time.Time, name string, engine Engine, prompt *Prompt, upstreams *Placement) *Plan {
	if prompt == nil || prompt.tokens > engine.CacheTokens || upstreams.Size() == 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.of(now, name, engine)
	s.size = upstreams.Size()
	s.requests.add(now, 1)
	last := len(prompt.prefixes) - 1
	observe(&s.lastTokens, float64(prompt.prefixes[last].tokens), averageWeight)
	p := &Plan{Prompt: prompt, service: name, engine: engine}
	p.key, p.width = s.keyOf(now, prompt)
	for _, x := range prompt.prefixes {
		s.ensureNode(x.hash).seen.add(now, 1)
	}
	p.place(upstreams)
	s.addKnown(now, p)
	return p
}

// keyOf returns the prefix by which a prompt is placed, and the number of upstreams that its rate needs. It is the longest
// shared prefix, or in a prompt of more than three parts the shortest one of at least two that is used by at most soloUse:
// the requests of a session whose prompts grow part by part then keep their place. A single part is no key of longer
// prompts: its many continuations would displace each other in one memory, and a rare one can't be told from a common one
// by what one of many instances sees.
func (s *service) keyOf(now time.Time, p *Prompt) (key, width int) {
	last := p.lastShared()
	if last < 0 {
		return len(p.prefixes) - 1, 1
	}
	tokens := p.prefixes[0].tokens
	for i := 1; i < last && s.requests.of(now) >= minRequests; i++ {
		tokens += p.prefixes[i].tokens
		if tokens >= MinSharedTokens && s.use(certain(s.seen(now, p.prefixes[i].hash))) <= soloUse {
			return i, 1
		}
	}
	return last, s.widthOf(now, p.prefixes[last].hash)
}

// widthOf returns the number of upstreams that the rate of a prefix needs.
func (s *service) widthOf(now time.Time, hash uint64) int {
	return min(max(int(math.Ceil(s.use(certain(s.seen(now, hash)))/targetUse)), 1), maxWidth, s.size)
}

// seen returns how many requests of this instance had a prefix lately.
func (s *service) seen(now time.Time, hash uint64) float64 {
	if n := s.node(hash); n != nil {
		return n.seen.of(now)
	}
	return 0
}

// use returns how many engines the requests with a prefix keep busy, of which this instance had count lately.
func (s *service) use(count float64) float64 {
	rate := count / rateWindow.Seconds() / s.share
	return rate * (s.readTokens*s.speed.perToken() + s.latency/float64(s.engine.Slots))
}

// place selects the preferred upstreams. Of the upstreams that share the prefix, a session prefers those chosen by its
// last part, so that its own parts stay in one place.
func (p *Plan) place(upstreams *Placement) {
	best := upstreams.top(p.Prompt.prefixes[p.key].hash, max(p.width, maxPreferred))
	p.width = min(p.width, len(best))
	shared := best[:p.width]
	if p.width > 1 {
		session := p.Prompt.prefixes[len(p.Prompt.prefixes)-1].hash
		slices.SortFunc(shared, func(a, b ranked) int { return cmp.Compare(mix(session, b.hash), mix(session, a.hash)) })
	}
	p.Zone = best[0].zone
	p.Preferred = make([]string, 0, maxPreferred+maxKnown)
	for _, r := range best[:min(len(best), maxPreferred)] {
		p.Preferred = append(p.Preferred, r.id)
	}
	p.placed = len(p.Preferred)
}

// addKnown adds the upstreams that this instance knows to cache the longest prefixes of a prompt.
func (s *service) addKnown(now time.Time, p *Plan) {
	rate := s.otherRate(now)
	for i := len(p.Prompt.prefixes) - 1; i >= 0; i-- {
		n := s.node(p.Prompt.prefixes[i].hash)
		for j := range n.holders {
			h := &n.holders[j]
			if len(p.Preferred) == p.placed+maxKnown {
				return
			}
			h.cache.advance(now, rate)
			if h.kept(s.room(0)) > 0 && s.caches[h.cache.id] == h.cache && !slices.Contains(p.Preferred, h.cache.id) {
				p.Preferred = append(p.Preferred, h.cache.id)
			}
		}
	}
}
