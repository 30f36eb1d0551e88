package report

import (
	"context"
	"net/http"
	"time"

	"plantainlane/standin/admin"
	"plantainlane/standin/fake"
	"plantainlane/wire"
)

// Ledgers holds the merged ledgers of all fakes of a run.
type Ledgers struct {
	Ledger wire.Ledger
	// Unreadable are the admin addresses whose ledger could not be read.
	Unreadable []string
}

// ReadLedgers reads and merges the ledgers at admin addresses. Rows are those of executions that started at or after
// since; totals count from the start of the fakes. An address that gives no ledger is listed in Unreadable.
func ReadLedgers(ctx context.Context, client *http.Client, fakes []string, since time.Time) Ledgers {
	out := Ledgers{Unreadable: []string{}}
	for _, address := range fakes {
		l, err := admin.Ledger(ctx, client, address, since)
		if err != nil {
			out.Unreadable = append(out.Unreadable, address)
			continue
		}
		out.Ledger.Rows = append(out.Ledger.Rows, l.Rows...)
		out.Ledger.Totals = append(out.Ledger.Totals, l.Totals...)
		out.Ledger.Dropped += l.Dropped
	}
	out.Ledger.Totals = fake.MergeTotals(out.Ledger.Totals)
	return out
}

// subtractTotals returns the ledgers with the totals and the dropped rows of an earlier reading subtracted. Rows and
// Unreadable stay as they are.
func (l Ledgers) subtractTotals(before Ledgers) Ledgers {
	totals := append([]wire.LedgerTotal{}, l.Ledger.Totals...)
	for _, t := range before.Ledger.Totals {
		t.Executions, t.Refusals, t.Units = -t.Executions, -t.Refusals, -t.Units
		totals = append(totals, t)
	}
	l.Ledger.Totals = fake.MergeTotals(totals)
	l.Ledger.Dropped -= before.Ledger.Dropped
	return l
}
