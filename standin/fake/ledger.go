package fake

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"plantainlane/wire"
)

// totalKey identifies a total of a ledger.
type totalKey struct {
	workspace string
	path      string
}

// ledger records the executions of one fake. The totals include every call, the rows only the first maxRows executions.
type ledger struct {
	service string
	maxRows int

	mu      sync.Mutex
	rows    []wire.LedgerRow
	dropped int // Executions without a row of their own.
	totals  map[totalKey]*wire.LedgerTotal
}

func newLedger(service string, maxRows int) *ledger {
	return &ledger{service: service, maxRows: maxRows, totals: make(map[totalKey]*wire.LedgerTotal)}
}

// total returns the total of a workspace and a path, and adds it if it is missing. The caller holds l.mu.
func (l *ledger) total(workspace, path string) *wire.LedgerTotal {
	key := totalKey{workspace, path}
	t, ok := l.totals[key]
	if !ok {
		t = &wire.LedgerTotal{Workspace: workspace, Service: l.service, Path: path}
		l.totals[key] = t
	}
	return t
}

// execution refers to an execution in the ledger, so that the cost of its tokens can be added.
type execution struct {
	ledger    *ledger
	row       int // Index of the row, or -1 if the execution has none.
	workspace string
	path      string
}

// start records an execution at its start, so that an interrupted execution is counted too.
func (l *ledger) start(row wire.LedgerRow) execution {
	row.StartedUs = int(time.Now().UnixMicro())
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.total(row.Workspace, row.Path)
	t.Executions++
	t.Units += row.Units
	e := execution{ledger: l, row: -1, workspace: row.Workspace, path: row.Path}
	if len(l.rows) >= l.maxRows {
		l.dropped++
		return e
	}
	e.row = len(l.rows)
	l.rows = append(l.rows, row)
	return e
}

// charge adds cost units to the execution.
func (e execution) charge(units float64) {
	if units == 0 {
		return
	}
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	e.ledger.total(e.workspace, e.path).Units += units
	if e.row >= 0 {
		e.ledger.rows[e.row].Units += units
	}
}

// refuse counts a refused call.
func (l *ledger) refuse(workspace, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total(workspace, path).Refusals++
}

// appendTo adds the rows, the totals and the number of dropped rows to out.
func (l *ledger) appendTo(out *wire.Ledger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out.Rows = append(out.Rows, l.rows...)
	out.Dropped += l.dropped
	for _, t := range l.totals {
		out.Totals = append(out.Totals, *t)
	}
}

// MergeTotals sorts totals by workspace, service and path, and returns them with one sum for each combination.
func MergeTotals(totals []wire.LedgerTotal) []wire.LedgerTotal {
	slices.SortFunc(totals, func(a, b wire.LedgerTotal) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Path, b.Path))
	})
	merged := totals[:0:0]
	for _, t := range totals {
		n := len(merged) - 1
		if n < 0 || merged[n].Workspace != t.Workspace || merged[n].Service != t.Service || merged[n].Path != t.Path {
			merged = append(merged, t)
			continue
		}
		merged[n].Executions += t.Executions
		merged[n].Refusals += t.Refusals
		merged[n].Units += t.Units
	}
	return merged
}
