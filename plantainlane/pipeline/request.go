// Package pipeline runs the stages of one request under one deadline, claims non-idempotent requests before
// their first byte is sent, and says of every failure whether the work ran.
package pipeline

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/wire"
)

// What is known of the execution of a request that failed, as wire.Problem carries it.
const (
	NotRun  = "notRun"
	Unknown = "unknown"
	Ran     = "ran"
)

// Reasons of a failure.
var (
	// ErrDeadline reports a deadline that passed, or that can't be met any more.
	ErrDeadline = errors.New("pipeline: deadline passed")
	// ErrNoUpstream reports a service without an upstream that takes work.
	ErrNoUpstream = errors.New("pipeline: no upstream")
	// ErrUpstream reports upstreams that failed until the attempts were used up.
	ErrUpstream = errors.New("pipeline: upstream failed")
	// ErrKeyMismatch reports an idempotency key that was used for another request.
	ErrKeyMismatch = errors.New("pipeline: idempotency key was used for another request")
	// ErrUnresolved reports an earlier execution under the same key whose outcome is not known.
	ErrUnresolved = errors.New("pipeline: earlier execution is unresolved")
	// ErrExpiredKey reports an idempotency key whose answer is forgotten.
	ErrExpiredKey = errors.New("pipeline: answer of this idempotency key is no longer kept")
	// ErrNoClaim reports a claim that could not be committed.
	ErrNoClaim = errors.New("pipeline: claim not committed")
	// ErrResultSize reports an answer larger than the contract lets be stored.
	ErrResultSize = errors.New("pipeline: answer larger than the contract's bound")
	// ErrCancelled reports a caller that went away.
	ErrCancelled = errors.New("pipeline: caller went away")
)

// Failure is a request that was not answered. Errors.Is finds its reason.
type Failure struct {
	// Reason is one of this package's sentinels.
	Reason error
	// Execution is NotRun, Unknown or Ran.
	Execution string
	// Detail says more for a person to read. It holds nothing of the request's content.
	Detail string
	// RetryAfter is when asking again can help; 0 if it can't.
	RetryAfter time.Duration
}

// Error names the reason and the detail.
func (f *Failure) Error() string {
	if f.Detail == "" {
		return f.Reason.Error()
	}
	return f.Reason.Error() + ": " + f.Detail
}

// Unwrap returns the reason.
func (f *Failure) Unwrap() error {
	return f.Reason
}

// Request is an admitted request.
type Request struct {
	// ID of the request, unique over all instances.
	ID string
	// Contract the request runs under.
	Contract *wire.Contract
	// Pipeline to run.
	Pipeline *wire.Pipeline
	// Key is the idempotency key. It is set if a stage is not idempotent.
	Key string
	// Digest of everything that the key stands for.
	Digest string
	// Input of the first stage.
	Input json.RawMessage
	// Model that stages with UsesModel run on.
	Model string
	// MaxTokens is the most tokens to generate; 0 for no bound.
	MaxTokens int
	// Started is when the request arrived.
	Started time.Time
	// Deadline is when its answer is due.
	Deadline time.Time
	// OnToken passes on a streamed token. Without it streamed stages are collected.
	OnToken func(offset int, text string) error
}

// Idempotent tells whether every stage of a pipeline may be attempted more than once.
func Idempotent(p *wire.Pipeline) bool {
	for _, s := range p.Stages {
		if !s.Idempotent {
			return false
		}
	}
	return true
}
