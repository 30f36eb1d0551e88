package quarantine

import "time"

// maxServed is the number of parts in each of the two generations of a servedParts.
const maxServed = 2048

// servedParts holds when requests with recently used parts were last answered whole. Its size is bounded, since callers
// choose the parts: when the newer generation is full, it replaces the older one.
type servedParts struct {
	newer, older map[servicePart]time.Time
}

// put records an answer.
func (s *servedParts) put(key servicePart, at time.Time) {
	if s.newer == nil || len(s.newer) >= maxServed {
		s.newer, s.older = make(map[servicePart]time.Time), s.newer
	}
	s.newer[key] = at
}

// at returns when a request with a part was last answered; the zero time if that isn't known.
func (s *servedParts) at(key servicePart) time.Time {
	if t, ok := s.newer[key]; ok {
		return t
	}
	return s.older[key]
}
