package control

import (
	"strings"
	"time"

	"plantainlane/plantainlane/consensus"
	"plantainlane/wire"
)

// Log orders commands between the replicas of one shard. It neither blocks nor reads a clock.
type Log interface {
	// Propose appends a command and returns its index. ok is false on a replica that doesn't lead.
	Propose(data []byte, now time.Time) (index int, ok bool)
	// Step takes a message from another replica.
	Step(m wire.ConsensusMessage, now time.Time)
	// Tick runs what time makes due.
	Tick(now time.Time)
	// TakeOutput returns what came of the calls since the last TakeOutput.
	TakeOutput(now time.Time) LogOutput
	// Leadership tells who leads. Replica is empty while nobody is known to.
	Leadership() Leadership
	// ConfirmedSince tells whether this replica leads and a quorum confirmed a round begun at or after t.
	ConfirmedSince(t time.Time) bool
	// Compact hands over the state after index, so that the log before it may go. It calls encode on
	// another goroutine.
	Compact(index int, encode func() ([]byte, error))
	// Replicas returns the membership in force.
	Replicas() wire.ReplicaSet
	// ReplicaStatuses returns the replicas as the leader sees them; nil on other replicas.
	ReplicaStatuses(now time.Time) []consensus.ReplicaStatus
	// ProposeReplicas appends a membership. It returns an error if it isn't one valid step now.
	ProposeReplicas(set wire.ReplicaSet, now time.Time) error
	// Transfer hands leadership to the most up-to-date other voter, if there is one.
	Transfer(now time.Time)
	// Identity returns the ID of this replica, empty once its storage failed, and of the log it belongs
	// to, empty for a new replica.
	Identity() (replica, log string)
}

// LogOutput is what came of calls to a Log.
type LogOutput struct {
	// Messages to other replicas.
	Messages []wire.ConsensusMessage
	// Restored is a snapshot that replaces the whole state, before Committed.
	Restored *wire.Snapshot
	// Committed entries, in order; each is returned once.
	Committed []wire.LogEntry
}

// Leadership is who leads a log.
type Leadership struct {
	// Replica that leads; empty while unknown.
	Replica string
	// Term of the leader.
	Term int
	// Self tells whether this replica leads and has committed an entry of its term.
	Self bool
}

// replicaSeparator parts the instance ID from the rest of a replica ID.
const replicaSeparator = "/"

// InstanceOf returns the instance that holds a replica.
func InstanceOf(replica string) string {
	instance, _, _ := strings.Cut(replica, replicaSeparator)
	return instance
}
