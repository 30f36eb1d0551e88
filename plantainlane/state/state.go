package state

import (
	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

// States of a change, as in wire.ChangeOutcome.
const (
	// ChangeAccepted means that the change is in force. The leader answers it in place of ChangePending; the state
	// machine sets it only for a site that changes nothing.
	ChangeAccepted = "accepted"
	// ChangePending means that the change is committed, and possibly not in force on every instance yet.
	ChangePending = "pending"
	// ChangeConflict means that the base revision was not the current revision, so that nothing was changed.
	ChangeConflict = "conflict"
	// ChangeInvalid means that problems were found in the change set, so that nothing was changed.
	ChangeInvalid = "invalid"
	// ChangeValid means that no problems were found in a change set that was to be validated only.
	ChangeValid = "valid"
	// ChangeUnknown means that no outcome is stored for the change ID.
	ChangeUnknown = "unknown"
)

// ErrEmptyCommand reports a command that sets no member known to this version.
var ErrEmptyCommand = errors.New("state: empty command")

// State holds the replicated tables of one shard. The zero value is an empty state.
type State struct {
	// Config is the newest committed configuration.
	Config Config
	// Changes holds the outcomes of the newest MaxChanges changes by change ID.
	Changes table.Table[wire.ChangeOutcome]
	// Claims holds the claims by claim key, see ClaimKey.
	Claims table.Table[Claim]
	// Expired holds the end times, in milliseconds since 1970, of claims that expireClaims deleted, by the hash of the
	// claim key. Keys that ForgottenMs rejects have no entry.
	Expired table.Table[int]
	// ForgottenMs is a time in milliseconds since 1970. New claims with a key that contains an earlier creation time
	// are rejected as expired. It never decreases.
	ForgottenMs int
	// Released holds the release times of attempts that were resolved as not run before their claim was committed, by
	// attempt, in milliseconds since 1970. A claim of such an attempt that is committed afterwards is rejected.
	Released table.Table[int]
	// Instances holds the instances that may hold a configuration lease, by ID. While an instance is registered, its
	// incarnation never decreases.
	Instances table.Table[wire.InstanceInfo]
	// Fencing is the newest fencing number that was issued.
	Fencing int
	// Costs holds cumulative costs by instance incarnation, workspace, pipeline and stage, see costKey.
	Costs table.Table[CostRow]
	// BudgetUse holds the cost units used in the newest budget period, by workspace.
	BudgetUse table.Table[BudgetUse]
	// Quarantine holds the newest MaxQuarantine entries by ID, also those that have ended recently.
	Quarantine table.Table[wire.QuarantineEntry]
	// QuarantineVersion counts the changes of Quarantine. It never decreases.
	QuarantineVersion int
	// Departures holds the departures of upstreams, by the upstream's ID.
	Departures table.Table[wire.Departure]

	// departed holds the departures in the order in which they were stored, also those that a later one replaced.
	departed []wire.Departure
	// changeIDs holds the keys of Changes in the order in which they were applied.
	changeIDs []string
	// requests holds the claim key of each claim by its request ID.
	requests table.Table[string]
}

// Outcome is the result of a command. Commands without a result leave it empty.
type Outcome struct {
	// Change is the outcome of a change.
	Change *wire.ChangeOutcome
	// Claim is the state of the claim after a claim or a resolution.
	Claim *wire.ClaimState
	// Fencing is the fencing number issued by a fencing advance.
	Fencing *int
	// Evacuation is the state of the availability zone after an order.
	Evacuation *wire.Evacuation
}

// Apply changes the tables by one committed command. It returns ErrEmptyCommand if the command sets no member known to
// this version.
func (s *State) Apply(c wire.Command) (Outcome, error) {
	switch {
	case c.Change != nil:
		out := s.applyChange(*c.Change, c.ChangeProblems)
		return Outcome{Change: &out}, nil
	case c.Claim != nil:
		out := s.applyClaim(*c.Claim)
		return Outcome{Claim: &out}, nil
	case c.Resolve != nil:
		out := s.applyResolution(*c.Resolve)
		return Outcome{Claim: &out}, nil
	case c.Expire != nil:
		s.expireClaims(c.Expire.BeforeMs)
	case c.Register != nil:
		s.register(*c.Register)
	case c.Forget != nil:
		s.forget(*c.Forget)
	case c.Fencing != nil:
		s.Fencing++
		n := s.Fencing
		return Outcome{Fencing: &n}, nil
	case c.Cost != nil:
		s.addCostTotals(*c.Cost)
	case c.Quarantine != nil:
		s.changeQuarantine(*c.Quarantine)
	case c.Depart != nil:
		s.depart(*c.Depart)
	case c.Evacuate != nil:
		e := s.orderEvacuation(*c.Evacuate)
		return Outcome{Evacuation: &e}, nil
	default:
		return Outcome{}, ErrEmptyCommand
	}
	return Outcome{}, nil
}

// register stores an instance. A newer incarnation replaces an older one, whose running claims become unknown.
func (s *State) register(i wire.InstanceInfo) {
	old, ok := s.Instances.Get(i.ID)
	if ok && old.Incarnation > i.Incarnation {
		return
	}
	if ok && old.Incarnation < i.Incarnation {
		s.abandonClaims(old)
	}
	s.Instances = s.Instances.With(i.ID, i)
}

// forget removes an instance if its incarnation is the registered one. Its running claims become unknown.
func (s *State) forget(i wire.InstanceInfo) {
	old, ok := s.Instances.Get(i.ID)
	if !ok || old.Incarnation != i.Incarnation {
		return
	}
	s.abandonClaims(old)
	s.Instances = s.Instances.Without(i.ID)
}
