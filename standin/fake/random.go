package fake

import (
	"math/rand/v2"
	"sync"
	"time"
)

// randomSource is a seeded random source for concurrent use.
type randomSource struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{r: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// chance reports true with the given probability.
func (s *randomSource) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.Float64() < probability
}

// serviceTime returns a random service time of a profile.
func (s *randomSource) serviceTime(p Profile) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sampleServiceTime(s.r, p.Distribution, p.ServiceTime)
}
