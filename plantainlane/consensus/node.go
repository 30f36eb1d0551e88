package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"plantainlane/wire"

	"github.com/cockroachdb/errors"
)

// Role is the Raft role of a replica.
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

// Start is the stored state from which a replica starts.
type Start struct {
	// HardState is the stored hard state.
	HardState HardState
	// Snapshot is the newest stored snapshot. Its index is 0 if there is none.
	Snapshot wire.Snapshot
	// Entries are the stored entries in ascending order. Entries that the snapshot covers are ignored.
	Entries []wire.LogEntry
}

// Node is the Raft state machine of one replica. It isn't safe for concurrent use.
type Node struct {
	cfg  Config
	rand *rand.Rand

	hardState HardState
	log       entryLog
	snapshot  wire.Snapshot
	// memberships holds the membership at the base of the log and all later ones in the log, by ascending index.
	memberships []membership

	role Role
	// leader is the ID of the leader of the current term, or empty while unknown.
	leader string
	// commit is the commit index. It never decreases.
	commit int
	// applied is the newest index that Ready has returned to be applied. It never exceeds commit.
	applied int
	// leaderSeenAt is when the last message from a leader was received, or when the replica started.
	leaderSeenAt time.Time
	// votesFrom is when the replica begins to answer vote requests: a leader that heard from it may rely on it until then.
	votesFrom time.Time
	// lastLeader is the ID of the leader that sent that message; empty if there was none since the start.
	lastLeader string
	// electionAt is when the replica starts an election unless a leader contacts it first.
	electionAt time.Time
	// preVoteAt is when a pre-candidate asks the voters that haven't granted its pre-vote again.
	preVoteAt time.Time
	// tickedAt is when Tick was last called; zero before that.
	tickedAt time.Time
	// votes holds the IDs of the replicas that granted their vote or pre-vote.
	votes map[string]bool
	// lostElection is the newest election that this replica did not win and that TakeLostElection hasn't returned; nil
	// for none.
	lostElection *Election
	// incoming is the snapshot that is being received, or nil.
	incoming *incomingSnapshot

	leadership leaderState
	ready      readyState
}

// New returns a replica that continues from its stored state. It returns ErrCorrupt if the stored log is
// inconsistent or can't be decoded. A sole voter starts its election at the first Tick.
func New(cfg Config, start Start, now time.Time, opts ...Option) (*Node, error) {
	cfg.setDefaults()
	log, err := newEntryLog(start.Snapshot, start.Entries)
	if err != nil {
		return nil, err
	}
	if log.lastTerm() > start.HardState.Term {
		return nil, errors.Wrapf(ErrCorrupt, "newest entry has term %d, later than the hard state's term %d",
			log.lastTerm(), start.HardState.Term)
	}
	n := &Node{
		cfg: cfg, hardState: start.HardState, log: log, snapshot: start.Snapshot,
		commit: start.Snapshot.Index, applied: start.Snapshot.Index, leaderSeenAt: now,
	}
	n.memberships = []membership{{index: start.Snapshot.Index, set: start.Snapshot.Replicas}}
	for _, e := range log.entries {
		if err := n.addMembership(e); err != nil {
			return nil, err
		}
	}
	n.ready.issuedIndex, n.ready.stableIndex = log.last(), log.last()
	for _, o := range opts {
		o(n)
	}
	if n.rand == nil {
		n.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	n.startElectionTimer(now)
	if n.isSoleVoter() {
		n.electionAt = now
	}
	return n, nil
}

// Bootstrap returns the stored state for a new log whose only voter is the given replica.
func Bootstrap(id, logID string) (Start, error) {
	start, err := BootstrapVoters([]string{id}, logID)
	start.HardState.Vote = id
	return start, err
}

// BootstrapVoters returns the stored state for a new log with several voters. Every voter must start with
// the same voters and log ID.
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

// Tick starts elections and heartbeat rounds that are due at now. The owner should call it several times per
// HeartbeatInterval.
func (n *Node) Tick(now time.Time) {
	n.recordStandstill(now)
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if !n.isVoter(n.cfg.ID) || n.isStorageStalled(now) {
		return
	}
	switch {
	case !now.Before(n.electionAt):
		n.preCampaign(now)
	case n.role == PreCandidate && !now.Before(n.preVoteAt):
		n.requestPreVotes(now)
	}
}

// recordStandstill gives the others time if this replica itself has just stood still, for lack of processor time: their
// messages may wait to be handled, and their silence is its own. After a longer standstill they have decided without it.
func (n *Node) recordStandstill(now time.Time) {
	pause, isFirst := now.Sub(n.tickedAt), n.tickedAt.IsZero()
	n.tickedAt = now
	if isFirst || pause < n.cfg.ElectionTimeout/2 || pause > maxStandstill*n.cfg.ElectionTimeout {
		return
	}
	if n.role == Leader {
		n.leadership.resumedAt = now
		return
	}
	n.resetElection(now)
}

// Step handles a message from another replica. A replica without a log joins the log of the first leader that
// contacts it. Errors are ErrMisdirected and ErrForeignLog; the message then had no effect.
func (n *Node) Step(m wire.ConsensusMessage, now time.Time) error {
	if m.Shard != n.cfg.Shard || m.To != n.cfg.ID {
		return errors.Wrapf(ErrMisdirected, "message addressed to replica %s of shard %d", m.To, m.Shard)
	}
	joinsLog := n.hardState.Log == "" && (m.Kind == kindAppend || m.Kind == kindSnapshot)
	if m.Log != n.hardState.Log && !joinsLog {
		return errors.Wrapf(ErrForeignLog, "message from replica %s of log %q, expected log %q",
			m.From, m.Log, n.hardState.Log)
	}
	n.step(m, now)
	return nil
}

// step handles a message that Step has accepted, or one that the replica sent to itself.
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

// Propose appends a command and returns its index. The command is committed if the committed entry at that
// index has the term that was current when Propose was called. Errors are ErrNotLeader, ErrTransferring, ErrBusy and
// ErrTooLarge; the command was then not appended.
func (n *Node) Propose(data []byte) (int, error) {
	switch {
	case n.role != Leader:
		return 0, ErrNotLeader
	case n.leadership.transferTo != "":
		return 0, ErrTransferring
	case len(data) > n.cfg.MaxEntryBytes:
		return 0, errors.Wrapf(ErrTooLarge, "entry of %d bytes, maximum %d", len(data), n.cfg.MaxEntryBytes)
	case n.log.last()-n.commit >= n.cfg.MaxUncommitted:
		return 0, ErrBusy
	}
	return n.appendEntry(KindCommand, data), nil
}

// appendEntry appends an entry of the current term as the leader and returns its index.
func (n *Node) appendEntry(kind int, data []byte) int {
	e := wire.LogEntry{Index: n.log.last() + 1, Term: n.hardState.Term, Kind: kind, Data: data}
	n.log.append(e)
	return e.Index
}

// Status is the state of a replica as shown to its owner and to operators.
type Status struct {
	// Role is the Raft role of the replica.
	Role Role
	// Term is the current term of the replica.
	Term int
	// Leader is the replica ID of the leader, or empty while unknown.
	Leader string
	// Log is the ID of the log, or empty before the replica joined one.
	Log string
	// Commit is the newest index that the replica knows to be committed.
	Commit int
	// Applied is the newest index that Ready has returned to be applied.
	Applied int
	// Last is the newest index in the log.
	Last int
	// SnapshotIndex is the index that the newest snapshot covers.
	SnapshotIndex int
	// Replicas is the newest membership in the log, committed or not.
	Replicas wire.ReplicaSet
	// LeaderReady reports whether the replica is the leader and has committed an entry of its own term.
	LeaderReady bool
}

// Status returns the current state of the replica.
func (n *Node) Status() Status {
	return Status{
		Role: n.role, Term: n.hardState.Term, Leader: n.leader, Log: n.hardState.Log, Commit: n.commit, Applied: n.applied,
		Last: n.log.last(), SnapshotIndex: n.snapshot.Index, Replicas: cloneSet(n.replicas()), LeaderReady: n.isLeaderReady(),
	}
}

func cloneSet(s wire.ReplicaSet) wire.ReplicaSet {
	return wire.ReplicaSet{
		Voters: slices.Clone(s.Voters), Learners: slices.Clone(s.Learners), PreviousVoters: slices.Clone(s.PreviousVoters),
	}
}

// message returns a message to a replica with the header fields set. The caller sets the fields of its kind.
func (n *Node) message(kind, to string) wire.ConsensusMessage {
	return wire.ConsensusMessage{
		Kind: kind, Shard: n.cfg.Shard, Log: n.hardState.Log, From: n.cfg.ID, To: to, Term: n.hardState.Term,
	}
}
