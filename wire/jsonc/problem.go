package jsonc

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrMalformed reports text that is not syntactically valid JSON with comments, or that is too large or too deeply
// nested.
var ErrMalformed = errors.New("jsonc: malformed text")

// ErrInvalid reports well-formed text that doesn't fit the type that it is decoded into, or that contains invalid
// values.
var ErrInvalid = errors.New("jsonc: invalid value")

// Problem describes one value or position in a file that isn't as expected.
type Problem struct {
	// File is the file name that was passed to Read or Parse.
	File string `json:"file"`
	// Line is the line number, from 1; 0 if the problem doesn't belong to a line.
	Line int `json:"line"`
	// Field is the path of the invalid value, such as "contracts[0].rate.burst"; empty for the whole file.
	Field string `json:"field"`
	// Expected describes the valid values.
	Expected string `json:"expected"`
	// Found describes the actual value; empty if the value is secret or the description would add nothing.
	Found string `json:"found,omitempty"`
}

// String formats the problem on one line as "FILE:LINE: FIELD: expected EXPECTED, found FOUND". Empty parts are left
// out.
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

// Error holds all problems found in one file, or in several files that were checked together. By errors.Is it is either
// ErrMalformed or ErrInvalid.
type Error struct {
	// Problems holds at least one problem, in the order in which they were found.
	Problems []Problem
	// kind is ErrMalformed or ErrInvalid.
	kind error
}

// NewError returns an *Error of kind ErrInvalid with the given problems, or nil if there are no problems.
func NewError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &Error{Problems: problems, kind: ErrInvalid}
}

// Error returns the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrMalformed or ErrInvalid.
func (e *Error) Unwrap() error { return e.kind }
