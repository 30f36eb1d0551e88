package control

import (
	"strings"
	"time"

	"plantainlane/plantainlane/consensus"
	"plantainlane/wire"
)

// Log is a replica of the control log, which puts commands into the same order on all replicas. Its methods don't block
// and don't read a clock.
type Log interface {
	// Propose appends a command and returns its index. ok is false on a replica that doesn't lead.
	Propose(data []byte, now time.Time) (index int, ok bool)
	// Step handles a message from another replica.
	Step(m wire.ConsensusMessage, now time.Time)
	// Tick runs the timers that have expired, such as heartbeats and elections.
	Tick(now time.Time)
	// TakeOutput returns the output of the calls since the last TakeOutput.
	TakeOutput(now time.Time) LogOutput
	// Leadership returns the known leader.
	Leadership() Leadership
	// ConfirmedSince reports whether this replica leads and a quorum answered a heartbeat round that started at or
	// after t.
	ConfirmedSince(t time.Time) bool
	// Compact stores a snapshot of the state after the entry at index, after which the log may drop the entries up
	// to index. It calls encode on another goroutine.
	Compact(index int, encode func() ([]byte, error))
	// Replicas returns the membership in force.
	Replicas() wire.ReplicaSet
	// ReplicaStatuses returns the replicas as the leader sees them; nil on other replicas.
	ReplicaStatuses(now time.Time) []consensus.ReplicaStatus
	// ProposeReplicas appends a membership. It returns an error if the change from the current membership isn't a
	// single valid step.
	ProposeReplicas(set wire.ReplicaSet, now time.Time) error
	// Transfer transfers the leadership to the most up-to-date other voter, if there is one.
	Transfer(now time.Time)
	// Identity returns the ID of this replica, empty once its storage has failed, and the ID of the log that the
	// replica belongs to, empty for a new replica.
	Identity() (replica, log string)
}

// LogOutput is the output of calls to a Log.
type LogOutput struct {
	// Messages are to be sent to other replicas.
	Messages []wire.ConsensusMessage
	// Restored is a snapshot that replaces the whole state before Committed is applied; nil for none.
	Restored *wire.Snapshot
	// LostElection is the newest election that this replica did not win; nil for none.
	LostElection *consensus.Election
	// Committed holds newly committed entries, in order. Each entry is returned once.
	Committed []wire.LogEntry
}

// Leadership is what a replica knows of the log's leader.
type Leadership struct {
	// Replica is the ID of the leading replica; empty while unknown.
	Replica string
	// Term is the term of the leader.
	Term int
	// Self is set if this replica leads and has committed an entry of its term.
	Self bool
}

// replicaSeparator separates the instance ID from the rest of a replica ID.
const replicaSeparator = "/"

// InstanceOf returns the ID of the instance that holds a replica.
func InstanceOf(replica string) string {
	instance, _, _ := strings.Cut(replica, replicaSeparator)
	return instance
}
