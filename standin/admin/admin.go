// Package admin is a client of the admin listener of a process that runs fakes.
package admin

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"plantainlane/standin/fetch"
	"plantainlane/standin/loopback"
	"plantainlane/wire"
)

const (
	requestTimeout = 2 * time.Second // Of requests other than those for a ledger.
	ledgerTimeout  = 20 * time.Second
	maxListBytes   = 4 << 20 // Of an answer that isn't a ledger.
	maxLedgerBytes = 512 << 20
)

// Upstreams returns the descriptions of the fakes of a process. address is that of the process's admin listener, as in
// all functions of this package. It returns fetch.ErrStatus for an error status, and loopback.ErrNotLoopback if the
// address of a fake isn't on the loopback interface.
func Upstreams(ctx context.Context, client *http.Client, address string) ([]wire.Announcement, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var list []wire.Announcement
	if err := fetch.JSON(ctx, client, "http://"+address+"/upstreams", "", maxListBytes, &list); err != nil {
		return nil, err
	}
	for _, a := range list {
		if err := loopback.Check(a.Address); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// Ledger returns the executions of the fakes of a process. The rows are limited to executions that started at or after
// since; the totals include all executions. It returns fetch.ErrStatus for an error status.
func Ledger(ctx context.Context, client *http.Client, address string, since time.Time) (wire.Ledger, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	var l wire.Ledger
	url := fmt.Sprintf("http://%s/ledger?sinceUs=%d", address, since.UnixMicro())
	err := fetch.JSON(ctx, client, url, "", maxLedgerBytes, &l)
	return l, err
}

// PostFault sends a fault order to the fakes of a process. It returns fetch.ErrStatus if the process refuses the order.
func PostFault(ctx context.Context, client *http.Client, address string, order wire.FaultOrder) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var answer wire.FaultAnswer
	return fetch.Post(ctx, client, "http://"+address+"/faults", order, maxListBytes, &answer)
}
