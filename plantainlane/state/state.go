package state

import (
	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

// States of a change, as wire.ChangeOutcome carries them.
const (
	ChangeAccepted = "accepted"
	ChangePending  = "pending"
	ChangeConflict = "conflict"
	ChangeInvalid  = "invalid"
	ChangeValid    = "valid"
	ChangeUnknown  = "unknown"
)

// ErrEmptyCommand reports a command without a member that this version knows.
var ErrEmptyCommand = errors.New("state: empty command")

// State is the replicated tables of one shard.
type State struct {
	// Config is the newest committed configuration.
	Config Config
	// Changes holds the outcome of each remembered change by ID.
	Changes table.Table[wire.ChangeOutcome]
	// Claims by claim key, see ClaimKey.
	Claims table.Table[Claim]
	// Expired holds the key hashes of claims whose result was forgotten.
	Expired table.Table[int]
	// ForgottenMs is the time before which keys that carry their time are refused, in milliseconds since 1970.
	// It never falls.
	ForgottenMs int
	// Released holds claim attempts that were taken back before their claim was committed, with the time
	// in milliseconds since 1970. Their claim, should it still come, is not made.
	Released table.Table[int]
	// Instances that may hold a configuration lease, by ID. An instance's incarnation never falls.
	Instances table.Table[wire.InstanceInfo]
	// Fencing is the newest fencing number taken.
	Fencing int
	// Costs holds cumulative totals by instance incarnation and row, see costKey.
	Costs table.Table[CostRow]
	// BudgetUse holds the cost units used in the newest budget period, by workspace.
	BudgetUse table.Table[BudgetUse]

	changeOrder []string
	// requests holds the key of each claim by its request ID.
	requests table.Table[string]
}

// Outcome is what a command led to.
type Outcome struct {
	// Change is set for a change.
	Change *wire.ChangeOutcome
	// Claim is set for a claim or its resolution.
	Claim *wire.ClaimState
	// Fencing is the number taken, for a fencing advance.
	Fencing *int
}

// Apply changes the tables by one committed command. It returns ErrEmptyCommand for a command that sets
// nothing known.
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
		s.addCost(*c.Cost)
	default:
		return Outcome{}, ErrEmptyCommand
	}
	return Outcome{}, nil
}

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

func (s *State) forget(i wire.InstanceInfo) {
	old, ok := s.Instances.Get(i.ID)
	if !ok || old.Incarnation != i.Incarnation {
		return
	}
	s.abandonClaims(old)
	s.Instances = s.Instances.Without(i.ID)
}
