package order

import (
	"math/rand/v2"
	"time"
)

// lostLoads holds the models under whose load engines have ended, by NAME@VERSION. Such a model is loaded by one engine at a
// time, with a backoff, until one has loaded it: it may be the model that ends them.
type lostLoads map[string]*lostLoad

// lostLoad is what is known of one such model.
type lostLoad struct {
	// engines counts the engines that have ended, notBefore is the earliest time of the next load.
	engines   int
	notBefore time.Time
}

// record records that an engine ended while it loaded a model.
func (l lostLoads) record(now time.Time, model string, t Timing, random *rand.Rand) {
	m := l[model]
	if m == nil {
		m = &lostLoad{}
		l[model] = m
	}
	m.notBefore = now.Add(backoff(m.engines, t, random))
	m.engines++
}

// allows reports whether one more engine may load a model that loading engines load already.
func (l lostLoads) allows(now time.Time, model string, loading int) bool {
	m := l[model]
	return m == nil || loading == 0 && !now.Before(m.notBefore)
}
