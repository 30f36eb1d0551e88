package control

import (
	"time"

	"plantainlane/plantainlane/consensus"
	"plantainlane/wire"
)

// Solo is the log of an instance that is the only replica. It holds entries in memory only.
type Solo struct {
	replica string
	// committed holds the entries that TakeOutput has not returned yet.
	committed []wire.LogEntry
	// last is the index of the newest entry.
	last int
	term int
}

// NewSolo returns the log of a single replica.
func NewSolo(replica string, term int) *Solo {
	return &Solo{replica: replica, term: term}
}

// Propose commits the entry immediately.
func (s *Solo) Propose(data []byte, _ time.Time) (int, bool) {
	s.last++
	s.committed = append(s.committed, wire.LogEntry{Index: s.last, Term: s.term, Data: data})
	return s.last, true
}

// Step ignores messages: there are no other replicas.
func (s *Solo) Step(wire.ConsensusMessage, time.Time) {}

// Tick does nothing.
func (s *Solo) Tick(time.Time) {}

// TakeOutput returns the entries proposed since the last call.
func (s *Solo) TakeOutput(time.Time) LogOutput {
	out := LogOutput{Committed: s.committed}
	s.committed = nil
	return out
}

// Leadership reports this replica as the leader.
func (s *Solo) Leadership() Leadership {
	return Leadership{Replica: s.replica, Term: s.term, Self: true}
}

// ConfirmedSince is always true: the replica is its own quorum.
func (s *Solo) ConfirmedSince(time.Time) bool { return true }

// Compact does nothing: entries aren't kept.
func (s *Solo) Compact(int, func() ([]byte, error)) {}

// ReplicaStatuses returns nothing: the membership never changes.
func (s *Solo) ReplicaStatuses(time.Time) []consensus.ReplicaStatus { return nil }

// ProposeReplicas does nothing.
func (s *Solo) ProposeReplicas(wire.ReplicaSet, time.Time) error { return nil }

// Transfer does nothing: there is no other voter.
func (s *Solo) Transfer(time.Time) {}

// Identity returns the ID of the only replica.
func (s *Solo) Identity() (string, string) { return s.replica, "solo" }

// Replicas returns a membership with the only replica as voter.
func (s *Solo) Replicas() wire.ReplicaSet {
	return wire.ReplicaSet{Voters: []string{s.replica}}
}
