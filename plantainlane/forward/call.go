// Package forward accepts opaque requests of callers, routes them by host and path, runs the stages that they need,
// and sends them to upstreams. An answer reaches the caller unchanged and whole, or is replaced by an error; a stream
// that can't be continued is aborted so that it doesn't look complete.
package forward

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/promptcache"
	"plantainlane/plantainlane/quarantine"
	"plantainlane/plantainlane/route"
	"plantainlane/wire"
)

// ErrBadCall reports a request whose headers are malformed.
var ErrBadCall = errors.New("forward: malformed request headers")

// Call holds what a caller's headers say about its request.
type Call struct {
	// ID of the request; each retry by the caller has a new one.
	ID string
	// Key that authenticates the caller; empty if the caller sent none.
	Key string
	// Timeout is how long the caller waits for its answer; 0 if not stated.
	Timeout time.Duration
	// Parts of the prompt in order. Other requests may share all but the last, which belongs to this request or its
	// session only.
	Parts []PromptPart
	// Pieces holds the number of pieces of each stage, by the index of the stage in its route; 0 skips the stage.
	Pieces []int
	// PieceKey is the key of the pieces of stages that need no results of other stages.
	PieceKey string
	// ResumeAfter is the ID of the last event that the caller has; empty to start at the first event.
	ResumeAfter string
}

// sharedParts returns the IDs of the first parts of the prompt that the quarantine considers, without its last part.
func (c *Call) sharedParts() []string {
	return c.partIDs(min(len(c.Parts)-1, quarantine.MaxParts))
}

// partIDs returns the IDs of the first count parts of the prompt.
func (c *Call) partIDs(count int) []string {
	var ids []string
	for i := range max(count, 0) {
		ids = append(ids, c.Parts[i].ID)
	}
	return ids
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart = promptcache.Part

// Send holds the values that the instance adds to the caller's headers when it sends a request to an upstream.
type Send struct {
	// Upstream is the ID of the upstream that is to run the request; any other upstream refuses the request.
	Upstream string
	// Workspace of the caller; empty if the caller's key was not checked.
	Workspace string
	// Left is the time left until the request's deadline.
	Left time.Duration
	// Inputs are the handles of the stage results that the request needs.
	Inputs []string
	// ResumeAfter is the ID of the last event forwarded; empty to start at the first event.
	ResumeAfter string
}

// Answer holds what the head of an upstream's answer says about the request and the upstream.
type Answer struct {
	// ID of the request that the upstream answers; empty if the answer has none.
	ID string
	// NotRun is set if the request did not run and never will.
	NotRun bool
	// ClaimsNotRun is set if the status alone tells callers that the request did not run. Unless NotRun is set as well, the upstream
	// didn't mean that.
	ClaimsNotRun bool
	// Misdirected is set if the address belongs to another upstream now.
	Misdirected bool
	// InputsGone is set if stage results that the request needs no longer exist.
	InputsGone bool
	// Genuine is set if the answer carries the upstream's signature.
	Genuine bool
	// Load of the upstream; nil if not reported.
	Load *wire.UpstreamLoad
}

// Refusal is an answer by the instance itself in place of an upstream's answer.
type Refusal struct {
	// Status is the HTTP status code.
	Status int
	// Reason is a short text for callers and logs.
	Reason string
	// RetryAfter is the time after which the caller may retry; 0 if unspecified.
	RetryAfter time.Duration
}

// HeaderCodec translates between the headers of callers and upstreams and the types of this package. It is safe for
// concurrent use.
type HeaderCodec interface {
	// ReadCall reads a caller's headers. It returns ErrBadCall for malformed headers.
	ReadCall(h http.Header) (Call, error)
	// Prepare changes a copy of the caller's headers into the headers that the upstream receives.
	Prepare(h http.Header, s Send)
	// ReadAnswer reads the head of an upstream's answer.
	ReadAnswer(res *http.Response) Answer
	// Refuse writes a refusal of the request with the given ID, which may be empty.
	Refuse(w http.ResponseWriter, id string, r Refusal)
}

// Picker chooses the upstream of each send.
type Picker interface {
	// Pick returns false if no upstream matches the query.
	Pick(now time.Time, q route.Query) (route.Target, bool)
	// RestsUntil returns the earliest time at which the limit of an upstream that matches the query allows a request
	// again. It returns false unless the limits of all such upstreams allow none now.
	RestsUntil(now time.Time, q route.Query) (time.Time, bool)
	// IsEvacuated reports whether a service has upstreams, and all are in evacuated zones.
	IsEvacuated(service string) bool
	// ReportsPace reports whether an upstream of a service has reported a pace.
	ReportsPace(service string) bool
}
