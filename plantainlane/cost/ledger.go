// Package cost accumulates the costs of each workspace by pipeline and stage, in cost units.
package cost

import (
	"sync"

	"plantainlane/wire"
)

// key identifies a total: the costs of a workspace in a stage of a pipeline.
type key struct {
	workspace, pipeline, stage string
}

// total is the total of one workspace, pipeline and stage.
type total struct {
	row wire.CostRow
	// changed is set if the total has changed since the last Confirm of the total.
	changed bool
}

// Ledger holds the cumulative cost totals since the start of this instance's incarnation. It is safe for concurrent
// use.
type Ledger struct {
	mu     sync.Mutex
	totals map[key]*total
	// sequence is the sequence that the last call of Changed returned.
	sequence int
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{totals: make(map[key]*total)}
}

// Add adds a row to the total of the row's workspace, pipeline and stage.
func (l *Ledger) Add(r wire.CostRow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := key{r.Workspace, r.Pipeline, r.Stage}
	t := l.totals[k]
	if t == nil {
		t = &total{row: wire.CostRow{Workspace: r.Workspace, Pipeline: r.Pipeline, Stage: r.Stage}}
		l.totals[k] = t
	}
	t.row.Units += r.Units
	t.row.WastedUnits += r.WastedUnits
	t.row.Attempts += r.Attempts
	t.row.Requests += r.Requests
	t.changed = true
}

// Changed returns the totals that changed since they were last confirmed. Each call returns a higher sequence than the
// previous call.
func (l *Ledger) Changed() (rows []wire.CostRow, sequence int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.totals {
		if t.changed {
			rows = append(rows, t.row)
		}
	}
	l.sequence++
	return rows, l.sequence
}

// Confirm marks the totals in rows, which Changed returned, as committed. It leaves out totals that have changed since.
func (l *Ledger) Confirm(rows []wire.CostRow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range rows {
		t := l.totals[key{r.Workspace, r.Pipeline, r.Stage}]
		if t != nil && t.row == r {
			t.changed = false
		}
	}
}

// Totals returns all totals of this incarnation, in no particular order.
func (l *Ledger) Totals() []wire.CostRow {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]wire.CostRow, 0, len(l.totals))
	for _, t := range l.totals {
		out = append(out, t.row)
	}
	return out
}
