// Package forward takes opaque requests of callers, routes them by host and path, has their stages made, and
// passes them on to upstreams. Answers come back unchanged, whole or not at all.
package forward

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/route"
	"plantainlane/wire"
)

// ErrBadCall reports a request whose headers can't be understood.
var ErrBadCall = errors.New("forward: bad request headers")

// Call is what a caller says of its request.
type Call struct {
	// ID of the request, unique to each attempt of a caller.
	ID string
	// Key of the caller; empty if it sent none.
	Key string
	// Timeout is how long the caller waits; 0 if it doesn't say.
	Timeout time.Duration
	// Parts of the prompt in order; the last one belongs to the request or its session alone.
	Parts []PromptPart
	// Pieces holds the number of pieces of each stage; 0 leaves the stage out.
	Pieces []int
	// PieceKey is the key of pieces that need no results.
	PieceKey string
	// ResumeAfter is the last event that the caller has; empty from the start.
	ResumeAfter string
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Send is what the instance itself says to an upstream beside the caller's headers.
type Send struct {
	// Upstream that is to run the request; any other refuses it.
	Upstream string
	// Workspace of the caller; empty if none was checked.
	Workspace string
	// Left is the time left.
	Left time.Duration
	// Inputs are the handles of results that the request needs.
	Inputs []string
	// ResumeAfter is the last event passed on; empty from the start.
	ResumeAfter string
}

// Answer is what an upstream's answer says of itself.
type Answer struct {
	// ID of the request that it answers; empty if it names none.
	ID string
	// NotRun tells that the request did not run and never will.
	NotRun bool
	// Misdirected tells that another upstream has the address now.
	Misdirected bool
	// InputsGone tells that results which the request needs no longer exist.
	InputsGone bool
	// Genuine tells that the answer bears the upstream's signature.
	Genuine bool
	// Load of the upstream; nil if it doesn't tell.
	Load *wire.UpstreamLoad
}

// Refusal is an answer of the instance itself.
type Refusal struct {
	// Status of the answer.
	Status int
	// Reason in a few words, for callers and logs.
	Reason string
	// RetryAfter is when to come back; 0 says nothing.
	RetryAfter time.Duration
}

// HeaderCodec translates between the messages of callers and upstreams and the types of this package. It is safe for
// concurrent use.
type HeaderCodec interface {
	// ReadCall reads a caller's headers. It returns ErrBadCall for ones that make no sense.
	ReadCall(h http.Header) (Call, error)
	// Prepare changes a copy of the caller's headers to those that the upstream gets.
	Prepare(h http.Header, s Send)
	// ReadAnswer reads the head of an upstream's answer.
	ReadAnswer(res *http.Response) Answer
	// Refuse writes an answer of the instance itself.
	Refuse(w http.ResponseWriter, id string, r Refusal)
}

// Picker chooses upstreams.
type Picker interface {
	Pick(now time.Time, q route.Query) (route.Target, bool)
}
