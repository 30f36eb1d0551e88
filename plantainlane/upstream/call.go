// Package upstream calls upstreams over HTTP. Each call is one attempt to run a stage. It has an ID that the answer
// must repeat, and its error shows whether the work may have run.
package upstream

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/quota"
)

// Headers of calls to upstreams and of their answers.
const (
	// HeaderAttempt is the ID of the attempt, in the call and in the answer.
	HeaderAttempt = "Plantainlane-Attempt"
	// HeaderRequest is the ID of the caller's request.
	HeaderRequest = "Plantainlane-Request"
	// HeaderWorkspace is the workspace that the work is for.
	HeaderWorkspace = "Plantainlane-Workspace"
	// HeaderDeadline is the time left until the deadline, in milliseconds.
	HeaderDeadline = "Plantainlane-Deadline-Ms"
	// HeaderPriority is the priority, from 0 to 9.
	HeaderPriority = "Plantainlane-Priority"
	// HeaderModel is the model as name@version. It is left out for stages without a model.
	HeaderModel = "Plantainlane-Model"
	// HeaderMaxTokens is the maximum number of tokens to generate. It is left out if the caller set none.
	HeaderMaxTokens = "Plantainlane-Max-Tokens"
	// HeaderCost is the cost of the attempt in cost units, in the answer.
	HeaderCost = "Plantainlane-Cost-Units"
	// HeaderExecution is executionNotRun in the answer if the work did not run.
	HeaderExecution = "Plantainlane-Execution"
	// HeaderLimit is the number of requests a second that the upstream takes from all instances together, in the answer.
	// It is left out while there is no limit.
	HeaderLimit = "Plantainlane-Request-Limit"
	// HeaderLeaving is true in the answers of an upstream that is leaving. It is left out otherwise.
	HeaderLeaving = "Plantainlane-Leaving"
	// HeaderOffset is the offset of the first token to send. It is left out if the offset is 0.
	HeaderOffset = "Plantainlane-Resume-Offset"
)

// continuationType is the media type of a body that is a wire.Continuation.
const continuationType = "application/vnd.plantainlane.continuation+json"

// executionNotRun is the value of HeaderExecution with which an upstream reports that the work did not run.
const executionNotRun = "notRun"

// Errors of a call.
var (
	// ErrNotRun reports that the work certainly did not run.
	ErrNotRun = errors.New("upstream: work did not run")
	// ErrRefused reports that the upstream refused the call as busy and the work did not run. Such an error is also
	// marked with ErrNotRun.
	ErrRefused = errors.New("upstream: call refused")
	// ErrFailed reports that the upstream answered with a failure, or with an answer that is malformed or too large.
	// The work may have run.
	ErrFailed = errors.New("upstream: call failed")
	// ErrForeignAnswer reports an answer without the attempt ID of the call, or one with a part of another answer in its head. The work
	// may have run.
	ErrForeignAnswer = errors.New("upstream: answer to another attempt")
	// ErrTruncated reports an answer that ended too early. The work may have run.
	ErrTruncated = errors.New("upstream: answer is truncated")
	// ErrSilent reports that no data of the answer was received for Call.SilentAfter.
	ErrSilent = errors.New("upstream: no data received for too long")
)

// Call is one attempt to run a stage on an upstream.
type Call struct {
	// Peer is the upstream's process, with its address.
	quota.Peer
	// Path is the URL path on the upstream. It starts with a slash.
	Path string
	// Attempt is the ID of the attempt, which the answer must repeat.
	Attempt string
	// Request is the ID of the caller's request.
	Request string
	// Workspace is the workspace that the work is for.
	Workspace string
	// Priority is the priority, from 0 to 9.
	Priority int
	// Model is the model as name@version; empty for stages without a model.
	Model string
	// MaxTokens is the maximum number of tokens to generate; 0 if the caller set none.
	MaxTokens int
	// Body is the stage's input.
	Body []byte
	// Offset is the offset of the first token of the stream that the upstream is to send; 0 for all tokens.
	Offset int
	// Continued is set if Body is a wire.Continuation, from which the upstream continues a stream that another attempt
	// started.
	Continued bool
	// Fresh requires a new connection. It is set for work that must not run twice: an upstream may close an idle
	// connection while the call is sent on it, and then it isn't known whether the work ran.
	Fresh bool
	// SilentAfter is the maximum time from the start of the call to the first data of the answer's body, and from each
	// receipt of data to the next. If no data is received for longer, the call fails with ErrSilent. 0 means no limit.
	SilentAfter time.Duration
}

// StatusError reports an answer with a status other than 200. It matches ErrFailed.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// Cost is the cost that the upstream reported for the failed attempt, in cost units; 0 if it reported none.
	Cost float64
}

// Error returns a text with the status.
func (e *StatusError) Error() string {
	return "upstream: status " + strconv.Itoa(e.Status)
}

// Is reports whether target is ErrFailed.
func (e *StatusError) Is(target error) bool {
	return target == ErrFailed
}

// request returns the HTTP request of the call. The time left until the deadline of ctx, if any, is sent in a header.
func (c Call) request(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	// Without GetBody, the transport can't retry the request by itself after it has sent a part of the body.
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

// checkHead returns nil if the head of an answer reports that the attempt succeeded, and otherwise the error that the
// head stands for.
func checkHead(res *http.Response, attempt string) error {
	if res.Header.Get(HeaderAttempt) != attempt || exchange.IsJoined(res) {
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

// noticeOf reads the notice in an answer's head, as a quota.Reader.
func noticeOf(status int, h http.Header) (quota.Notice, error) {
	var limitErr, pauseErr error
	n := quota.Notice{Leaving: h.Get(HeaderLeaving) == "true"}
	n.PerSecond, n.Limited, limitErr = quota.ReadLimit(h.Get(HeaderLimit))
	n.Pause, pauseErr = quota.ReadPause(time.Now(), status, h)
	return n, errors.Join(limitErr, pauseErr)
}

// costOf returns the cost in an answer's headers, in cost units. It returns false if there is no cost or the cost isn't
// valid.
func costOf(h http.Header) (float64, bool) {
	v, err := strconv.ParseFloat(h.Get(HeaderCost), 64)
	return v, err == nil && v >= 0
}
