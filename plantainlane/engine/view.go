package engine

import (
	"math/rand/v2"
	"time"

	"plantainlane/wire"
)

// Kinds of cache events.
const (
	kindStored  = "stored"
	kindEvicted = "evicted"
	kindCleared = "cleared"
)

const (
	// minResyncBackoff is the first wait after a read of an engine's blocks; it doubles up to maxResyncBackoff until a
	// read makes the view certain.
	minResyncBackoff = time.Second
	maxResyncBackoff = 30 * time.Second
	// maxEventDelay is how long an announced sequence may be ahead of the events received before events count as
	// missing.
	maxEventDelay = 5 * time.Second
	// maxRecent bounds the event messages kept for an uncertain view.
	maxRecent = 64
)

// cacheView is the known state of one engine's prefix cache.
type cacheView struct {
	id          string
	incarnation int
	// next is the sequence of the next event expected; 0 until the engine has announced itself or published events.
	next int
	// certain is set if no event is missing since the start of the incarnation or the last resync.
	certain bool
	// blocks is the number of the engine's entries; newest and oldest are the indexes of the most and the least recently
	// used entry.
	blocks         int
	newest, oldest int32
	// announced is the highest announced sequence. behindSince is since when the events received have been behind it;
	// zero while they aren't.
	announced   int
	behindSince time.Time
	// resyncAt is the earliest time of the next read of the blocks, resyncBackoff the wait before it without jitter.
	resyncAt      time.Time
	resyncBackoff time.Duration
	// recent holds the last events received while the view is uncertain; Resync applies them after the list of blocks.
	recent []wire.CacheEvents
}

// engineIndex returns the index of an engine in x.engines and adds the engine if it is unknown.
func (x *Index) engineIndex(id string) int32 {
	if n, ok := x.engineByID[id]; ok {
		return n
	}
	v := cacheView{id: id, newest: none, oldest: none}
	var n int32
	if k := len(x.freeEngines); k > 0 {
		n = x.freeEngines[k-1]
		x.freeEngines = x.freeEngines[:k-1]
		x.engines[n] = v
	} else {
		n = int32(len(x.engines))
		x.engines = append(x.engines, v)
	}
	x.engineByID[id] = n
	return n
}

// Forget removes an engine that has left, with all its entries.
func (x *Index) Forget(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n, ok := x.engineByID[id]
	if !ok {
		return
	}
	x.clear(n)
	delete(x.engineByID, id)
	x.engines[n] = cacheView{certain: true, newest: none, oldest: none}
	x.freeEngines = append(x.freeEngines, n)
}

// clear removes all entries of an engine.
func (x *Index) clear(n int32) {
	for x.engines[n].newest != none {
		x.remove(x.engines[n].newest)
	}
}

// Announced handles an engine's announcement. A new incarnation starts with an empty cache. If the announced event
// sequence stays ahead of the events received for maxEventDelay, events are missing and the view becomes
// uncertain; the missing events are then no longer expected.
func (x *Index) Announced(now time.Time, a *wire.Announcement) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.engineIndex(a.ID)
	if !x.acceptIncarnation(n, a.Incarnation) {
		return
	}
	v := &x.engines[n]
	v.announced = max(v.announced, a.CacheSequence)
	if v.announced < v.next || v.announced == 0 {
		v.behindSince = time.Time{}
		return
	}
	if v.behindSince.IsZero() {
		v.behindSince = now
	}
	if now.Sub(v.behindSince) >= maxEventDelay {
		v.certain = false
		v.next = v.announced + 1
	}
}

// acceptIncarnation reports whether an incarnation isn't older than the known one. With a newer incarnation the view of
// the engine starts again with an empty cache. Blocks that were sent before any incarnation was known stay.
func (x *Index) acceptIncarnation(n int32, incarnation int) bool {
	v := &x.engines[n]
	if incarnation > v.incarnation {
		first := v.incarnation == 0
		if !first {
			x.clear(n)
		}
		*v = cacheView{
			id: v.id, incarnation: incarnation, next: 1, certain: true,
			blocks: v.blocks, newest: v.newest, oldest: v.oldest,
		}
	}
	return incarnation == v.incarnation
}

// Apply handles cache events of an engine. If events before these are missing, the view of the engine is uncertain
// until Resync; the received events are applied nevertheless. Events that were already received are skipped.
func (x *Index) Apply(m *wire.CacheEvents) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.engineIndex(m.Upstream)
	if !x.acceptIncarnation(n, m.Incarnation) {
		return
	}
	x.applyEvents(n, m)
	v := &x.engines[n]
	if v.announced < v.next {
		v.behindSince = time.Time{}
	}
	if !v.certain {
		v.recent = append(v.recent, *m)
		v.recent = v.recent[max(len(v.recent)-maxRecent, 0):]
	}
}

// Next returns the sequence of the next event expected from an engine: 1 for an unknown engine, and 0 for an engine to
// which prompts were sent before it announced itself or published events.
func (x *Index) Next(id string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if n, ok := x.engineByID[id]; ok {
		return x.engines[n].next
	}
	return 1
}

// applyEvents applies the events that haven't been applied yet. If events before these are missing, the view becomes
// uncertain.
func (x *Index) applyEvents(n int32, m *wire.CacheEvents) {
	v := &x.engines[n]
	if m.FirstSequence > v.next && v.certain {
		v.certain = false
	}
	for i := max(v.next-m.FirstSequence, 0); i < len(m.Events); i++ {
		x.applyEvent(n, &m.Events[i])
	}
	v.next = max(v.next, m.FirstSequence+len(m.Events))
}

func (x *Index) applyEvent(n int32, ev *wire.CacheEvent) {
	switch ev.Kind {
	case kindStored:
		for _, b := range ev.Blocks {
			if e := x.put(uint64(b), n); e != none {
				x.entries[e].confirmed = true
			}
		}
	case kindEvicted:
		for _, b := range ev.Blocks {
			x.unconfirm(blockOnEngine{uint64(b), n})
		}
	case kindCleared:
		x.clear(n)
	}
}

// unconfirm marks a block as no longer confirmed, and removes it if it was never sent. A block that was sent stays
// predicted, since the engine may have stored it again after the event.
func (x *Index) unconfirm(key blockOnEngine) {
	e, ok := x.entryOf[key]
	if !ok {
		return
	}
	x.entries[e].confirmed = false
	if x.entries[e].predictedAt == 0 {
		x.remove(e)
	}
}

// Resync replaces the confirmed blocks of an engine by the list of its blocks, and applies the recent events again that
// are newer than the list. If an event between the list and these events is missing, the view stays uncertain.
func (x *Index) Resync(m *wire.CacheBlocks) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.engineIndex(m.Upstream)
	if !x.acceptIncarnation(n, m.Incarnation) {
		return
	}
	v := &x.engines[n]
	for e := v.newest; e != none; {
		next := x.entries[e].nextBlock
		x.unconfirm(blockOnEngine{x.entries[e].block, n})
		e = next
	}
	for _, b := range m.Blocks {
		if e := x.put(uint64(b), n); e != none {
			x.entries[e].confirmed = true
		}
	}
	v.next, v.certain, v.behindSince = m.Sequence+1, true, time.Time{}
	recent := v.recent
	v.recent = nil
	for i := range recent {
		x.applyEvents(n, &recent[i])
	}
	if v.certain {
		v.resyncBackoff = 0
		return
	}
	v.recent = recent
}

// NeedResync returns engines with an uncertain view whose blocks are to be read now, at most limit. It doesn't return
// an engine again before a backoff with jitter has passed, which doubles until a Resync makes the view certain.
func (x *Index) NeedResync(now time.Time, limit int, random *rand.Rand) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var ids []string
	for i := range x.engines {
		v := &x.engines[i]
		if len(ids) == limit {
			break
		}
		if v.certain || v.incarnation == 0 || now.Before(v.resyncAt) {
			continue
		}
		v.resyncBackoff = min(max(2*v.resyncBackoff, minResyncBackoff), maxResyncBackoff)
		v.resyncAt = now.Add(v.resyncBackoff/2 + time.Duration(random.Int64N(int64(v.resyncBackoff))))
		ids = append(ids, v.id)
	}
	return ids
}

// Stats holds the counts of an index.
type Stats struct {
	// Engines is the number of engines.
	Engines int `json:"engines"`
	// Uncertain is the number of engines that have a missing event, or that have neither announced themselves nor
	// published events.
	Uncertain int `json:"uncertain"`
	// Blocks is the number of blocks over all engines. A block on several engines counts for each.
	Blocks int `json:"blocks"`
}

// Stats counts engines and blocks.
func (x *Index) Stats() Stats {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := Stats{Engines: len(x.engineByID), Blocks: len(x.entryOf)}
	for _, n := range x.engineByID {
		if !x.engines[n].certain {
			s.Uncertain++
		}
	}
	return s
}

// Empty reports whether no engine is known.
func (x *Index) Empty() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.engineByID) == 0
}
