package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of Config.
const (
	DefaultElectionTimeout   = time.Second
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultMaxAppendBytes    = 256 << 10
	DefaultMaxInFlight       = 16
	DefaultMaxChunkBytes     = 1 << 20
	DefaultMaxEntryBytes     = 8 << 20
	DefaultMaxUncommitted    = 8192
	DefaultKeepEntries       = 1024
)

var (
	// ErrNotLeader reports a proposal to a replica that doesn't lead.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrTransferring reports a proposal while leadership is being handed over.
	ErrTransferring = errors.New("consensus: leadership is being transferred")
	// ErrBusy reports a proposal while too many entries wait for their commit.
	ErrBusy = errors.New("consensus: too many uncommitted entries")
	// ErrTooLarge reports a proposal over Config.MaxEntryBytes.
	ErrTooLarge = errors.New("consensus: entry too large")
	// ErrMembershipPending reports a membership change before the last one, or before the leader's first
	// entry, was committed.
	ErrMembershipPending = errors.New("consensus: a membership change is pending")
	// ErrMembership reports a membership change that isn't one valid step.
	ErrMembership = errors.New("consensus: invalid membership change")
	// ErrNotCaughtUp reports a promotion or transfer to a replica that lags.
	ErrNotCaughtUp = errors.New("consensus: replica has not caught up")
	// ErrMisdirected reports a message for another replica or shard.
	ErrMisdirected = errors.New("consensus: message for another replica")
	// ErrForeignLog reports a message that belongs to another log.
	ErrForeignLog = errors.New("consensus: message of another log")
	// ErrCorrupt reports a stored log that is no valid log.
	ErrCorrupt = errors.New("consensus: stored log is inconsistent")
	// ErrCompacted reports an index that a snapshot already covers.
	ErrCompacted = errors.New("consensus: index is compacted")
	// ErrNotApplied reports an index that was not applied yet.
	ErrNotApplied = errors.New("consensus: index is not applied")
)

// Config is what a replica needs to know besides its log.
type Config struct {
	// ID of the replica. Never reused: a replica that lost its disk gets a new one.
	ID string
	// Shard of the log.
	Shard int
	// ElectionTimeout is the least time without a leader before an election, and the time for which a
	// voter that heard a leader refuses to vote. More than HeartbeatInterval.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two rounds of a leader.
	HeartbeatInterval time.Duration
	// MaxAppendBytes bounds the entries of one append message, except for a single larger entry.
	MaxAppendBytes int
	// MaxInFlight bounds the unanswered append messages to one replica.
	MaxInFlight int
	// MaxChunkBytes bounds one message of a snapshot.
	MaxChunkBytes int
	// MaxEntryBytes bounds one entry.
	MaxEntryBytes int
	// MaxUncommitted bounds the entries that wait for their commit.
	MaxUncommitted int
	// KeepEntries is the number of entries before a snapshot that are kept for lagging replicas.
	KeepEntries int
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
}

func setDefault[T ~int | ~int64](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// HardState is the state of a replica, besides its log, that must survive a restart.
type HardState struct {
	// Term never falls.
	Term int `json:"term" cbor:"term"`
	// Vote is the replica voted for in Term, or empty. It changes at most once in a term.
	Vote string `json:"vote" cbor:"vote"`
	// Log is the ID of the log. Once set it never changes.
	Log string `json:"log" cbor:"log"`
}

// Option adjusts a Node.
type Option func(*Node)

// WithRand sets the source of election timeouts.
func WithRand(r *rand.Rand) Option {
	return func(n *Node) { n.rand = r }
}
