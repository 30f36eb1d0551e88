package instance

import (
	"context"
	"time"

	"plantainlane/wire"
)

const (
	// costInterval is the period at which cost totals are committed. A killed instance loses at most the
	// costs of one period and the time of a commit.
	costInterval = 2 * time.Second
	// costWait bounds the wait for a commit of totals.
	costWait = 2 * time.Second
)

// reportCosts commits changed totals until ctx ends.
func (x *Instance) reportCosts(ctx context.Context) {
	ticker := time.NewTicker(costInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			x.flushCosts(ctx)
		}
	}
}

// flushCosts commits the totals that changed since the last commit and tells whether that succeeded.
func (x *Instance) flushCosts(ctx context.Context) bool {
	rows, sequence := x.ledger.Changed()
	if len(rows) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, costWait)
	defer cancel()
	a := x.loop.Propose(ctx, wire.Command{Cost: &wire.CostTotals{
		Instance:    x.self.ID,
		Incarnation: x.self.Incarnation,
		Sequence:    sequence,
		AtMs:        int(time.Now().UnixMilli()),
		Rows:        rows,
	}})
	if a.Committed {
		x.ledger.Confirm(rows)
	}
	return a.Committed
}
