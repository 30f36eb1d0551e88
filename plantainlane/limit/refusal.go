package limit

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Reasons for which a request is refused. A refused request has not run.
var (
	// ErrUnknownWorkspace means that the workspace has no contract.
	ErrUnknownWorkspace = errors.New("limit: unknown workspace")
	// ErrNoGrant means that the instance holds no unexpired grant of the contract.
	ErrNoGrant = errors.New("limit: no share of the contract on this instance")
	// ErrRate means that the instance's share of the request rate is exceeded.
	ErrRate = errors.New("limit: request rate exceeded")
	// ErrConcurrency means that the instance's share of the concurrent requests is in use.
	ErrConcurrency = errors.New("limit: concurrency limit reached")
	// ErrTokens means that the instance's share of the rate of generated tokens is exceeded.
	ErrTokens = errors.New("limit: token rate exceeded")
	// ErrBudget means that the cost units granted to the instance from the contract's budget are used up.
	ErrBudget = errors.New("limit: budget used up")
	// ErrQueueFull means that the request was evicted from a full queue.
	ErrQueueFull = errors.New("limit: queue is full")
	// ErrDeadline means that the request can't finish before its deadline.
	ErrDeadline = errors.New("limit: deadline can't be met")
)

// Refusal is the error for a request that was not admitted. It wraps one of the reasons above.
type Refusal struct {
	Reason error
	// RetryAfter is the time after which a retry may succeed; 0 if unknown.
	RetryAfter time.Duration
}

// Error returns the reason.
func (r *Refusal) Error() string { return r.Reason.Error() }

// Unwrap returns the reason.
func (r *Refusal) Unwrap() error { return r.Reason }

func refuse(reason error, after time.Duration) error {
	return &Refusal{Reason: reason, RetryAfter: after}
}
