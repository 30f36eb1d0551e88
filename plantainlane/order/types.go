package order

import (
	"iter"
	"time"

	"plantainlane/wire"
)

// Kinds of orders, and states and reasons that engines report.
const (
	Load   = "load"
	Unload = "unload"
	Role   = "role"

	// States of a model on an engine.
	loading   = "loading"
	loaded    = "loaded"
	unloading = "unloading"
	failed    = "failed"

	// refused is the state of the answer to an order that the engine refused, staleFencing a reason of such an answer.
	// weightStore is a reason of a failed load and of a Stall.
	refused      = "refused"
	staleFencing = "staleFencing"
	weightStore  = "weightStore"
)

// Input is the configuration and the state of leader and engines that Planner.Step reads.
type Input struct {
	// Models are the declared models, one for each name.
	Models []wire.Model
	// Engines are the announcements of engines that aren't leaving. The planner doesn't change them.
	Engines iter.Seq[*wire.Announcement]
	// Fencing is the fencing number that this leader got from the control log; 0 until it has one.
	Fencing int
	// LeaseUntil is the end of the leader's lease: none of its orders is valid afterwards. A quorum confirmed the leader
	// at LeaseUntil minus Timing.Lease, so the next leader starts after that time, possibly before LeaseUntil.
	LeaseUntil time.Time
	// Demand is the number of replicas that a model's load requires, by model name, as returned by Demand.Step. It
	// is ignored where it is below the declared replicas.
	Demand map[string]int
	// Roles are the roles that engines should have, by engine ID; an engine without an entry keeps its role.
	Roles map[string]string
}

// Timing holds the periods and timeouts of a planner.
type Timing struct {
	// Lease is how long a leader may issue orders after a quorum last confirmed it.
	Lease time.Duration
	// Skew is the largest difference between wall clocks of instances and engines.
	Skew time.Duration
	// Valid is the validity period of an order: the engine refuses it afterwards.
	Valid time.Duration
	// Repeat is the time after which an unanswered order is sent again to an engine that checks fencing numbers.
	Repeat time.Duration
	// ReadPending is the period of reading the state of an engine that has a pending order, is loading or unloading a
	// model, or hasn't been read yet.
	ReadPending time.Duration
	// ReadIdle is the shortest period of reading the state of other engines.
	ReadIdle time.Duration
	// Backoff is the wait after the first failed order; it doubles with each further failure up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
}

// DefaultTiming returns the timing that planners use unless WithTiming is given.
func DefaultTiming() Timing {
	return Timing{
		Lease: 5 * time.Second, Skew: time.Second, Valid: 4 * time.Second, Repeat: time.Second,
		ReadPending: time.Second, ReadIdle: 10 * time.Second,
		Backoff: time.Second, MaxBackoff: time.Minute,
	}
}

// Report is an engine's response to an order or a read: Answer is set for an order, State and StartedAt for a read.
type Report struct {
	// Upstream is the ID of the engine.
	Upstream string
	// State is the engine's response to a read.
	State *wire.EngineState
	// StartedAt is when the read of State was started.
	StartedAt time.Time
	// Answer is the engine's response to an order.
	Answer *wire.OrderAnswer
}

// Dispatch is an order to send to an engine.
type Dispatch struct {
	Order wire.Order
	// Address is the engine's host and port.
	Address string
	// Until is when the order expires; it isn't sent afterwards.
	Until time.Time
}

// Read is a request for the state of an engine.
type Read struct {
	// Upstream is the ID of the engine.
	Upstream string
	// Address is the engine's host and port.
	Address string
}

// Stall is a declared model that lacks replicas and can't get another one now.
type Stall struct {
	// Model is the model as NAME@VERSION.
	Model string
	// Reason is noRoom (no engine can load the model now, at least one of them for lack of a free slot), noEngine (no
	// engine can load the model now, for other reasons), weightStore (the weight store's rate is used up), or enginesLost
	// (engines have ended while they loaded the model).
	Reason string
}

// Actions is the result of Planner.Step.
type Actions struct {
	// Orders are the orders to send.
	Orders []Dispatch
	// Reads are the engine states to read.
	Reads []Read
	// Stalls are the models that lack replicas, for the operators' status.
	Stalls []Stall
	// NeedFencing is set if the leader needs a new fencing number from the control log: it has none yet, or an
	// engine has reported a higher one.
	NeedFencing bool
}
