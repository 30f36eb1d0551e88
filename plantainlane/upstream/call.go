// Package upstream calls upstreams over HTTP. Each call is one attempt with an ID that the upstream must
// repeat; the outcome says whether the work may have run.
package upstream

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers of calls to upstreams.
const (
	HeaderAttempt   = "Plantainlane-Attempt"
	HeaderRequest   = "Plantainlane-Request"
	HeaderWorkspace = "Plantainlane-Workspace"
	HeaderDeadline  = "Plantainlane-Deadline-Ms"
	HeaderPriority  = "Plantainlane-Priority"
	HeaderModel     = "Plantainlane-Model"
	HeaderMaxTokens = "Plantainlane-Max-Tokens"
	HeaderCost      = "Plantainlane-Cost-Units"
	HeaderExecution = "Plantainlane-Execution"
	HeaderOffset    = "Plantainlane-Resume-Offset"
)

// continuationType is the media type of a body that is a wire.Continuation.
const continuationType = "application/vnd.plantainlane.continuation+json"

// executionNotRun is the value of HeaderExecution by which an upstream says that the work did not run.
const executionNotRun = "notRun"

// Errors of a call.
var (
	// ErrNotRun reports that the work certainly did not run.
	ErrNotRun = errors.New("upstream: work did not run")
	// ErrRefused reports an upstream that said it is busy and that the work did not run. It comes with ErrNotRun.
	ErrRefused = errors.New("upstream: refused")
	// ErrFailed reports an upstream that answered with a failure; the work may have run.
	ErrFailed = errors.New("upstream: call failed")
	// ErrForeignAnswer reports an answer under another attempt ID.
	ErrForeignAnswer = errors.New("upstream: answer to another attempt")
	// ErrTruncated reports an answer without its end.
	ErrTruncated = errors.New("upstream: answer is not whole")
	// ErrSilent reports a connection that brought nothing for too long.
	ErrSilent = errors.New("upstream: connection went silent")
)

// Call is one attempt.
type Call struct {
	// Address is the upstream's host and port.
	Address string
	// Path on the upstream, starting with a slash.
	Path string
	// Attempt is the ID that the upstream must repeat.
	Attempt string
	// Request is the ID of the caller's request.
	Request string
	// Workspace that the work is for.
	Workspace string
	// Priority from 0 to 9.
	Priority int
	// Model is name@version; empty for stages that use none.
	Model string
	// MaxTokens is the most tokens to generate; 0 if the caller set none.
	MaxTokens int
	// Body is the stage's input.
	Body []byte
	// Offset of the first token wanted of a stream; 0 for all.
	Offset int
	// Continued says that Body is a wire.Continuation.
	Continued bool
	// Fresh asks for a connection that was not used before, for work that must not run twice.
	Fresh bool
	// SilentAfter is how long the connection may bring nothing before the call fails with ErrSilent;
	// 0 for no such bound.
	SilentAfter time.Duration
}

// StatusError reports an answer with a status other than 200. It is an ErrFailed.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// Cost in units that the upstream reported for the failed attempt.
	Cost float64
}

// Error names the status.
func (e *StatusError) Error() string {
	return "upstream: status " + strconv.Itoa(e.Status)
}

// Is makes a StatusError an ErrFailed.
func (e *StatusError) Is(target error) bool {
	return target == ErrFailed
}

func (c Call) request(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	// Without GetBody the transport never sends the body a second time by itself.
	req.GetBody = nil
	h := req.Header
	h.Set("Content-Type", "application/json")
	if c.Continued {
		h.Set("Content-Type", continuationType)
	}
	if c.Offset > 0 {
		h.Set(HeaderOffset, strconv.Itoa(c.Offset))
	}
	h.Set(HeaderAttempt, c.Attempt)
	h.Set(HeaderRequest, c.Request)
	h.Set(HeaderWorkspace, c.Workspace)
	h.Set(HeaderPriority, strconv.Itoa(c.Priority))
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if c.Model != "" {
		h.Set(HeaderModel, c.Model)
	}
	if c.MaxTokens > 0 {
		h.Set(HeaderMaxTokens, strconv.Itoa(c.MaxTokens))
	}
	return req, nil
}

func checkHead(res *http.Response, attempt string) error {
	if res.Header.Get(HeaderAttempt) != attempt {
		return errors.Wrapf(ErrForeignAnswer, "status %d", res.StatusCode)
	}
	if res.StatusCode == http.StatusOK {
		return nil
	}
	refused := res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusServiceUnavailable
	if refused && res.Header.Get(HeaderExecution) == executionNotRun {
		return errors.Mark(errors.Wrapf(ErrRefused, "status %d", res.StatusCode), ErrNotRun)
	}
	cost, _ := costOf(res.Header)
	return &StatusError{Status: res.StatusCode, Cost: cost}
}

func costOf(h http.Header) (float64, bool) {
	v, err := strconv.ParseFloat(h.Get(HeaderCost), 64)
	return v, err == nil && v >= 0
}
