package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults for the fields of Config that are zero.
const (
	DefaultElectionTimeout   = time.Second
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultMaxAppendBytes    = 256 << 10
	DefaultMaxInFlight       = 16
	DefaultMaxChunkBytes     = 1 << 20
	DefaultMaxEntryBytes     = 8 << 20
	DefaultMaxUncommitted    = 8192
	DefaultKeepEntries       = 1024
	DefaultKeepBytes         = 8 << 20
)

var (
	// ErrNotLeader is returned when the replica is not the leader.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrTransferring is returned for a proposal or a transfer while a leader transfer is in progress.
	ErrTransferring = errors.New("consensus: leadership is being transferred")
	// ErrBusy is returned for a proposal while Config.MaxUncommitted entries are uncommitted.
	ErrBusy = errors.New("consensus: too many uncommitted entries")
	// ErrTooLarge is returned for a proposal larger than Config.MaxEntryBytes.
	ErrTooLarge = errors.New("consensus: entry too large")
	// ErrMembershipPending is returned for a membership change while the previous change, or the first
	// entry of the leader's term, is not committed yet.
	ErrMembershipPending = errors.New("consensus: a membership change is pending")
	// ErrMembership is returned for a membership change that isn't a single valid step, and for a transfer to
	// a replica that isn't another voter.
	ErrMembership = errors.New("consensus: invalid membership change")
	// ErrNotCaughtUp is returned for the promotion of a learner whose log lags behind the leader's.
	ErrNotCaughtUp = errors.New("consensus: replica has not caught up")
	// ErrMisdirected is returned for a message that is addressed to another replica or shard.
	ErrMisdirected = errors.New("consensus: message for another replica")
	// ErrForeignLog is returned for a message whose log ID differs from the replica's.
	ErrForeignLog = errors.New("consensus: message from another log")
	// ErrCorrupt is returned for a stored log that is inconsistent or can't be decoded.
	ErrCorrupt = errors.New("consensus: stored log is inconsistent")
	// ErrCompacted is returned for an index that a snapshot already covers.
	ErrCompacted = errors.New("consensus: index is compacted")
	// ErrNotApplied is returned for an index that is not applied yet.
	ErrNotApplied = errors.New("consensus: index is not applied")
)

// Config holds the settings of a replica. Zero limits and durations mean the defaults.
type Config struct {
	// ID identifies the replica and is never reused: a replica that lost its disk gets a new ID, because it
	// no longer knows its votes and acknowledged entries.
	ID string
	// Shard is the number of the shard whose log is replicated.
	Shard int
	// ElectionTimeout is the minimum time without contact from a leader before a replica starts an election;
	// a random time of less than ElectionTimeout is added. For ElectionTimeout after such contact a voter
	// ignores vote requests. A leader steps down when no quorum answered a round that began within
	// ElectionTimeout. It must exceed HeartbeatInterval.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeat rounds of a leader.
	HeartbeatInterval time.Duration
	// MaxAppendBytes is the maximum total size of the entries in one append message. A single larger entry
	// is sent alone.
	MaxAppendBytes int
	// MaxInFlight is the maximum number of unanswered append messages to one replica.
	MaxInFlight int
	// MaxChunkBytes is the maximum size of the data in one snapshot chunk.
	MaxChunkBytes int
	// MaxEntryBytes is the maximum size of the data of a proposed entry.
	MaxEntryBytes int
	// MaxUncommitted is the number of uncommitted entries at which further proposals are rejected.
	MaxUncommitted int
	// KeepEntries is the number of entries covered by a snapshot that stay in memory, so that lagging
	// replicas can get them without a snapshot.
	KeepEntries int
	// KeepBytes bounds these entries by their encoded size.
	KeepBytes int
}

func (c *Config) setDefaults() {
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&c.MaxInFlight, DefaultMaxInFlight)
	setDefault(&c.MaxChunkBytes, DefaultMaxChunkBytes)
	setDefault(&c.MaxEntryBytes, DefaultMaxEntryBytes)
	setDefault(&c.MaxUncommitted, DefaultMaxUncommitted)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.KeepBytes, DefaultKeepBytes)
}

func setDefault[T ~int | ~int64](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// HardState is the state besides the log and the snapshot that must survive a restart of a replica.
type HardState struct {
	// Term is the current term of the replica. It never decreases.
	Term int `json:"term" cbor:"term"`
	// Vote is the ID of the replica voted for in Term, or empty. Within a term it is set at most once.
	Vote string `json:"vote" cbor:"vote"`
	// Log is the ID of the log, or empty before the replica joined one. Once set it never changes.
	Log string `json:"log" cbor:"log"`
}

// Option configures a Node.
type Option func(*Node)

// WithRand sets the random source for election timeouts.
func WithRand(r *rand.Rand) Option {
	return func(n *Node) { n.rand = r }
}
