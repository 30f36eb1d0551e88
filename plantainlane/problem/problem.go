// Package problem answers HTTP requests that failed with RFC 9457 problems.
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

// Media is the media type of a problem.
const Media = "application/problem+json"

// typePrefix is the start of the URI references that name kinds of problems.
const typePrefix = "/problems/"

// Option sets an optional member of a problem.
type Option func(*wire.Problem)

// WithExecution says what is known of the execution; notRun if not given.
func WithExecution(execution string) Option {
	return func(p *wire.Problem) { p.Execution = execution }
}

// WithRequest names the request.
func WithRequest(id string) Option {
	return func(p *wire.Problem) { p.RequestID = &id }
}

// WithField names the offending field.
func WithField(field string) Option {
	return func(p *wire.Problem) { p.Field = &field }
}

// WithRetryAfter tells when asking again can help; 0 says nothing.
func WithRetryAfter(d time.Duration) Option {
	return func(p *wire.Problem) {
		if ms := int(d / time.Millisecond); ms > 0 {
			p.RetryAfterMs = &ms
		}
	}
}

// New returns a problem of a kind, such as "over-limit", with a detail for a person to read.
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

// Write answers with a problem.
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

// Handler is an echo error handler that answers every error with a problem.
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
		c.Logger().Error("problem not written", "err", writeErr)
	}
}
