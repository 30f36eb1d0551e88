package fake

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"plantainlane/wire"
)

type totalKey struct {
	workspace string
	path      string
}

// ledger counts the executions of one fake. Totals cover every call, rows the first ones only.
type ledger struct {
	service string
	bound   int

	mu      sync.Mutex
	rows    []wire.LedgerRow
	dropped int
	totals  map[totalKey]*wire.LedgerTotal
}

func newLedger(service string, bound int) *ledger {
	return &ledger{service: service, bound: bound, totals: make(map[totalKey]*wire.LedgerTotal)}
}

func (l *ledger) total(workspace, path string) *wire.LedgerTotal {
	key := totalKey{workspace, path}
	t, ok := l.totals[key]
	if !ok {
		t = &wire.LedgerTotal{Workspace: workspace, Service: l.service, Path: path}
		l.totals[key] = t
	}
	return t
}

// execution points at one counted execution, so that tokens can be charged to it.
type execution struct {
	ledger    *ledger
	row       int
	workspace string
	path      string
}

// start counts an execution before any of its work is done.
func (l *ledger) start(row wire.LedgerRow) execution {
	row.StartedUs = int(time.Now().UnixMicro())
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.total(row.Workspace, row.Path)
	t.Executions++
	t.Units += row.Units
	e := execution{ledger: l, row: -1, workspace: row.Workspace, path: row.Path}
	if len(l.rows) >= l.bound {
		l.dropped++
		return e
	}
	e.row = len(l.rows)
	l.rows = append(l.rows, row)
	return e
}

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

func (l *ledger) refuse(workspace, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total(workspace, path).Refusals++
}

func (l *ledger) appendTo(out *wire.Ledger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out.Rows = append(out.Rows, l.rows...)
	out.Dropped += l.dropped
	for _, t := range l.totals {
		out.Totals = append(out.Totals, *t)
	}
}

// MergeTotals adds up totals of the same workspace, service and path, in order of these.
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
