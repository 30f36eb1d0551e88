package fake

import (
	"math/rand/v2"
	"sync"
	"time"
)

// dice is a seeded source that several calls share.
type dice struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newDice(seed uint64) *dice {
	return &dice{r: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// chance reports true for a share of calls.
func (d *dice) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.Float64() < share
}

func (d *dice) serviceTime(p Profile) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return draw(d.r, p.Distribution, p.ServiceTime)
}
