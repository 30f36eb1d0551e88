package retry

import "sync/atomic"

const (
	// credit is what one retry or hedge takes from a Budget.
	credit = 1000
	// maxCredits bounds what a Budget saves up.
	maxCredits = 100 * credit
	// firstCredits is what a Budget starts with.
	firstCredits = 5 * credit
)

// Budget allows retries and hedges as a share of first attempts, so that a failing service gets little more
// work than a healthy one.
type Budget struct {
	credits atomic.Int64
}

// NewBudget returns a Budget that allows a few retries before any first attempt.
func NewBudget() *Budget {
	b := &Budget{}
	b.credits.Store(firstCredits)
	return b
}

// RecordAttempt counts a first attempt; share is the retries it allows.
func (b *Budget) RecordAttempt(share float64) {
	if b.credits.Load() < maxCredits {
		b.credits.Add(int64(share * credit))
	}
}

// Take uses up one retry, if there is one.
func (b *Budget) Take() bool {
	for {
		v := b.credits.Load()
		if v < credit {
			return false
		}
		if b.credits.CompareAndSwap(v, v-credit) {
			return true
		}
	}
}

// Return gives back a retry that was not made.
func (b *Budget) Return() {
	b.credits.Add(credit)
}
