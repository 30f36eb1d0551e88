package promptcache

import (
	"sync"
	"time"
)

// Engine is what the configuration says about the engines of a service. All values are of one engine.
type Engine struct {
	// Slots is the number of requests that run at the same time.
	Slots int
	// CacheTokens is the memory for parts of prompts and running requests, in tokens.
	CacheTokens int
}

// IsKnown reports whether the configuration says enough to estimate caches.
func (e Engine) IsKnown() bool { return e.Slots > 0 && e.CacheTokens > 0 }

const (
	// averageWeight is the weight of a new sample in moving averages.
	averageWeight = 0.05
	// assumedLatency and assumedFirstEvent are the duration of a request and the time until its first event before any was
	// measured.
	assumedLatency, assumedFirstEvent = 2 * time.Second, 200 * time.Millisecond
	// slowWeight is the weight of a new sample in an upstream's ratio of times until the first event, and maxSlow the
	// highest sample.
	slowWeight, maxSlow = 0.2, 8.0
	// A request measures the speed of reading if the tokens read are expected to be off by at most maxDoubt of their number,
	// or by maxDoubtTokens. With others, the errors of the estimates would hide the dependence on the tokens.
	maxDoubt, maxDoubtTokens = 0.1, 100
	// minSlowExpected is the least expected time until the first event that is compared with the measured one. Below it the
	// ratio depends mostly on what isn't reading.
	minSlowExpected = 20 * time.Millisecond
)

// Estimator estimates the prefix caches of engines and weighs reading against waiting. It is safe for concurrent use.
type Estimator struct {
	// Share returns the fraction of all requests that this instance handles. It is called at most once each shareFor for
	// each service.
	Share func() float64

	mu       sync.Mutex
	services map[string]*service
	stats    Stats
}

// shareFor is how long the result of Estimator.Share is used.
const shareFor = time.Second

// service is what is known of the engines of a service.
type service struct {
	engine     Engine
	caches     map[string]*cache
	young, old map[uint64]*node
	speed      speed
	// reads counts the tokens of this instance's requests that engines had to read, requests the requests.
	reads, requests decayed
	// lastTokens is the moving average of the size of prompts' last parts, readTokens of the tokens that are read of a
	// prompt. latency and firstEvent are moving averages of the times of requests, in seconds.
	lastTokens, readTokens, latency, firstEvent float64
	// load is the moving average of the calls in flight at an engine.
	load    float64
	share   float64
	shareAt time.Time
	// size is the number of usable upstreams.
	size int
}

// of returns the state of a service. e.mu must be held.
func (e *Estimator) of(now time.Time, name string, engine Engine) *service {
	if e.services == nil {
		e.services = make(map[string]*service)
	}
	s := e.services[name]
	if s == nil {
		s = &service{
			caches: make(map[string]*cache), young: make(map[uint64]*node), latency: assumedLatency.Seconds(),
			firstEvent: assumedFirstEvent.Seconds(), size: 1,
		}
		e.services[name] = s
	}
	s.engine = engine
	if s.share == 0 || now.Sub(s.shareAt) >= shareFor {
		s.share, s.shareAt = 1, now
		if e.Share != nil {
			s.share = min(max(e.Share(), 1e-4), 1)
		}
	}
	return s
}

// otherRate returns the tokens per second that each upstream reads of other instances' prompts, if these send as this
// instance does.
func (s *service) otherRate(now time.Time) float64 {
	return s.reads.perSecond(now) * (1/s.share - 1) / float64(s.size)
}

// room returns the memory of an engine for parts that no running request uses, in tokens, given its calls in flight.
func (s *service) room(load float64) float64 {
	all := float64(s.engine.CacheTokens)
	return max(all-min(load, float64(s.engine.Slots))*s.lastTokens, all*minRoom)
}

// observe adds a sample to a moving average.
func observe(average *float64, sample, weight float64) { *average += weight * (sample - *average) }

// Sending is a request that was sent to an upstream. Its methods may be called on a nil Sending, and must not be called
// concurrently.
type Sending struct {
	estimator *Estimator
	service   *service
	cache     *cache
	prompt    *Prompt
	sentAt    time.Time
	// incarnation is that of the upstream when the request was sent.
	incarnation int
	// filled is cache.filled after the request was sent, by which the parts that it added are known.
	filled float64
	// read is the number of tokens that the upstream probably had to read, unread what it may have yet to read of them.
	read, unread float64
	// isSample is set if read is certain enough to measure the speed by.
	isSample bool
	// expected is the time until the first event that was expected at a typical engine.
	expected time.Duration
	hasEvent bool
}

// Sent records that a planned request is sent to an upstream. It returns nil if the plan is nil.
func (e *Estimator) Sent(now time.Time, p *Plan, id string, incarnation int) *Sending {
	if p == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.of(now, p.service, p.engine)
	c := s.ensureCache(now, id, incarnation)
	if c == nil {
		return nil
	}
	c.advance(now, s.otherRate(now))
	load := 0.0
	if p.chosen.id == id {
		load = p.chosen.load
		e.stats.add(&p.chosen)
	}
	cached, doubtful := s.cachedTokens(now, p, id, load)
	read := float64(p.Prompt.tokens) - cached
	c.filled += read
	s.reads.add(now, read)
	observe(&s.readTokens, read, averageWeight)
	for _, x := range p.Prompt.prefixes {
		s.ensureNode(x.hash).record(holder{cache: c, incarnation: c.incarnation, tokens: x.tokens, filled: c.filled})
	}
	out := &Sending{
		estimator: e, service: s, cache: c, prompt: p.Prompt, sentAt: now, incarnation: c.incarnation, filled: c.filled,
		read: read, isSample: doubtful <= max(maxDoubt*read, maxDoubtTokens), expected: seconds((read + c.unread) * s.speed.perToken()),
	}
	if p.HasEvents {
		out.unread = read
		c.unread += read
	}
	e.stats.ReadTokens += int64(read)
	return out
}

// NotRun records that the upstream didn't run the request, so that it caches nothing of it.
func (x *Sending) NotRun() {
	if x == nil {
		return
	}
	x.estimator.mu.Lock()
	defer x.estimator.mu.Unlock()
	x.endReading()
	x.estimator.stats.ReadTokens -= int64(x.read)
	x.cache.filled -= x.read
	x.service.reads.value = max(x.service.reads.value-x.read, 0)
	for _, p := range x.prompt.prefixes {
		// A holder that was recorded since belongs to another request.
		if h := x.service.node(p.hash).holder(x.cache); h != nil && h.filled == x.filled {
			h.incarnation = -1
		}
	}
}

// FirstEvent records the first event of the answer: the prompt was read.
func (x *Sending) FirstEvent(now time.Time) {
	if x == nil || x.hasEvent {
		return
	}
	x.hasEvent = true
	x.estimator.mu.Lock()
	defer x.estimator.mu.Unlock()
	x.endReading()
	took := now.Sub(x.sentAt)
	s := x.service
	observe(&s.firstEvent, took.Seconds(), averageWeight)
	if !x.isSample {
		return
	}
	s.speed.observe(x.read, took)
	if x.expected >= minSlowExpected && x.incarnation == x.cache.incarnation {
		ratio := took.Seconds() / (x.expected.Seconds() + s.speed.base())
		observe(&x.cache.slow, min(ratio, maxSlow), slowWeight)
	}
}

// End records the end of the request.
func (x *Sending) End(now time.Time, answered bool) {
	if x == nil {
		return
	}
	x.estimator.mu.Lock()
	defer x.estimator.mu.Unlock()
	x.endReading()
	if answered {
		observe(&x.service.latency, now.Sub(x.sentAt).Seconds(), averageWeight)
	}
}

// endReading removes the request's tokens from those that the upstream has yet to read.
func (x *Sending) endReading() {
	if x.incarnation == x.cache.incarnation {
		x.cache.unread = max(x.cache.unread-x.unread, 0)
	}
	x.unread = 0
}

// seconds returns a duration of s seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
