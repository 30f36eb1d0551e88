package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"plantainlane/wire"
)

const (
	// maxUnsent is the number of attempts of a stage that may reach no upstream.
	maxUnsent = 8

	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// minHedgeDelay keeps hedges from being sent when a service is so fast that scheduling dominates.
	minHedgeDelay = 2 * time.Millisecond
)

// Service is what is known of one service, for deciding on repeated attempts.
type Service struct {
	Budget  *Budget
	Latency *Latency
	policy  atomic.Pointer[wire.UpstreamPolicy]
	random  func() uint64
}

// Option changes how a Service is built.
type Option func(*Service)

// WithRandom sets the source of random numbers for jitter. It must be safe for concurrent use.
func WithRandom(next func() uint64) Option {
	return func(s *Service) { s.random = next }
}

// NewService returns a Service under a policy.
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

// Review recomputes latency quantiles. It belongs to one goroutine.
func (s *Service) Review(now time.Time) {
	s.Latency.Review(now, s.Policy().HedgeQuantile)
}

// RecordAttempt counts a first attempt.
func (s *Service) RecordAttempt() {
	s.Budget.RecordAttempt(s.Policy().RetryBudget)
}

// Retry tells whether to try again after the given number of attempts, and how long to wait first. It takes a
// retry from the budget.
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

// RetryUnsent tells how long to wait before an attempt follows one that reached no upstream, as when a connection is
// refused. It costs the service nothing and takes nothing from the budget; unsent counts such attempts.
func (s *Service) RetryUnsent(now, deadline time.Time, unsent int) (wait time.Duration, ok bool) {
	if unsent > maxUnsent {
		return 0, false
	}
	wait = s.Backoff(unsent)
	return wait, !now.Add(wait + s.Latency.Median()).After(deadline)
}

// Backoff is a random wait whose bound doubles with each attempt.
func (s *Service) Backoff(attempts int) time.Duration {
	bound := maxBackoff
	if shift := max(attempts-1, 0); shift < 8 {
		bound = min(firstBackoff<<shift, maxBackoff)
	}
	return time.Duration(s.random() % uint64(bound))
}

// HedgeDelay is how long to wait for an answer before the stage is hedged, and whether to hedge at all.
func (s *Service) HedgeDelay() (time.Duration, bool) {
	p := s.Policy()
	d := time.Duration(s.Latency.hedge.Load())
	if p.HedgeQuantile <= 0 || p.MaxAttempts < 2 || d == 0 {
		return 0, false
	}
	return max(d, minHedgeDelay), true
}

// Hedge tells whether to send a hedge now. It takes a retry from the budget.
func (s *Service) Hedge(now, deadline time.Time, attempts int) bool {
	if attempts >= s.Policy().MaxAttempts || now.Add(s.Latency.Median()).After(deadline) {
		return false
	}
	return s.Budget.Take()
}
