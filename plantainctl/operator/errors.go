package operator

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"plantainlane/wire"
)

// ErrUnreachable reports that no instance answered, or that none that did could serve the call.
var ErrUnreachable = errors.New("no instance could answer")

// ErrCredential reports that an instance refused the credential.
var ErrCredential = errors.New("credential refused")

// ErrNotFound reports that an instance doesn't know what was asked for.
var ErrNotFound = errors.New("not found")

// ErrRefused reports any other refusal.
var ErrRefused = errors.New("refused")

// ProblemError is an instance's refusal. By errors.Is it is one of the errors above.
type ProblemError struct {
	// Instance is the address that answered.
	Instance string
	// Problem is the answer; only its status is set if the body was none.
	Problem wire.Problem
}

// Error names the instance, the status and what it said.
func (e *ProblemError) Error() string {
	text := e.Problem.Detail
	if text == "" {
		text = e.Problem.Title
	}
	return fmt.Sprintf("%s answered %d: %s", e.Instance, e.Problem.Status, text)
}

// Unwrap returns the sentinel of the status.
func (e *ProblemError) Unwrap() error {
	switch e.Problem.Status {
	case 401, 403:
		return ErrCredential
	case 404:
		return ErrNotFound
	case 429, 502, 503, 504:
		return ErrUnreachable
	}
	return ErrRefused
}
