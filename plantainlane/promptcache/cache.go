package promptcache

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the rates of prefixes and of reading. A burst shows in a few seconds.
	rateWindow = 10 * time.Second
	// maxPrefixes bounds the prefixes known of a service, in two generations.
	maxPrefixes = 8192
	// maxHolders bounds the upstreams known to cache a prefix.
	maxHolders = 16
	// maxCaches bounds the upstreams of a service of which the caches are estimated.
	maxCaches = 16384
	// staleCache is how long a cache is kept that nothing is sent to, once there are maxCaches.
	staleCache = time.Minute
	// minRoom is the least fraction of its memory that an engine is assumed to have for parts that no running request uses.
	minRoom = 0.125
	// fadeFrom and fadeTo are the newer tokens, as fractions of the room, between which the probability falls to 0 that a
	// part is still cached. What the other instances send is known only roughly.
	fadeFrom, fadeTo = 0.7, 1.3
)

// decayed is a count in which older events count for less, by rateWindow.
type decayed struct {
	value float64
	at    time.Time
}

// add adds to the count.
func (d *decayed) add(now time.Time, n float64) {
	d.value = d.of(now) + n
	d.at = now
}

// of returns the count.
func (d *decayed) of(now time.Time) float64 {
	if d.value == 0 || !now.After(d.at) {
		return d.value
	}
	return d.value * math.Exp(-float64(now.Sub(d.at))/float64(rateWindow))
}

// certain returns the count less its standard deviation. Few events at one of many instances say little of the rate at all
// of them: one event here in 10 s would count as 10 a second with a hundred instances.
func certain(count float64) float64 { return max(count-math.Sqrt(max(count, 0)), 0) }

// perSecond returns the rate of the events.
func (d *decayed) perSecond(now time.Time) float64 { return d.of(now) / rateWindow.Seconds() }

// cache is what is known of the prefix cache of one upstream.
type cache struct {
	id          string
	incarnation int
	// filled is the number of tokens that the upstream has read since the cache is known, as far as this is known at the
	// time at. The difference of two values is what was read between them.
	filled float64
	at     time.Time
	// startedAt is filled when the upstream restarted; negative if no restart is known.
	startedAt float64
	// unread is the number of tokens of this instance's requests that the upstream probably has yet to read.
	unread float64
	// slow is the ratio of the times until the first event to those expected, as a moving average.
	slow float64
}

// advance adds what the other instances probably sent since the last call. otherRate is in tokens per second.
func (c *cache) advance(now time.Time, otherRate float64) {
	if now.After(c.at) {
		c.filled += otherRate * now.Sub(c.at).Seconds()
		c.at = now
	}
}

// node is what is known of a prefix.
type node struct {
	// seen counts the requests of this instance with the prefix.
	seen decayed
	// holders are the upstreams that this instance sent the prefix to, in no order.
	holders []holder
}

// holder is an upstream that this instance sent a prefix to.
type holder struct {
	cache       *cache
	incarnation int
	// tokens is the size of the last part of the prefix as sent. That part may have grown since.
	tokens int
	// filled is cache.filled when the prefix was last sent.
	filled float64
}

// kept returns the probability that the upstream still caches the prefix, given the room of its memory in tokens.
func (h *holder) kept(room float64) float64 {
	if h.incarnation != h.cache.incarnation {
		return 0
	}
	newer := (h.cache.filled - h.filled) / room
	return min(max((fadeTo-newer)/(fadeTo-fadeFrom), 0), 1)
}

// holder returns what is known of a prefix at an upstream; nil if this instance didn't send it there.
func (n *node) holder(c *cache) *holder {
	if n == nil || c == nil {
		return nil
	}
	for i := range n.holders {
		if n.holders[i].cache == c {
			return &n.holders[i]
		}
	}
	return nil
}

// record records that a prefix was sent to an upstream. Of maxHolders, the one with the most tokens read since is replaced.
func (n *node) record(h holder) {
	if known := n.holder(h.cache); known != nil {
		*known = h
		return
	}
	if len(n.holders) < maxHolders {
		n.holders = append(n.holders, h)
		return
	}
	oldest := 0
	for i := range n.holders {
		if n.holders[i].age() > n.holders[oldest].age() {
			oldest = i
		}
	}
	n.holders[oldest] = h
}

// age returns the number of tokens that the upstream has read since the prefix was sent.
func (h *holder) age() float64 { return h.cache.filled - h.filled }

// node returns what is known of a prefix; nil if nothing is.
func (s *service) node(hash uint64) *node {
	if n := s.young[hash]; n != nil {
		return n
	}
	return s.old[hash]
}

// ensureNode returns what is known of a prefix, as one of the newest prefixes. Once half of maxPrefixes are new, those
// that weren't used since the other half were new are forgotten.
func (s *service) ensureNode(hash uint64) *node {
	if n := s.young[hash]; n != nil {
		return n
	}
	n := s.old[hash]
	if n == nil {
		n = &node{}
	}
	if len(s.young) >= maxPrefixes/2 {
		s.old, s.young = s.young, make(map[uint64]*node)
	}
	s.young[hash] = n
	return n
}

// ensureCache returns the cache of an upstream, empty if it is another process than before. It returns nil if there are
// too many.
func (s *service) ensureCache(now time.Time, id string, incarnation int) *cache {
	c := s.caches[id]
	if c == nil {
		if len(s.caches) >= maxCaches {
			s.forgetStale(now)
		}
		if len(s.caches) >= maxCaches {
			return nil
		}
		c = &cache{id: id, incarnation: incarnation, at: now, startedAt: -1, slow: 1}
		s.caches[id] = c
	}
	c.restart(now, incarnation, s.otherRate(now))
	return c
}

// restart empties the cache if the upstream is another process than before.
func (c *cache) restart(now time.Time, incarnation int, otherRate float64) {
	if incarnation > c.incarnation {
		c.advance(now, otherRate)
		c.incarnation, c.startedAt, c.unread, c.slow = incarnation, c.filled, 0, 1
	}
}

// warmth returns the fraction of its room that the upstream has filled since it restarted; 1 if no restart is known.
func (c *cache) warmth(room float64) float64 {
	if c == nil || c.startedAt < 0 {
		return 1
	}
	return min((c.filled-c.startedAt)/room, 1)
}

// forgetStale removes the caches that nothing was sent to for staleCache.
func (s *service) forgetStale(now time.Time) {
	for id, c := range s.caches {
		if now.Sub(c.at) > staleCache {
			delete(s.caches, id)
		}
	}
}
