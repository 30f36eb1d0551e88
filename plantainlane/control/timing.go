package control

import "time"

// Timing is the periods the systems run by.
type Timing struct {
	// Tick is the period of the systems. Positive.
	Tick time.Duration
	// Lease is how long a configuration lease holds from when its request was sent. It is more than
	// LeaseInterval.
	Lease time.Duration
	// LeaseInterval is the period of lease requests.
	LeaseInterval time.Duration
	// QuorumFresh is how old the leader's last confirmed round may be when it grants a lease. It is at
	// most half the election timeout, so that clocks may run at different rates.
	QuorumFresh time.Duration
	// SilentAfter is how long an instance may be unheard before it leaves the entry answer.
	SilentAfter time.Duration
	// ForgetAfter is how long after its lease lapsed an instance's claims are given up.
	ForgetAfter time.Duration
	// ProposalRetry is the period at which an unanswered proposal is sent again.
	ProposalRetry time.Duration
	// AcceptWait is how long an operator waits for a change to be in force before it is told pending.
	AcceptWait time.Duration
	// AcceptCommitted tells an operator that a change is accepted once it is committed, and not only once it is in
	// force everywhere.
	AcceptCommitted bool
	// GrantInterval is the period of requests for shares of the contracts.
	GrantInterval time.Duration
	// ReplaceAfter is how long a voter may be unheard before a spare replaces it.
	ReplaceAfter time.Duration
	// SnapshotEvery is the number of log entries between two snapshots.
	SnapshotEvery int
	// SnapshotBytes is the size of the commands between two snapshots.
	SnapshotBytes int
	// DigestInterval is the period of anti-entropy between instances.
	DigestInterval time.Duration
}

// DefaultTiming returns the periods of an instance whose settings name none.
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
		GrantInterval:  time.Second,
		DigestInterval: time.Second,
		ReplaceAfter:   15 * time.Second,
		SnapshotEvery:  4096,
		SnapshotBytes:  4 << 20,
	}
}
