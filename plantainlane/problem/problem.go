// Package problem writes the answers to failed HTTP requests as RFC 9457 problem details.
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"

	"plantainlane/wire"
)

// Media is the media type of problem details.
const Media = "application/problem+json"

// typePrefix is the prefix of the URI reference that identifies a problem's kind.
const typePrefix = "/problems/"

// Option sets an optional member of a problem.
type Option func(*wire.Problem)

// WithExecution sets the known state of the request's execution, such as "unknown". The default is "notRun".
func WithExecution(execution string) Option {
	return func(p *wire.Problem) { p.Execution = execution }
}

// WithRequest sets the ID of the request.
func WithRequest(id string) Option {
	return func(p *wire.Problem) { p.RequestID = &id }
}

// WithField sets the path of the field that is invalid.
func WithField(field string) Option {
	return func(p *wire.Problem) { p.Field = &field }
}

// WithRetryAfter sets the time after which the caller may retry, in whole milliseconds. A time below one millisecond
// sets nothing.
func WithRetryAfter(d time.Duration) Option {
	return func(p *wire.Problem) {
		if ms := int(d / time.Millisecond); ms > 0 {
			p.RetryAfterMs = &ms
		}
	}
}

// New returns a problem with an HTTP status, a kind such as "over-rate", and a detail for human readers.
func New(status int, kind, detail string, opts ...Option) wire.Problem {
	p := wire.Problem{
		Type:      typePrefix + kind,
		Title:     http.StatusText(status),
		Status:    status,
		Detail:    detail,
		Execution: "notRun",
	}
	for _, o := range opts {
		o(&p)
	}
	return p
}

// Write sends a problem as the answer, with a Retry-After header in seconds, rounded up, if the problem has a retry
// time.
func Write(c *echo.Context, p wire.Problem) error {
	b, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if p.RetryAfterMs != nil {
		seconds := math.Ceil(float64(*p.RetryAfterMs) / 1000)
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	return c.Blob(p.Status, Media, b)
}

// Handler is an echo error handler that answers every error with a problem. Problems with a status of 500 or more have
// the execution "unknown", since the request may have been executed.
func Handler(c *echo.Context, err error) {
	status := http.StatusInternalServerError
	if s, ok := err.(echo.HTTPStatusCoder); ok {
		status = s.StatusCode()
	}
	kind := "internal"
	if status < http.StatusInternalServerError {
		kind = "bad-request"
	}
	execution := "notRun"
	if status >= http.StatusInternalServerError {
		execution = "unknown"
	}
	if writeErr := Write(c, New(status, kind, http.StatusText(status), WithExecution(execution))); writeErr != nil {
		c.Logger().Error("problem details not written", "err", writeErr)
	}
}
