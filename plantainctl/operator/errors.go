package operator

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"plantainlane/wire"
)

// ErrUnreachable reports that no instance could be reached, or that those reached couldn't serve the call (429, 502,
// 503 or 504).
var ErrUnreachable = errors.New("no instance could answer")

// ErrCredential reports that an instance refused the credential (401 or 403).
var ErrCredential = errors.New("credential refused")

// ErrNotFound reports that the requested resource doesn't exist (404).
var ErrNotFound = errors.New("not found")

// ErrRefused reports any other status that isn't a success.
var ErrRefused = errors.New("refused")

// ProblemError is an instance's answer with an error status. It wraps the sentinel error of that status.
type ProblemError struct {
	// Instance is the address that answered.
	Instance string
	// Problem is the answer's body. If the body couldn't be decoded, only Status and Title are set, both from the status.
	Problem wire.Problem
}

// Error returns the instance's address, the status and the problem's detail, or its title if it has no detail.
func (e *ProblemError) Error() string {
	text := e.Problem.Detail
	if text == "" {
		text = e.Problem.Title
	}
	return fmt.Sprintf("%s answered %d: %s", e.Instance, e.Problem.Status, text)
}

// Unwrap returns the sentinel error of the status.
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
