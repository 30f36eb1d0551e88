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

// blockCache keeps the most recently used prompt blocks.
type blockCache struct {
	limit int
	used  *list.List // of uint64, most recent first
	at    map[uint64]*list.Element
}

func newBlockCache(limit int) *blockCache {
	return &blockCache{limit: limit, used: list.New(), at: make(map[uint64]*list.Element)}
}

// prefix returns how many leading blocks are cached.
func (c *blockCache) prefix(blocks []uint64) int {
	for i, b := range blocks {
		if c.at[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// put caches blocks and returns what changed. Later blocks of a prompt go before earlier ones when memory is
// short, since they are of no use without them.
func (c *blockCache) put(blocks []uint64) []wire.CacheEvent {
	var added, dropped []int
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.at[blocks[i]]; e != nil {
			c.used.MoveToFront(e)
			continue
		}
		c.at[blocks[i]] = c.used.PushFront(blocks[i])
		added = append(added, int(blocks[i]))
	}
	for c.used.Len() > c.limit {
		b := c.used.Remove(c.used.Back()).(uint64)
		delete(c.at, b)
		dropped = append(dropped, int(b))
	}
	var events []wire.CacheEvent
	if len(added) > 0 {
		events = append(events, wire.CacheEvent{Kind: stored, Blocks: added})
	}
	if len(dropped) > 0 {
		events = append(events, wire.CacheEvent{Kind: evicted, Blocks: dropped})
	}
	return events
}

func (c *blockCache) blocks() []int {
	all := make([]int, 0, c.used.Len())
	for e := c.used.Front(); e != nil; e = e.Next() {
		all = append(all, int(e.Value.(uint64)))
	}
	return all
}
