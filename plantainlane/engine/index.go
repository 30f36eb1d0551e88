package engine

import (
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// DefaultTotalBlocks bounds the cached blocks that an Index knows of over all engines.
	DefaultTotalBlocks = 1 << 18
	// DefaultEngineBlocks bounds those of one engine.
	DefaultEngineBlocks = 1 << 14
	// MaxMatches bounds the engines that a lookup returns.
	MaxMatches = 8

	// guessFor is how long a block that was sent counts without an event, on an engine that publishes events.
	guessFor = 10 * time.Second
	// maxScan bounds the holders of one block that a lookup looks at.
	maxScan = 32
	// maxLengths bounds the lengths of a prompt's beginning that a lookup looks at.
	maxLengths = 8
)

// none marks the end of a list of entries.
const none = -1

// entry says that an engine holds a block. It is in two lists: the holders of its block, most recent first, and
// the blocks of its engine, most recently used first.
type entry struct {
	block uint64
	// guessed is when the block was last sent to the engine, in milliseconds since the index began; 0 if never.
	guessed              int64
	nextHolder           int32
	prevHolder           int32
	nextBlock, prevBlock int32
	engine               int32
	// known says that an event or a list of the engine's blocks names it.
	known bool
}

// pair names an entry.
type pair struct {
	block  uint64
	engine int32
}

// Index knows which engines hold which prompt blocks. Its memory is bounded, and the cost of a lookup doesn't
// depend on the number of engines. It is safe for concurrent use.
type Index struct {
	mu      sync.Mutex
	began   time.Time
	perEach int
	entries []entry
	free    []int32
	at      map[pair]int32
	holders map[uint64]int32
	engines []view
	ids     map[string]int32
	vacant  []int32
	victim  int32
}

// IndexOption changes an index at construction.
type IndexOption func(*Index)

// WithTotalBlocks bounds the blocks over all engines.
func WithTotalBlocks(n int) IndexOption {
	return func(x *Index) { x.entries = make([]entry, 0, n) }
}

// WithEngineBlocks bounds the blocks of one engine.
func WithEngineBlocks(n int) IndexOption { return func(x *Index) { x.perEach = n } }

// NewIndex returns an empty index.
func NewIndex(now time.Time, options ...IndexOption) *Index {
	x := &Index{
		began: now, perEach: DefaultEngineBlocks, at: make(map[pair]int32), holders: make(map[uint64]int32),
		ids: make(map[string]int32),
	}
	for _, o := range options {
		o(x)
	}
	if x.entries == nil {
		x.entries = make([]entry, 0, DefaultTotalBlocks)
	}
	return x
}

// millis is never 0, which stands for never.
func (x *Index) millis(now time.Time) int64 { return now.Sub(x.began).Milliseconds() + 1 }

// Match is an engine that holds the beginning of a prompt.
type Match struct {
	// Engine is an upstream ID.
	Engine string
	// Blocks of the prompt that it holds, at least 1.
	Blocks int
}

// Match returns engines that hold the longest beginnings of a prompt, longest first, at most MaxMatches. Below
// the longest it looks at a few lengths only.
func (x *Index) Match(now time.Time, blocks []uint64) []Match {
	x.mu.Lock()
	defer x.mu.Unlock()
	longest := x.longest(blocks)
	if longest == 0 {
		return nil
	}
	matches := make([]Match, 0, MaxMatches)
	at := x.millis(now)
	step := max(longest/maxLengths, 1)
	for length := longest; length > 0 && len(matches) < MaxMatches; length -= step {
		matches = x.matchBlock(at, blocks[length-1], length, matches)
	}
	return matches
}

// longest returns the longest length that some engine holds, by halving: whoever holds a block holds those
// before it, but for what is being evicted.
func (x *Index) longest(blocks []uint64) int {
	return sort.Search(len(blocks), func(i int) bool {
		_, ok := x.holders[blocks[i]]
		return !ok
	})
}

func (x *Index) matchBlock(at int64, block uint64, length int, matches []Match) []Match {
	e, ok := x.holders[block]
	if !ok {
		return matches
	}
	for range maxScan {
		if e == none || len(matches) == MaxMatches {
			break
		}
		v := &x.engines[x.entries[e].engine]
		if x.counts(&x.entries[e], v, at) && !matched(matches, v.id) {
			matches = append(matches, Match{Engine: v.id, Blocks: length})
		}
		e = x.entries[e].nextHolder
	}
	return matches
}

// counts reports whether an entry may be relied on: a guess while events could not yet have contradicted it, a
// known block while no event is missing.
func (x *Index) counts(e *entry, v *view, at int64) bool {
	if e.known && v.certain {
		return true
	}
	if e.guessed == 0 {
		return false
	}
	return !v.certain || at-e.guessed < guessFor.Milliseconds()
}

func matched(matches []Match, id string) bool {
	return slices.ContainsFunc(matches, func(m Match) bool { return m.Engine == id })
}

// Sent notes that a prompt was sent to an engine, which will cache it.
func (x *Index) Sent(now time.Time, engine string, blocks []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.engine(engine)
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := x.put(blocks[i], n); e != none {
			x.entries[e].guessed = x.millis(now)
		}
	}
}

// put returns the entry for a block on an engine, most recently used. It returns none if there is no room.
func (x *Index) put(block uint64, engine int32) int32 {
	key := pair{block, engine}
	if e, ok := x.at[key]; ok {
		x.unlinkBlock(e)
		x.linkBlock(e)
		return e
	}
	e := x.take(engine)
	if e == none {
		return none
	}
	x.entries[e] = entry{block: block, engine: engine}
	x.at[key] = e
	x.linkHolder(e)
	x.linkBlock(e)
	x.engines[engine].blocks++
	return e
}

// take finds room for an entry of an engine: its own oldest when it has its share, else a free one, else the
// oldest of an engine over its share.
func (x *Index) take(engine int32) int32 {
	share := min(x.perEach, cap(x.entries)/max(len(x.ids), 1))
	if share == 0 {
		return none
	}
	if v := &x.engines[engine]; v.blocks >= share {
		x.drop(v.oldest)
	} else if len(x.free) == 0 && len(x.entries) == cap(x.entries) {
		x.dropFromLargest(share)
	}
	if n := len(x.free); n > 0 {
		e := x.free[n-1]
		x.free = x.free[:n-1]
		return e
	}
	x.entries = append(x.entries, entry{})
	return int32(len(x.entries) - 1)
}

// dropFromLargest drops a block of an engine with at least its share. There is one when all room is taken.
func (x *Index) dropFromLargest(share int) {
	for range x.engines {
		x.victim = (x.victim + 1) % int32(len(x.engines))
		if v := &x.engines[x.victim]; v.blocks >= share {
			x.drop(v.oldest)
			return
		}
	}
}

func (x *Index) drop(e int32) {
	it := x.entries[e]
	x.unlinkHolder(e)
	x.unlinkBlock(e)
	x.engines[it.engine].blocks--
	delete(x.at, pair{it.block, it.engine})
	x.free = append(x.free, e)
}
