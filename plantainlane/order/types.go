package order

import (
	"iter"
	"time"

	"plantainlane/wire"
)

// Kinds of orders and states of models on engines.
const (
	Load   = "load"
	Unload = "unload"
	Role   = "role"

	loading   = "loading"
	loaded    = "loaded"
	unloading = "unloading"
	failed    = "failed"

	refused      = "refused"
	staleFencing = "staleFencing"
	weightStore  = "weightStore"
)

// Input is what a step reads.
type Input struct {
	// Models are the declared models, one a name.
	Models []wire.Model
	// Engines are the announcements of engines that are not leaving. They are not changed.
	Engines iter.Seq[*wire.Announcement]
	// Fencing is the number that this leader took from the control log; 0 until it has one.
	Fencing int
	// LeaseUntil is until when this instance certainly is the only leader. A later leader starts no sooner than
	// Timing.Lease before it.
	LeaseUntil time.Time
	// Demand is the number of engines that a model's load asks for, by model name. More than the declared
	// replicas counts.
	Demand map[string]int
	// Roles are wanted roles by engine; an engine without one keeps its role.
	Roles map[string]string
}

// Timing is the periods a planner goes by.
type Timing struct {
	// Lease is how long a leader may order after a quorum last confirmed it.
	Lease time.Duration
	// Skew is the largest difference between wall clocks of instances and engines.
	Skew time.Duration
	// Valid is how long an order holds.
	Valid time.Duration
	// Repeat is when an unanswered order is sent again to an engine that checks fencing numbers.
	Repeat time.Duration
	// ReadPending is the period of reading the state of an engine with an order under way or a model loading.
	ReadPending time.Duration
	// ReadIdle is the period of reading other engines' state.
	ReadIdle time.Duration
	// Backoff is the first wait after a failed order; it doubles up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
}

// DefaultTiming returns the periods of a site.
func DefaultTiming() Timing {
	return Timing{
		Lease: 5 * time.Second, Skew: time.Second, Valid: 4 * time.Second, Repeat: time.Second,
		ReadPending: time.Second, ReadIdle: 10 * time.Second,
		Backoff: time.Second, MaxBackoff: time.Minute,
	}
}

// Report is what the sender learned. State, Answer or both are nil for a call without an answer.
type Report struct {
	// Upstream is the engine.
	Upstream string
	// State that the engine read back, if it was asked to.
	State *wire.EngineState
	// StartedAt is when the reading of State began.
	StartedAt time.Time
	// Answer to an order.
	Answer *wire.OrderAnswer
}

// Dispatch is an order to carry out.
type Dispatch struct {
	Order wire.Order
	// Address of the engine.
	Address string
	// Until is when the sender must have given up sending it.
	Until time.Time
}

// Read is an engine whose state is to be read.
type Read struct {
	// Upstream is the engine.
	Upstream string
	// Address of the engine.
	Address string
}

// Stall says why a declared model is not being brought to its replicas.
type Stall struct {
	// Model as name@version.
	Model string
	// Reason is noRoom, noEngine or weightStore.
	Reason string
}

// Actions is what a step decides.
type Actions struct {
	// Orders to carry out.
	Orders []Dispatch
	// Reads of engines' state.
	Reads []Read
	// Stalls for the operators' status.
	Stalls []Stall
	// NeedFencing says that a fencing number is to be taken from the control log: there is none yet, or an
	// engine has seen a higher one.
	NeedFencing bool
}
