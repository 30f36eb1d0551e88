package engine

import (
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// DefaultTotalBlocks is the default bound of the blocks in an Index, over all engines.
	DefaultTotalBlocks = 1 << 18
	// DefaultEngineBlocks is the default bound of the blocks of one engine.
	DefaultEngineBlocks = 1 << 14
	// MaxMatches bounds the engines that Match returns.
	MaxMatches = 8

	// predictionTTL is how long a predicted block counts without an event that confirms it, while no event of the
	// engine is missing. A block is predicted once it was sent to the engine, which will probably cache it.
	predictionTTL = 10 * time.Second
	// maxScan bounds the holders of one block that Match examines.
	maxScan = 32
	// maxLengths is about the number of prefix lengths of a prompt that Match examines; rounding can almost double it.
	maxLengths = 8
)

// none stands for no entry where the index of an entry is expected, for example at the end of a list.
const none = -1

// entry records that an engine holds a block. It is in two doubly linked lists: the holders of its block, newest
// first, and the blocks of its engine, most recently used first.
type entry struct {
	block uint64
	// predictedAt is when the block was last sent to the engine, as returned by Index.millis; 0 if never.
	predictedAt          int64
	nextHolder           int32
	prevHolder           int32
	nextBlock, prevBlock int32
	// engine is an index into Index.engines.
	engine int32
	// confirmed is set if an event or a list of the engine's blocks contains the block.
	confirmed bool
}

// blockOnEngine is the key of an entry. engine is an index into Index.engines.
type blockOnEngine struct {
	block  uint64
	engine int32
}

// Index records which engines hold which prompt blocks in their prefix caches, from cache events and from the
// prompts sent. Its memory is bounded, and the cost of a lookup doesn't depend on the number of engines. It is
// safe for concurrent use.
type Index struct {
	mu sync.Mutex
	// startedAt is the origin of millis.
	startedAt time.Time
	// maxEngineBlocks bounds the blocks of one engine.
	maxEngineBlocks int
	// maxBlocks bounds the entries. freeEntries are the indexes of the removed ones.
	maxBlocks   int
	entries     []entry
	freeEntries []int32
	// entryOf has the index of each entry.
	entryOf map[blockOnEngine]int32
	// holders has the index of the first entry in each block's list of holders.
	holders map[uint64]int32
	// engines are the views by engine index, engineByID the engine indexes by upstream ID, and freeEngines the engine
	// indexes of forgotten engines.
	engines     []cacheView
	engineByID  map[string]int32
	freeEngines []int32
	// lastVictim is the engine from which removeFromFullEngine last removed a block.
	lastVictim int32
}

// IndexOption configures an index in NewIndex.
type IndexOption func(*Index)

// WithTotalBlocks sets the bound of the blocks over all engines.
func WithTotalBlocks(n int) IndexOption {
	return func(x *Index) { x.maxBlocks = n }
}

// WithEngineBlocks sets the bound of the blocks of one engine.
func WithEngineBlocks(n int) IndexOption { return func(x *Index) { x.maxEngineBlocks = n } }

// NewIndex returns an empty index. Its memory grows with the entries.
func NewIndex(now time.Time, options ...IndexOption) *Index {
	x := &Index{
		startedAt: now, maxBlocks: DefaultTotalBlocks, maxEngineBlocks: DefaultEngineBlocks, entryOf: make(map[blockOnEngine]int32),
		holders: make(map[uint64]int32), engineByID: make(map[string]int32),
	}
	for _, o := range options {
		o(x)
	}
	return x
}

// millis returns the milliseconds since the creation of the index plus 1, since 0 stands for never.
func (x *Index) millis(now time.Time) int64 { return now.Sub(x.startedAt).Milliseconds() + 1 }

// Match is an engine that holds a prefix of a prompt.
type Match struct {
	// Engine is an upstream ID.
	Engine string
	// Blocks is the number of the prompt's first blocks that the engine holds, at least 1.
	Blocks int
}

// Match returns engines that hold the longest prefixes of a prompt, longest first, at most MaxMatches. To bound its
// cost it examines only about maxLengths prefix lengths, in equal steps down from the longest, so that Match.Blocks may
// be less than the engine holds.
func (x *Index) Match(now time.Time, blocks []uint64) []Match {
	x.mu.Lock()
	defer x.mu.Unlock()
	longest := x.longestPrefix(blocks)
	if longest == 0 {
		return nil
	}
	matches := make([]Match, 0, MaxMatches)
	nowMs := x.millis(now)
	step := max(longest/maxLengths, 1)
	for length := longest; length > 0 && len(matches) < MaxMatches; length -= step {
		matches = x.matchBlock(nowMs, blocks[length-1], length, matches)
	}
	return matches
}

// longestPrefix returns the length in blocks of the longest prefix of a prompt that some engine has entries for,
// reliable or not. It uses a binary search, since an engine that holds a block also holds the blocks before it, apart
// from evictions in progress.
func (x *Index) longestPrefix(blocks []uint64) int {
	return sort.Search(len(blocks), func(i int) bool {
		_, ok := x.holders[blocks[i]]
		return !ok
	})
}

// matchBlock appends the engines that hold a block to matches, unless matches already contains them. The block is the
// last one of the prefix of the given length.
func (x *Index) matchBlock(nowMs int64, block uint64, length int, matches []Match) []Match {
	e, ok := x.holders[block]
	if !ok {
		return matches
	}
	for range maxScan {
		if e == none || len(matches) == MaxMatches {
			break
		}
		v := &x.engines[x.entries[e].engine]
		if x.isReliable(&x.entries[e], v, nowMs) && !hasMatch(matches, v.id) {
			matches = append(matches, Match{Engine: v.id, Blocks: length})
		}
		e = x.entries[e].nextHolder
	}
	return matches
}

// isReliable reports whether an engine probably still holds the block of an entry. A confirmed block counts while no
// event of the engine is missing. A predicted block counts for predictionTTL, in which an event would confirm it,
// or without a limit while events are missing.
func (x *Index) isReliable(e *entry, v *cacheView, nowMs int64) bool {
	if e.confirmed && v.certain {
		return true
	}
	if e.predictedAt == 0 {
		return false
	}
	return !v.certain || nowMs-e.predictedAt < predictionTTL.Milliseconds()
}

func hasMatch(matches []Match, id string) bool {
	return slices.ContainsFunc(matches, func(m Match) bool { return m.Engine == id })
}

// Sent records that a prompt was sent to an engine, which will cache the prompt's blocks. These count as predicted, and
// are put in reverse order, so that the first blocks of the prompt count as the most recently used.
func (x *Index) Sent(now time.Time, engine string, blocks []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.engineIndex(engine)
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := x.put(blocks[i], n); e != none {
			x.entries[e].predictedAt = x.millis(now)
		}
	}
}

// put returns the entry of a block on an engine, which it creates if necessary and marks as most recently used. It
// returns none if the engine's limit is 0.
func (x *Index) put(block uint64, engine int32) int32 {
	key := blockOnEngine{block, engine}
	if e, ok := x.entryOf[key]; ok {
		x.unlinkBlock(e)
		x.linkBlock(e)
		return e
	}
	e := x.allocate(engine)
	if e == none {
		return none
	}
	x.entries[e] = entry{block: block, engine: engine}
	x.entryOf[key] = e
	x.linkHolder(e)
	x.linkBlock(e)
	x.engines[engine].blocks++
	return e
}

// allocate returns an unused entry for an engine, none if the engine's limit is 0. An engine at its limit loses its
// least recently used block; if all entries are in use, another engine at its limit loses one.
func (x *Index) allocate(engine int32) int32 {
	limit := min(x.maxEngineBlocks, x.maxBlocks/max(len(x.engineByID), 1))
	if limit == 0 {
		return none
	}
	if v := &x.engines[engine]; v.blocks >= limit {
		x.remove(v.oldest)
	} else if len(x.freeEntries) == 0 && len(x.entries) == x.maxBlocks {
		x.removeFromFullEngine(limit)
	}
	if n := len(x.freeEntries); n > 0 {
		e := x.freeEntries[n-1]
		x.freeEntries = x.freeEntries[:n-1]
		return e
	}
	x.entries = append(x.entries, entry{})
	return int32(len(x.entries) - 1)
}

// removeFromFullEngine removes the least recently used block of an engine with at least limit blocks, in turn over the
// engines. There is such an engine whenever all entries are in use.
func (x *Index) removeFromFullEngine(limit int) {
	for range x.engines {
		x.lastVictim = (x.lastVictim + 1) % int32(len(x.engines))
		if v := &x.engines[x.lastVictim]; v.blocks >= limit {
			x.remove(v.oldest)
			return
		}
	}
}

// remove unlinks and frees an entry.
func (x *Index) remove(e int32) {
	ent := x.entries[e]
	x.unlinkHolder(e)
	x.unlinkBlock(e)
	x.engines[ent.engine].blocks--
	delete(x.entryOf, blockOnEngine{ent.block, ent.engine})
	x.freeEntries = append(x.freeEntries, e)
}
