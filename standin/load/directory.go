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

// ErrNoEntry marks a directory that no instance answered.
var ErrNoEntry = errors.New("no instance tells entries")

const (
	askTimeout     = time.Second
	maxEntryAnswer = 1 << 20
	minKeep        = 100 * time.Millisecond
)

// directory keeps the addresses that the system told callers to use, for as long as it said.
type directory struct {
	client *http.Client
	seeds  []string

	mu      sync.Mutex
	r       *rand.Rand
	entries []wire.EntryAddress
	// failed are addresses of the present answer that a connection failed to.
	failed map[string]bool
}

func newDirectory(client *http.Client, seeds []string, seed uint64) *directory {
	return &directory{
		client: client, seeds: seeds, r: rand.New(rand.NewPCG(seed, 7)), failed: make(map[string]bool),
	}
}

// run asks again whenever the answer is no longer to be kept, until the context ends.
func (d *directory) run(ctx context.Context, keep time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(keep, minKeep)):
		}
		next, err := d.refresh(ctx)
		if err != nil {
			next = minKeep
		}
		keep = next
	}
}

// refresh asks instances in turn and returns how long to keep the answer.
func (d *directory) refresh(ctx context.Context) (time.Duration, error) {
	var last error
	for _, address := range d.askOrder() {
		answer, err := d.ask(ctx, address)
		if err != nil {
			last = err
			continue
		}
		d.mu.Lock()
		d.entries = answer.Entries
		clear(d.failed)
		d.mu.Unlock()
		return time.Duration(answer.KeepForMs) * time.Millisecond, nil
	}
	return 0, errors.Mark(errors.Wrap(last, "entries"), ErrNoEntry)
}

func (d *directory) askOrder() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	order := append([]string{}, d.seeds...)
	for _, e := range d.entries {
		order = append(order, e.Address)
	}
	d.r.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

func (d *directory) ask(ctx context.Context, address string) (wire.EntryAnswer, error) {
	var answer wire.EntryAnswer
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if err := fetch.JSON(ctx, d.client, "http://"+address+"/v1/entries", "", maxEntryAnswer, &answer); err != nil {
		return answer, err
	}
	if len(answer.Entries) == 0 {
		return answer, errors.New("empty entry answer")
	}
	for _, e := range answer.Entries {
		if err := loopback.Check(e.Address); err != nil {
			return answer, err
		}
	}
	return answer, nil
}

// pick draws an entry by weight, none that failed and not the one to avoid if another is left.
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

// markFailed notes that an address gave no answer. Once all have failed only the last one counts, so that
// those that answer again are tried.
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
