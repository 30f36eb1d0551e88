// Package cost accumulates the costs of each workspace by pipeline and stage, in cost units.
package cost

import (
	"sync"

	"plantainlane/wire"
)

// key identifies a total.
type key struct {
	workspace, pipeline, stage string
}

// total is the total of one workspace, pipeline and stage.
type total struct {
	row wire.CostRow
	// changed is set if the total changed since it was last confirmed.
	changed bool
}

// Ledger holds the cumulative cost totals since the start of this instance's incarnation. It is safe for concurrent
// use.
type Ledger struct {
	mu   sync.Mutex
	rows map[key]*total
	// sequence is the sequence of the last call of Changed.
	sequence int
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{rows: make(map[key]*total)}
}

// Add adds a row to the total of the row's workspace, pipeline and stage.
func (l *Ledger) Add(r wire.CostRow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := key{r.Workspace, r.Pipeline, r.Stage}
	t := l.rows[k]
	if t == nil {
		t = &total{row: wire.CostRow{Workspace: r.Workspace, Pipeline: r.Pipeline, Stage: r.Stage}}
		l.rows[k] = t
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
	for _, t := range l.rows {
		if t.changed {
			rows = append(rows, t.row)
		}
	}
	l.sequence++
	return rows, l.sequence
}

// Confirm marks the totals of rows that Changed returned as committed, except totals that have changed since.
func (l *Ledger) Confirm(rows []wire.CostRow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range rows {
		t := l.rows[key{r.Workspace, r.Pipeline, r.Stage}]
		if t != nil && t.row == r {
			t.changed = false
		}
	}
}

// Totals returns all totals of this incarnation, in no particular order.
func (l *Ledger) Totals() []wire.CostRow {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]wire.CostRow, 0, len(l.rows))
	for _, t := range l.rows {
		out = append(out, t.row)
	}
	return out
}
