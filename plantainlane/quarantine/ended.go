package quarantine

import (
	"context"
	"time"

	"plantainlane/plantainlane/exchange"
)

// checkTimes are when, after a connection to a process broke, it is checked whether the process has ended: it may still be
// ending, or another one may have started at its address and announce itself soon.
var checkTimes = []time.Duration{0, 250 * time.Millisecond, time.Second}

const (
	// maxDials bounds the connections for one check, since one to a process that goes on may cost it a slot.
	maxDials = 2
	// dialTimeout is the maximum time for each of them.
	dialTimeout = 300 * time.Millisecond
)

// Dialer is a Checker that connects to the process's address: if nothing listens there, the process has ended. A host that
// doesn't answer says nothing about the process.
type Dialer struct {
	// IsReplaced reports whether another process is known to have the upstream's ID or address.
	IsReplaced func(p Process) bool
}

// HasEnded reports whether the process that had an address has ended.
func (d *Dialer) HasEnded(ctx context.Context, p Process) bool {
	began := time.Now()
	for i, at := range checkTimes {
		select {
		case <-time.After(at - time.Since(began)):
		case <-ctx.Done():
			return false
		}
		if d.IsReplaced(p) || i < maxDials && isRefused(ctx, p.Address) {
			return true
		}
	}
	return false
}

// isRefused reports whether a connection to an address is refused.
func isRefused(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return exchange.IsRefused(ctx, address)
}
