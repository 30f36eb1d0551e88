package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"plantainlane/wire"

	"github.com/cockroachdb/errors"
)

// Role is what a replica currently does.
type Role int

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// Start is what a replica found in its storage.
type Start struct {
	// HardState is the stored hard state.
	HardState HardState
	// Snapshot is the newest stored snapshot; its index is 0 if there is none.
	Snapshot wire.Snapshot
	// Entries are the stored entries in order; those that the snapshot covers are ignored.
	Entries []wire.LogEntry
}

// Node is one replica. It isn't safe for concurrent use.
type Node struct {
	cfg  Config
	rand *rand.Rand

	hard     HardState
	log      entryLog
	snapshot wire.Snapshot
	// members holds the membership at the log's base and every one after it in the log, ascending.
	members []membership

	role   Role
	leader string
	// commit never falls; everything up to it is the same on every replica.
	commit int
	// applied never exceeds commit.
	applied int
	// heardAt is when a leader was last heard, or the start.
	heardAt time.Time
	// electionAt is when a replica that hears no leader starts an election.
	electionAt time.Time
	votes      map[string]bool
	incoming   *incomingSnapshot

	lead  leading
	ready pending
}

// New returns a replica over what its storage held. It returns ErrCorrupt if that is no valid log.
func New(cfg Config, start Start, now time.Time, opts ...Option) (*Node, error) {
	cfg.setDefaults()
	log, err := newEntryLog(start.Snapshot, start.Entries)
	if err != nil {
		return nil, err
	}
	if log.lastTerm() > start.HardState.Term {
		return nil, errors.Wrapf(ErrCorrupt, "entry of term %d in term %d", log.lastTerm(), start.HardState.Term)
	}
	n := &Node{
		cfg: cfg, hard: start.HardState, log: log, snapshot: start.Snapshot,
		commit: start.Snapshot.Index, applied: start.Snapshot.Index, heardAt: now,
	}
	n.members = []membership{{index: start.Snapshot.Index, set: start.Snapshot.Replicas}}
	for _, e := range log.entries {
		if err := n.noteMembership(e); err != nil {
			return nil, err
		}
	}
	n.ready.handed, n.ready.stable = log.last(), log.last()
	for _, o := range opts {
		o(n)
	}
	if n.rand == nil {
		n.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	n.resetElection(now)
	if n.isSoleVoter() {
		n.electionAt = now
	}
	return n, nil
}

// Bootstrap returns the start of a new log whose only voter is the given replica.
func Bootstrap(id, logID string) (Start, error) {
	start, err := BootstrapVoters([]string{id}, logID)
	start.HardState.Vote = id
	return start, err
}

// BootstrapVoters returns the start of a new log with several voters. Each of them starts with the same voters and log ID.
func BootstrapVoters(voters []string, logID string) (Start, error) {
	voters = slices.Sorted(slices.Values(voters))
	data, err := wire.Encode(wire.ReplicaSet{Voters: voters, Learners: []string{}})
	if err != nil {
		return Start{}, err
	}
	return Start{
		HardState: HardState{Term: 1, Log: logID},
		Entries:   []wire.LogEntry{{Index: 1, Term: 1, Kind: KindMembership, Data: data}},
	}, nil
}

// Tick lets time pass. It should be called a few times in a HeartbeatInterval.
func (n *Node) Tick(now time.Time) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.electionAt) || !n.isVoter(n.cfg.ID) || n.isStorageStalled(now) {
		return
	}
	n.preCampaign(now)
}

// Step takes a message from another replica. Errors are ErrMisdirected and ErrForeignLog; the message then
// had no effect.
func (n *Node) Step(m wire.ConsensusMessage, now time.Time) error {
	if m.Shard != n.cfg.Shard || m.To != n.cfg.ID {
		return errors.Wrapf(ErrMisdirected, "for %s of shard %d", m.To, m.Shard)
	}
	joins := n.hard.Log == "" && (m.Kind == kindAppend || m.Kind == kindSnapshot)
	if m.Log != n.hard.Log && !joins {
		return errors.Wrapf(ErrForeignLog, "from %s", m.From)
	}
	n.step(m, now)
	return nil
}

func (n *Node) step(m wire.ConsensusMessage, now time.Time) {
	switch m.Kind {
	case kindPreVote:
		n.handlePreVote(m, now)
	case kindPreVoteAnswer:
		n.handlePreVoteAnswer(m, now)
	case kindVote:
		n.handleVote(m, now)
	case kindVoteAnswer:
		n.handleVoteAnswer(m, now)
	case kindAppend:
		n.handleAppend(m, now)
	case kindAppendAnswer:
		n.handleAppendAnswer(m, now)
	case kindSnapshot:
		n.handleSnapshot(m, now)
	case kindSnapshotAnswer:
		n.handleSnapshotAnswer(m, now)
	case kindTimeoutNow:
		n.handleTimeoutNow(m, now)
	}
}

// Propose appends a command and returns its index; it is committed if that index later holds an entry of
// the current term. Errors are ErrNotLeader, ErrTransferring, ErrBusy and ErrTooLarge; the command was then
// not appended.
func (n *Node) Propose(data []byte) (int, error) {
	switch {
	case n.role != Leader:
		return 0, ErrNotLeader
	case n.lead.transferTo != "":
		return 0, ErrTransferring
	case len(data) > n.cfg.MaxEntryBytes:
		return 0, errors.Wrapf(ErrTooLarge, "%d bytes", len(data))
	case n.log.last()-n.commit >= n.cfg.MaxUncommitted:
		return 0, ErrBusy
	}
	return n.appendOwn(KindCommand, data), nil
}

func (n *Node) appendOwn(kind int, data []byte) int {
	e := wire.LogEntry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	n.log.append(e)
	return e.Index
}

// Status is a view of a replica for its owner and for operators.
type Status struct {
	// Role of the replica.
	Role Role
	// Term of the replica.
	Term int
	// Leader is the replica ID of the leader, or empty while unknown.
	Leader string
	// Log is the ID of the log, or empty before the replica joined one.
	Log string
	// Commit is the newest committed index known.
	Commit int
	// Applied is the newest index handed out to be applied.
	Applied int
	// Last is the newest index in the log.
	Last int
	// SnapshotIndex is the index that the newest snapshot covers.
	SnapshotIndex int
	// Replicas is the newest membership in the log, committed or not.
	Replicas wire.ReplicaSet
	// Ready tells whether a leader has committed an entry of its own term.
	Ready bool
}

// Status returns the current state.
func (n *Node) Status() Status {
	return Status{
		Role: n.role, Term: n.hard.Term, Leader: n.leader, Log: n.hard.Log, Commit: n.commit, Applied: n.applied,
		Last: n.log.last(), SnapshotIndex: n.snapshot.Index, Replicas: cloneSet(n.replicas()), Ready: n.isLeaderReady(),
	}
}

func cloneSet(s wire.ReplicaSet) wire.ReplicaSet {
	return wire.ReplicaSet{Voters: slices.Clone(s.Voters), Learners: slices.Clone(s.Learners)}
}

func (n *Node) message(kind, to string) wire.ConsensusMessage {
	return wire.ConsensusMessage{
		Kind: kind, Shard: n.cfg.Shard, Log: n.hard.Log, From: n.cfg.ID, To: to, Term: n.hard.Term,
	}
}
