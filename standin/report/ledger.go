package report

import (
	"context"
	"net/http"
	"time"

	"plantainlane/standin/admin"
	"plantainlane/standin/fake"
	"plantainlane/wire"
)

// Ledgers is what the fakes of a run have counted.
type Ledgers struct {
	Ledger wire.Ledger
	// Unreadable are the admin addresses that did not answer.
	Unreadable []string
}

// ReadLedgers reads the ledgers at admin addresses, with the rows that started since a time.
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

// since returns what was counted after an earlier reading.
func (l Ledgers) since(before Ledgers) Ledgers {
	totals := append([]wire.LedgerTotal{}, l.Ledger.Totals...)
	for _, t := range before.Ledger.Totals {
		t.Executions, t.Refusals, t.Units = -t.Executions, -t.Refusals, -t.Units
		totals = append(totals, t)
	}
	l.Ledger.Totals = fake.MergeTotals(totals)
	l.Ledger.Dropped -= before.Ledger.Dropped
	return l
}
