package consensus

import (
	"plantainlane/wire"

	"github.com/cockroachdb/errors"
)

// Kinds of wire.LogEntry.
const (
	KindCommand    = 0
	KindNoop       = 1
	KindMembership = 2
)

// entryOverhead is the encoded size of an entry without its data, in bytes.
const entryOverhead = 48

// entryLog is the part of the log that is in memory.
type entryLog struct {
	// base is the position before the first entry.
	base, baseTerm int
	entries        []wire.LogEntry
}

func newEntryLog(snap wire.Snapshot, entries []wire.LogEntry) (entryLog, error) {
	l := entryLog{base: snap.Index, baseTerm: snap.Term}
	term := snap.Term
	for _, e := range entries {
		if e.Index <= snap.Index {
			continue
		}
		if e.Index != l.last()+1 || e.Term < term {
			return l, errors.Wrapf(ErrCorrupt, "entry %d of term %d after %d of term %d", e.Index, e.Term, l.last(), term)
		}
		term = e.Term
		l.entries = append(l.entries, e)
	}
	return l, nil
}

func (l *entryLog) last() int { return l.base + len(l.entries) }

func (l *entryLog) lastTerm() int {
	t, _ := l.term(l.last())
	return t
}

// term returns the term at index, and false if the log doesn't reach there or was compacted beyond it.
func (l *entryLog) term(index int) (int, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// slice returns the entries after index up to and including to. The caller must not change them.
func (l *entryLog) slice(after, to int) []wire.LogEntry {
	if to <= after {
		return nil
	}
	return l.entries[after-l.base : to-l.base : to-l.base]
}

// batch returns entries after index of at most maxBytes, but at least one if there is any.
func (l *entryLog) batch(after, maxBytes int) []wire.LogEntry {
	size, to := 0, after
	for to < l.last() {
		size += entryOverhead + len(l.entries[to-l.base].Data)
		if size > maxBytes && to > after {
			break
		}
		to++
	}
	return l.slice(after, to)
}

func (l *entryLog) append(es ...wire.LogEntry) { l.entries = append(l.entries, es...) }

// truncate drops everything after index. The dropped entries stay intact for whoever still holds a slice.
func (l *entryLog) truncate(index int) {
	keep := index - l.base
	l.entries = l.entries[:keep:keep]
}

// compact drops the entries up to index.
func (l *entryLog) compact(index int) {
	term, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	l.entries = append([]wire.LogEntry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

// reset drops everything and starts after a snapshot.
func (l *entryLog) reset(snap wire.Snapshot) {
	*l = entryLog{base: snap.Index, baseTerm: snap.Term}
}

// conflict returns the index before the run of entries that share the term at index.
func (l *entryLog) conflict(index int) int {
	term, ok := l.term(index)
	for ok && index > l.base {
		t, known := l.term(index)
		if !known || t != term {
			break
		}
		index--
	}
	return index
}
