package retry

import "sync/atomic"

const (
	// creditsPerRetry is the number of credits that one retry or hedge takes from a Budget.
	creditsPerRetry = 1000
	// maxCredits bounds the credits that a Budget accumulates.
	maxCredits = 100 * creditsPerRetry
	// initialCredits is the number of credits in a new Budget.
	initialCredits = 5 * creditsPerRetry
)

// Budget limits retries and hedges to a fraction of the first attempts, so that a failing service receives little more
// work than a healthy one. It is safe for concurrent use.
type Budget struct {
	credits atomic.Int64
}

// NewBudget returns a Budget that allows five retries before any first attempt.
func NewBudget() *Budget {
	b := &Budget{}
	b.credits.Store(initialCredits)
	return b
}

// RecordAttempt counts a first attempt, which adds ratio retries to the budget unless the budget holds maxCredits or
// more.
func (b *Budget) RecordAttempt(ratio float64) {
	if b.credits.Load() < maxCredits {
		b.credits.Add(int64(ratio * creditsPerRetry))
	}
}

// Take takes one retry from the budget and reports whether the budget allowed it.
func (b *Budget) Take() bool {
	for {
		credits := b.credits.Load()
		if credits < creditsPerRetry {
			return false
		}
		if b.credits.CompareAndSwap(credits, credits-creditsPerRetry) {
			return true
		}
	}
}

// Return gives back a retry that was taken from the budget but not sent.
func (b *Budget) Return() {
	b.credits.Add(creditsPerRetry)
}
