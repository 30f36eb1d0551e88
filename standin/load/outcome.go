package load

import (
	"time"

	"plantainlane/wire"
)

// Result is how a request ended for its caller.
type Result string

// Results.
const (
	// Whole is the request's own whole answer within its deadline.
	Whole Result = "whole"
	// Late is the request's own whole answer after its deadline.
	Late Result = "late"
	// Wrong is an answer given as whole that was incomplete or another's.
	Wrong Result = "wrong"
	// Refused is a problem that says not run.
	Refused Result = "refused"
	// Failed is a problem that says ran or unknown.
	Failed Result = "failed"
	// Lost is no answer: the connection failed or stayed silent.
	Lost Result = "lost"
	// Unsent is a request that the load program itself could not send.
	Unsent Result = "unsent"
)

// Refusal is an answer that said not run.
type Refusal struct {
	// At is when the answer was read.
	At time.Time
	// Request is the request ID it named, if any.
	Request string
}

// Outcome is the end of one request.
type Outcome struct {
	Result Result
	// Status is the HTTP status of the last answer, 0 if there was none.
	Status int
	// Problem is the type of the last problem.
	Problem string
	// Elapsed counts from the scheduled arrival.
	Elapsed time.Duration
	// Sends is how often the request was sent.
	Sends int
	// Refusals are the answers that said not run.
	Refusals []Refusal
	// FirstToken counts from the scheduled arrival; 0 without a stream.
	FirstToken time.Duration
	// Gaps are the times between tokens of a stream.
	Gaps []time.Duration
	// Cost is the cost by stage that the answer told.
	Cost []wire.StageCost
}
