package instance

import (
	"context"
	"time"

	"plantainlane/wire"
)

const (
	// costInterval is the period at which cost totals are committed. An instance that is killed loses the costs of
	// at most one period plus the time of a commit.
	costInterval = 2 * time.Second
	// commitTimeout is the maximum wait for a commit of cost totals.
	commitTimeout = 2 * time.Second
)

// reportCosts commits the changed cost totals once per costInterval until ctx ends.
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

// flushCosts commits the cost totals that changed since the last commit. It reports whether all of them are committed.
func (x *Instance) flushCosts(ctx context.Context) bool {
	rows, sequence := x.ledger.Changed()
	if len(rows) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
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
