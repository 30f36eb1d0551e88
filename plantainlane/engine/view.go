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
	// resyncBackoff is the first wait between two reads of an engine's blocks; it doubles up to resyncMost.
	resyncBackoff = time.Second
	resyncMost    = 30 * time.Second
	// eventLateness is how long an announced sequence may be ahead of the events before they count as missing.
	eventLateness = 5 * time.Second
	// maxRecent bounds the events kept of an uncertain view.
	maxRecent = 64
)

// view is what is known of one engine's prefix cache.
type view struct {
	id          string
	incarnation int
	// next is the sequence expected next; 0 until anything was heard of the engine's cache.
	next int
	// certain says that no event since the last resync is missing.
	certain        bool
	blocks         int
	newest, oldest int32
	// announced is the highest announced sequence, ahead since behindSince.
	announced   int
	behindSince time.Time
	// resyncAt is when the blocks may be read next.
	resyncAt time.Time
	wait     time.Duration
	// recent holds the events since the view became uncertain, for Resync.
	recent []wire.CacheEvents
}

func (x *Index) engine(id string) int32 {
	if n, ok := x.ids[id]; ok {
		return n
	}
	v := view{id: id, newest: none, oldest: none}
	var n int32
	if k := len(x.vacant); k > 0 {
		n = x.vacant[k-1]
		x.vacant = x.vacant[:k-1]
		x.engines[n] = v
	} else {
		n = int32(len(x.engines))
		x.engines = append(x.engines, v)
	}
	x.ids[id] = n
	return n
}

// Forget drops what is known of an engine that has left.
func (x *Index) Forget(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n, ok := x.ids[id]
	if !ok {
		return
	}
	x.clear(n)
	delete(x.ids, id)
	x.engines[n] = view{certain: true, newest: none, oldest: none}
	x.vacant = append(x.vacant, n)
}

func (x *Index) clear(n int32) {
	for x.engines[n].newest != none {
		x.drop(x.engines[n].newest)
	}
}

// Announced notes an engine's announcement: a new incarnation has an empty cache, and a sequence that stays
// ahead of the events means that some are missing.
func (x *Index) Announced(now time.Time, a *wire.Announcement) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.engine(a.ID)
	if !x.current(n, a.Incarnation) {
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
	if now.Sub(v.behindSince) >= eventLateness {
		v.certain = false
		v.next = v.announced + 1
	}
}

// current reports whether an incarnation is not older than the known one, and starts a newer one empty.
func (x *Index) current(n int32, incarnation int) bool {
	v := &x.engines[n]
	if incarnation > v.incarnation {
		first := v.incarnation == 0
		if !first {
			x.clear(n)
		}
		*v = view{
			id: v.id, incarnation: incarnation, next: 1, certain: true,
			blocks: v.blocks, newest: v.newest, oldest: v.oldest,
		}
	}
	return incarnation == v.incarnation
}

// Apply takes cache events. A gap before them makes the view of the engine uncertain until Resync; what the
// events say is noted all the same, and events already seen are skipped.
func (x *Index) Apply(m *wire.CacheEvents) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.engine(m.Upstream)
	if !x.current(n, m.Incarnation) {
		return
	}
	x.apply(n, m)
	v := &x.engines[n]
	if v.announced < v.next {
		v.behindSince = time.Time{}
	}
	if !v.certain {
		v.recent = append(v.recent, *m)
		v.recent = v.recent[max(len(v.recent)-maxRecent, 0):]
	}
}

// Next returns the sequence expected next of an engine's events.
func (x *Index) Next(id string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if n, ok := x.ids[id]; ok {
		return x.engines[n].next
	}
	return 1
}

func (x *Index) apply(n int32, m *wire.CacheEvents) {
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
				x.entries[e].known = true
			}
		}
	case kindEvicted:
		for _, b := range ev.Blocks {
			x.evict(pair{uint64(b), n})
		}
	case kindCleared:
		x.clear(n)
	}
}

// evict forgets a block. One that was sent a short while ago may have been stored again since the event, and
// stays a guess.
func (x *Index) evict(key pair) {
	e, ok := x.at[key]
	if !ok {
		return
	}
	x.entries[e].known = false
	if x.entries[e].guessed == 0 {
		x.drop(e)
	}
}

// Resync replaces what events said of an engine by the list of its blocks, and then takes the events after it
// once more. If some of these are missing too, the view stays uncertain.
func (x *Index) Resync(m *wire.CacheBlocks) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.engine(m.Upstream)
	if !x.current(n, m.Incarnation) {
		return
	}
	v := &x.engines[n]
	for e := v.newest; e != none; {
		next := x.entries[e].nextBlock
		x.evict(pair{x.entries[e].block, n})
		e = next
	}
	for _, b := range m.Blocks {
		if e := x.put(uint64(b), n); e != none {
			x.entries[e].known = true
		}
	}
	v.next, v.certain, v.behindSince = m.Sequence+1, true, time.Time{}
	recent := v.recent
	v.recent = nil
	for i := range recent {
		x.apply(n, &recent[i])
	}
	if v.certain {
		v.wait = 0
		return
	}
	v.recent = recent
}

// NeedResync returns engines whose blocks are to be read now, at most limit. Each read is followed by a wait
// with jitter, which doubles until Resync succeeds.
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
		v.wait = min(max(2*v.wait, resyncBackoff), resyncMost)
		v.resyncAt = now.Add(v.wait/2 + time.Duration(random.Int64N(int64(v.wait))))
		ids = append(ids, v.id)
	}
	return ids
}

// Stats describes an index.
type Stats struct {
	// Engines known.
	Engines int `json:"engines"`
	// Uncertain engines are those whose events have a gap since the last resync.
	Uncertain int `json:"uncertain"`
	// Blocks known over all engines.
	Blocks int `json:"blocks"`
}

// Stats counts engines and blocks.
func (x *Index) Stats() Stats {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := Stats{Engines: len(x.ids), Blocks: len(x.at)}
	for _, n := range x.ids {
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
	return len(x.ids) == 0
}
