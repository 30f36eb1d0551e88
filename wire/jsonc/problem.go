package jsonc

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrMalformed reports text that isn't JSON with comments.
var ErrMalformed = errors.New("jsonc: malformed text")

// ErrInvalid reports well-formed text that doesn't fit the type it is read into, or whose values were
// refused.
var ErrInvalid = errors.New("jsonc: invalid value")

// Problem is one finding in a file.
type Problem struct {
	// File is the name the text was read under.
	File string `json:"file"`
	// Line counts from 1; 0 if the problem has no place in the file.
	Line int `json:"line"`
	// Field is the path of the value, such as "contracts[0].rate.burst"; empty for the whole file.
	Field string `json:"field"`
	// Expected says what would have been taken.
	Expected string `json:"expected"`
	// Found says what stands there; empty where that is a secret or adds nothing.
	Found string `json:"found,omitempty"`
}

// String returns the problem on one line as FILE:LINE: FIELD: expected EXPECTED, found FOUND.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
		if p.Line > 0 {
			fmt.Fprintf(&b, "%d:", p.Line)
		}
		b.WriteByte(' ')
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString("expected " + p.Expected)
	if p.Found != "" {
		b.WriteString(", found " + p.Found)
	}
	return b.String()
}

// Error holds every problem found in one read. It is ErrMalformed or ErrInvalid by errors.Is.
type Error struct {
	// Problems is never empty, and in the order of the text.
	Problems []Problem
	kind     error
}

// NewError returns an ErrInvalid with the given problems, or nil if there is none.
func NewError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &Error{Problems: problems, kind: ErrInvalid}
}

// Error returns one problem a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrMalformed or ErrInvalid.
func (e *Error) Unwrap() error { return e.kind }
