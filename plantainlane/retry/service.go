package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"plantainlane/wire"
)

const (
	// maxUnsent is the number of attempts of a stage that may fail to reach any upstream and still be retried.
	maxUnsent = 8

	// firstBackoff bounds the random wait before the first retry. The bound doubles up to maxBackoff.
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// minHedgeDelay prevents hedges to services so fast that scheduling delays dominate their latency.
	minHedgeDelay = 2 * time.Millisecond
)

// Service holds the retry budget, the latencies and the policy of one service.
type Service struct {
	Budget  *Budget
	Latency *Latency
	policy  atomic.Pointer[wire.UpstreamPolicy]
	// random returns the random numbers for Backoff.
	random func() uint64
}

// Option configures a new Service.
type Option func(*Service)

// WithRandom sets the source of random numbers for jitter. It must be safe for concurrent use.
func WithRandom(next func() uint64) Option {
	return func(s *Service) { s.random = next }
}

// NewService returns a Service with the given policy.
func NewService(p wire.UpstreamPolicy, options ...Option) *Service {
	s := &Service{Budget: NewBudget(), Latency: &Latency{}, random: rand.Uint64}
	s.SetPolicy(p)
	for _, o := range options {
		o(s)
	}
	return s
}

// SetPolicy replaces the policy.
func (s *Service) SetPolicy(p wire.UpstreamPolicy) { s.policy.Store(&p) }

// Policy returns the policy.
func (s *Service) Policy() *wire.UpstreamPolicy { return s.policy.Load() }

// Review recomputes the latency quantiles. Only one goroutine may call it.
func (s *Service) Review(now time.Time) {
	s.Latency.Review(now, s.Policy().HedgeQuantile)
}

// RecordAttempt counts a first attempt, which adds to the retry budget.
func (s *Service) RecordAttempt() {
	s.Budget.RecordAttempt(s.Policy().RetryBudget)
}

// Retry reports whether to retry after the given number of attempts, and how long to wait before the retry. An allowed
// retry is taken from the budget.
func (s *Service) Retry(now, deadline time.Time, attempts int) (wait time.Duration, ok bool) {
	if attempts >= s.Policy().MaxAttempts {
		return 0, false
	}
	wait = s.Backoff(attempts)
	if now.Add(wait + s.Latency.Median()).After(deadline) {
		return 0, false
	}
	return wait, s.Budget.Take()
}

// RetryUnsent reports whether to retry after an attempt that reached no upstream, such as one whose connection was
// refused, and how long to wait before the retry. Such an attempt costs the service nothing, so its retry isn't taken
// from the budget. unsent is the number of such attempts so far.
func (s *Service) RetryUnsent(now, deadline time.Time, unsent int) (wait time.Duration, ok bool) {
	if unsent > maxUnsent {
		return 0, false
	}
	wait = s.Backoff(unsent)
	return wait, !now.Add(wait + s.Latency.Median()).After(deadline)
}

// Backoff returns a random wait before the next attempt. Its upper bound doubles with each attempt, from firstBackoff
// to maxBackoff.
func (s *Service) Backoff(attempts int) time.Duration {
	bound := maxBackoff
	if shift := max(attempts-1, 0); shift < 8 {
		bound = min(firstBackoff<<shift, maxBackoff)
	}
	return time.Duration(s.random() % uint64(bound))
}

// HedgeDelay returns how long to wait for an answer before a stage is hedged; false if the stage isn't hedged.
func (s *Service) HedgeDelay() (time.Duration, bool) {
	p := s.Policy()
	d := time.Duration(s.Latency.hedgeDelay.Load())
	if p.HedgeQuantile <= 0 || p.MaxAttempts < 2 || d == 0 {
		return 0, false
	}
	return max(d, minHedgeDelay), true
}

// Hedge reports whether to send a hedge now, after the given number of attempts. An allowed hedge takes one retry from
// the budget.
func (s *Service) Hedge(now, deadline time.Time, attempts int) bool {
	if attempts >= s.Policy().MaxAttempts || now.Add(s.Latency.Median()).After(deadline) {
		return false
	}
	return s.Budget.Take()
}
