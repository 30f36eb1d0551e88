package limit

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Reasons for which a request is refused. A refused request has not run.
var (
	// ErrUnknownWorkspace means that the workspace has no contract.
	ErrUnknownWorkspace = errors.New("limit: unknown workspace")
	// ErrNoGrant means that the instance holds no live share of the contract.
	ErrNoGrant = errors.New("limit: no share of the contract here")
	// ErrRate means too many requests a second.
	ErrRate = errors.New("limit: request rate")
	// ErrConcurrency means too many requests in flight.
	ErrConcurrency = errors.New("limit: concurrency")
	// ErrTokens means too many generated tokens a second.
	ErrTokens = errors.New("limit: token rate")
	// ErrBudget means that the budget of the period is used up.
	ErrBudget = errors.New("limit: budget")
	// ErrQueueFull means that too many requests wait.
	ErrQueueFull = errors.New("limit: queue is full")
	// ErrDeadline means that the request could not finish by its deadline.
	ErrDeadline = errors.New("limit: deadline can't be met")
)

// Refusal is an error that says why a request was not admitted. It wraps one of the reasons above.
type Refusal struct {
	Reason error
	// RetryAfter is when asking again can help; 0 if unknown.
	RetryAfter time.Duration
}

// Error returns the reason.
func (r *Refusal) Error() string { return r.Reason.Error() }

// Unwrap returns the reason.
func (r *Refusal) Unwrap() error { return r.Reason }

func refuse(reason error, after time.Duration) error {
	return &Refusal{Reason: reason, RetryAfter: after}
}
