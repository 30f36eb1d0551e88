package load

import (
	"time"

	"plantainlane/wire"
)

// Result is how a request ended for its caller.
type Result string

// Possible results of a request.
const (
	// Whole is a complete and correct answer within the deadline.
	Whole Result = "whole"
	// Late is a complete and correct answer after the deadline.
	Late Result = "late"
	// Wrong is an answer marked as complete that was incomplete or belonged to another request.
	Wrong Result = "wrong"
	// Refused is a problem document that states that the request did not run.
	Refused Result = "refused"
	// Failed is a problem document that states that the request ran, or that this is unknown. For Baseline it is a
	// stage whose attempts all failed.
	Failed Result = "failed"
	// Lost is no complete answer: the connection failed, or nothing was received in time.
	Lost Result = "lost"
	// Unsent is a request that the load program did not send, since one of its own Limits was reached.
	Unsent Result = "unsent"
)

// Refusal is an answer which states that the request did not run.
type Refusal struct {
	// At is when the answer was read.
	At time.Time
	// Request is the request ID in the answer, empty if there was none. The system gives each send its own ID.
	Request string
}

// Outcome is how one request ended for its caller.
type Outcome struct {
	Result Result
	// Status is the HTTP status of the last answer, 0 if there was none.
	Status int
	// Problem is the type of the last problem document, empty if there was none.
	Problem string
	// Elapsed is the time from the scheduled arrival to the end of the last send.
	Elapsed time.Duration
	// Sends is the number of times the request was sent.
	Sends int
	// Refusals are the answers which stated that the request did not run.
	Refusals []Refusal
	// FirstToken is the time from the scheduled arrival to the first token; 0 if no token was received.
	FirstToken time.Duration
	// Gaps are the times between successive tokens of a stream.
	Gaps []time.Duration
	// Cost is the cost by stage that the answer reported.
	Cost []wire.StageCost
}
