package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/standin/fetch"
	"plantainlane/standin/loopback"
	"plantainlane/wire"
)

// ErrNoEntry marks a query for entries that no instance answered.
var ErrNoEntry = errors.New("no instance answered the query for entries")

const (
	queryTimeout       = time.Second // of one query to one instance
	maxEntryBytes      = 1 << 20     // of a list of entries
	minRefreshInterval = 100 * time.Millisecond
)

// directory holds the entries that the system last listed for callers, and reads the list again when the interval
// stated in it (keepForMs) is over.
type directory struct {
	client *http.Client
	// seeds are the addresses of caller listeners to query in addition to the listed entries.
	seeds []string

	mu      sync.Mutex
	r       *rand.Rand
	entries []wire.EntryAddress
	// failed are the addresses of entries that gave no complete answer since the list was read.
	failed map[string]bool
}

func newDirectory(client *http.Client, seeds []string, randomSeed uint64) *directory {
	return &directory{
		client: client, seeds: seeds, r: rand.New(rand.NewPCG(randomSeed, 7)), failed: make(map[string]bool),
	}
}

// run refreshes the list after each interval until the context ends. A failed refresh is repeated after
// minRefreshInterval.
func (d *directory) run(ctx context.Context, interval time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(interval, minRefreshInterval)):
		}
		next, err := d.refresh(ctx)
		if err != nil {
			next = minRefreshInterval
		}
		interval = next
	}
}

// refresh queries instances in random order until one answers, replaces the list and returns how long the list may be
// used. It returns ErrNoEntry if none answers.
func (d *directory) refresh(ctx context.Context) (time.Duration, error) {
	var lastErr error
	for _, address := range d.queryOrder() {
		answer, err := d.query(ctx, address)
		if err != nil {
			lastErr = err
			continue
		}
		d.mu.Lock()
		d.entries = answer.Entries
		clear(d.failed)
		d.mu.Unlock()
		return time.Duration(answer.KeepForMs) * time.Millisecond, nil
	}
	return 0, errors.Mark(errors.Wrap(lastErr, "entries"), ErrNoEntry)
}

// queryOrder returns the seeds and the listed entries in random order.
func (d *directory) queryOrder() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	order := append([]string{}, d.seeds...)
	for _, e := range d.entries {
		order = append(order, e.Address)
	}
	d.r.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

// query reads the list of entries from one instance. It returns an error for an empty list and for an address that
// isn't on the loopback interface.
func (d *directory) query(ctx context.Context, address string) (wire.EntryAnswer, error) {
	var answer wire.EntryAnswer
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if err := fetch.JSON(ctx, d.client, "http://"+address+"/v1/entries", "", maxEntryBytes, &answer); err != nil {
		return answer, err
	}
	if len(answer.Entries) == 0 {
		return answer, errors.Newf("%s lists no entry", address)
	}
	for _, e := range answer.Entries {
		if err := loopback.Check(e.Address); err != nil {
			return answer, err
		}
	}
	return answer, nil
}

// pick selects an entry at random by weight. It prefers entries that are neither failed nor the one to avoid, then any
// but the one to avoid, then any; if no entry has a weight above 0 it returns one of the seeds at random.
func (d *directory) pick(avoid string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, usable := range []func(string) bool{
		func(a string) bool { return !d.failed[a] && a != avoid },
		func(a string) bool { return a != avoid },
		func(string) bool { return true },
	} {
		if a, ok := d.draw(usable); ok {
			return a
		}
	}
	return d.seeds[d.r.IntN(len(d.seeds))]
}

// draw selects one of the usable entries at random by weight. It reports false if none has a weight above 0.
func (d *directory) draw(usable func(string) bool) (string, bool) {
	sum := 0.0
	for _, e := range d.entries {
		if usable(e.Address) {
			sum += e.Weight
		}
	}
	at := d.r.Float64() * sum
	for _, e := range d.entries {
		if !usable(e.Address) || e.Weight <= 0 {
			continue
		}
		if at < e.Weight {
			return e.Address, true
		}
		at -= e.Weight
	}
	return "", false
}

// markFailed marks an address that gave no complete answer. Once all entries are marked, only the last mark is kept, so
// that entries that work again are tried.
func (d *directory) markFailed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed[address] = true
	for _, e := range d.entries {
		if !d.failed[e.Address] {
			return
		}
	}
	clear(d.failed)
	d.failed[address] = true
}
