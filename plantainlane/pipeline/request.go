// Package pipeline runs the stages of a request under one deadline. It commits a claim for each request that is not
// idempotent before the first byte is sent to an upstream, and reports for every failure whether the work ran.
package pipeline

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/wire"
)

// Values of Failure.Execution and wire.Problem.Execution.
const (
	// NotRun means that no work of the request ran.
	NotRun = "notRun"
	// Unknown means that work of the request may have run.
	Unknown = "unknown"
	// Ran means that the request ran, but its answer can't be returned.
	Ran = "ran"
)

// Reasons of a failure.
var (
	// ErrDeadline reports that the deadline of the request, or of one of its stages, passed.
	ErrDeadline = errors.New("pipeline: deadline passed")
	// ErrQuarantined reports input that isn't run because upstreams have crashed under it.
	ErrQuarantined = errors.New("pipeline: input in quarantine, it has crashed upstreams")
	// ErrNoUpstream reports a service without an upstream that accepts the work.
	ErrNoUpstream = errors.New("pipeline: no upstream")
	// ErrUpstream reports a stage that failed and may not be attempted again.
	ErrUpstream = errors.New("pipeline: upstream failed")
	// ErrKeyMismatch reports an idempotency key that was used for another request.
	ErrKeyMismatch = errors.New("pipeline: idempotency key was used for another request")
	// ErrUnresolved reports a previous execution under the same key that is still running or whose outcome is unknown.
	ErrUnresolved = errors.New("pipeline: previous execution under this idempotency key has no known outcome")
	// ErrExpiredKey reports an idempotency key whose stored answer has expired.
	ErrExpiredKey = errors.New("pipeline: stored answer of this idempotency key has expired")
	// ErrNoClaim reports a claim whose commit was refused or not confirmed in time.
	ErrNoClaim = errors.New("pipeline: claim not committed")
	// ErrResultSize reports an answer that can't be stored because it is larger than the contract's maxResultBytes.
	ErrResultSize = errors.New("pipeline: answer is larger than the contract's maxResultBytes")
	// ErrCancelled reports that the caller disconnected before the answer.
	ErrCancelled = errors.New("pipeline: caller disconnected")
)

// Failure is the error of a request that was not answered. errors.Is(err, Reason) holds for its Reason.
type Failure struct {
	// Reason is one of the errors of this package or of package limit.
	Reason error
	// Execution is NotRun, Unknown or Ran.
	Execution string
	// Detail is a text for people. It holds no content of the request.
	Detail string
	// RetryAfter is the time after which a repeated request may succeed; 0 if unknown or if repeating can't help.
	RetryAfter time.Duration
}

// Error returns the reason and the detail.
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
	// Key is the idempotency key. It is empty if all stages are idempotent.
	Key string
	// Digest identifies the content of the request, to detect a key that is reused for another request. It is empty if
	// Key is.
	Digest string
	// Input of the first stage.
	Input json.RawMessage
	// Model that stages with UsesModel run on, as name or name@version.
	Model string
	// MaxTokens is the most tokens to generate; 0 for no bound.
	MaxTokens int
	// Started is when the request arrived.
	Started time.Time
	// Deadline is the time after which the request fails with ErrDeadline.
	Deadline time.Time
	// OnToken, if set, is called with each streamed token in order of the offsets. If it returns an error, the attempt
	// fails. If it is nil, the caller gets the tokens only as part of the answer.
	OnToken func(offset int, text string) error
}

// Idempotent reports whether every stage of a pipeline may be executed more than once.
func Idempotent(p *wire.Pipeline) bool {
	for _, s := range p.Stages {
		if !s.Idempotent {
			return false
		}
	}
	return true
}
