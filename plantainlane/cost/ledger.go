// Package cost counts what each stage of each pipeline cost which workspace.
package cost

import (
	"sync"

	"plantainlane/wire"
)

type key struct {
	workspace, pipeline, stage string
}

type total struct {
	row     wire.CostRow
	changed bool
}

// Ledger holds cumulative totals of this instance's incarnation. Several goroutines may use it.
type Ledger struct {
	mu       sync.Mutex
	rows     map[key]*total
	sequence int
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{rows: make(map[key]*total)}
}

// Add adds to the total of the row's workspace, pipeline and stage.
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

// Changed returns the totals that changed since the last report that was confirmed, under a sequence
// higher than all before.
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

// Confirm marks rows as reported, unless they changed since.
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

// Totals returns all totals of this incarnation.
func (l *Ledger) Totals() []wire.CostRow {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]wire.CostRow, 0, len(l.rows))
	for _, t := range l.rows {
		out = append(out, t.row)
	}
	return out
}
