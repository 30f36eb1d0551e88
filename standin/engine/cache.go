package engine

import (
	"container/list"

	"plantainlane/wire"
)

// Kinds of cache events.
const (
	stored  = "stored"
	evicted = "evicted"
)

// blockCache is a prefix cache. It holds the most recently used prompt blocks.
type blockCache struct {
	limit    int        // Maximum number of blocks.
	recency  *list.List // Block hashes (uint64), most recently used first.
	elements map[uint64]*list.Element
}

func newBlockCache(limit int) *blockCache {
	return &blockCache{limit: limit, recency: list.New(), elements: make(map[uint64]*list.Element)}
}

// cachedPrefix returns the number of leading blocks that are cached.
func (c *blockCache) cachedPrefix(blocks []uint64) int {
	for i, b := range blocks {
		if c.elements[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// put adds the blocks of a prompt to the cache and returns the events for added and evicted blocks. It evicts the later
// blocks of a prompt before the earlier ones, because a block is of no use without the blocks before it.
func (c *blockCache) put(blocks []uint64) []wire.CacheEvent {
	var added, removed []int
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.elements[blocks[i]]; e != nil {
			c.recency.MoveToFront(e)
			continue
		}
		c.elements[blocks[i]] = c.recency.PushFront(blocks[i])
		added = append(added, int(blocks[i]))
	}
	for c.recency.Len() > c.limit {
		b := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.elements, b)
		removed = append(removed, int(b))
	}
	var events []wire.CacheEvent
	if len(added) > 0 {
		events = append(events, wire.CacheEvent{Kind: stored, Blocks: added})
	}
	if len(removed) > 0 {
		events = append(events, wire.CacheEvent{Kind: evicted, Blocks: removed})
	}
	return events
}

// blocks returns the hashes of the cached blocks, most recently used first.
func (c *blockCache) blocks() []int {
	all := make([]int, 0, c.recency.Len())
	for e := c.recency.Front(); e != nil; e = e.Next() {
		all = append(all, int(e.Value.(uint64)))
	}
	return all
}
