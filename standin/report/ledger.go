package report

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/standin/fake"
	"plantainlane/wire"
)

const (
	readTimeout    = 20 * time.Second
	maxLedgerBytes = 512 << 20
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
		var l wire.Ledger
		url := fmt.Sprintf("http://%s/ledger?sinceUs=%d", address, since.UnixMicro())
		if err := getJSON(ctx, client, url, "", &l); err != nil {
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

func getJSON(ctx context.Context, client *http.Client, url, credential string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	if credential != "" {
		req.Header.Set("Authorization", "Bearer "+credential)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s answered %s", url, resp.Status)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxLedgerBytes)).Decode(into), "decode")
}
