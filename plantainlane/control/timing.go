package control

import "time"

// Timing holds the periods and time limits of the systems.
type Timing struct {
	// Tick is the period at which the systems run. Positive.
	Tick time.Duration
	// Lease is the length of a configuration lease, counted from when the lease was requested. It is longer than
	// LeaseInterval.
	Lease time.Duration
	// LeaseInterval is the period of lease requests.
	LeaseInterval time.Duration
	// QuorumFresh is the maximum age of the round by which a quorum last confirmed the leader, at the time when
	// the leader grants a lease. It is at most half the election timeout, so that clocks may run at different
	// rates.
	QuorumFresh time.Duration
	// SilentAfter is how long an instance may send no lease request before it is marked silent. Silent instances are
	// not listed as entries to callers.
	SilentAfter time.Duration
	// ForgetAfter is how long after the expiry of its lease a silent instance is removed and its claims are
	// abandoned.
	ForgetAfter time.Duration
	// ProposalRetry is the period at which an unanswered proposal is sent again.
	ProposalRetry time.Duration
	// AcceptWait is how long a change may take to be in force everywhere before the operator receives "pending".
	AcceptWait time.Duration
	// AcceptCommitted makes a change count as accepted as soon as it is committed, instead of once it is in force
	// everywhere.
	AcceptCommitted bool
	// ServeBehind is how long an instance serves under its configuration while it knows of a newer revision that it
	// lacks. It applies only with AcceptCommitted: otherwise no change is accepted before the instance has it.
	ServeBehind time.Duration
	// ObeyWithin is the time within which an acknowledged order for an availability zone must be obeyed. After a standstill
	// of half of it, an instance sends upstreams nothing until a leader has confirmed what it knows, for up to maxHold. 0 for
	// none of this.
	ObeyWithin time.Duration
	// GrantInterval is the period of requests for shares of the contracts.
	GrantInterval time.Duration
	// ReplaceAfter is how long a voter may be unresponsive before a replica that has caught up replaces it. A voter that
	// returns later becomes a learner with the log that it has.
	ReplaceAfter time.Duration
	// SnapshotEvery is the number of log entries after which a snapshot is taken.
	SnapshotEvery int
	// SnapshotBytes is the size in bytes of the applied commands after which a snapshot is taken, even if there are
	// fewer than SnapshotEvery entries.
	SnapshotBytes int
	// DigestInterval is the period at which an instance sends the digest of its roster to a random peer.
	DigestInterval time.Duration
}

// DefaultTiming returns the timing of an instance whose settings don't override it.
func DefaultTiming() Timing {
	return Timing{
		Tick:           100 * time.Millisecond,
		Lease:          10 * time.Second,
		LeaseInterval:  time.Second,
		QuorumFresh:    500 * time.Millisecond,
		SilentAfter:    3 * time.Second,
		ForgetAfter:    30 * time.Second,
		ProposalRetry:  500 * time.Millisecond,
		AcceptWait:     14 * time.Second,
		ServeBehind:    time.Second,
		GrantInterval:  time.Second,
		DigestInterval: time.Second,
		ReplaceAfter:   2 * time.Second,
		SnapshotEvery:  4096,
		SnapshotBytes:  4 << 20,
	}
}

// inForceWithin returns the time within which an accepted change is in force at an instance that is in contact, if
// AcceptCommitted is set: half of it is for learning of the change, half for serving behind.
func (t *Timing) inForceWithin() time.Duration { return 2 * t.ServeBehind }

// outdatedFrom returns when an instance stops serving that has lacked a known revision since behindSince; the zero time
// if it doesn't, or behindSince is zero.
func (t *Timing) outdatedFrom(behindSince time.Time) time.Time {
	if behindSince.IsZero() || !t.AcceptCommitted {
		return time.Time{}
	}
	return behindSince.Add(t.ServeBehind)
}
