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

// entryLog holds the entries of the log that are in memory, which are all that aren't compacted.
type entryLog struct {
	// base and baseTerm are the index and term of the position before the first entry in entries.
	base, baseTerm int
	entries        []wire.LogEntry
}

// newEntryLog returns the log after a snapshot. Entries that the snapshot covers are skipped. It returns
// ErrCorrupt unless the indexes are consecutive and the terms don't decrease.
func newEntryLog(snap wire.Snapshot, entries []wire.LogEntry) (entryLog, error) {
	l := entryLog{base: snap.Index, baseTerm: snap.Term}
	term := snap.Term
	for _, e := range entries {
		if e.Index <= snap.Index {
			continue
		}
		if e.Index != l.last()+1 || e.Term < term {
			return l, errors.Wrapf(ErrCorrupt, "entry %d of term %d follows entry %d of term %d",
				e.Index, e.Term, l.last(), term)
		}
		term = e.Term
		l.entries = append(l.entries, e)
	}
	return l, nil
}

// last returns the index of the newest entry, or base if there are no entries.
func (l *entryLog) last() int { return l.base + len(l.entries) }

// lastTerm returns the term of the newest entry, or the term at base if there are no entries.
func (l *entryLog) lastTerm() int {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, and false if the entry doesn't exist or is compacted. The term
// at base is known.
func (l *entryLog) term(index int) (int, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// slice returns the entries from after+1 to to, inclusive. The caller must not change them.
func (l *entryLog) slice(after, to int) []wire.LogEntry {
	if to <= after {
		return nil
	}
	return l.entries[after-l.base : to-l.base : to-l.base]
}

// limitedSlice returns the entries that follow index after, with a total encoded size of at most maxBytes, but
// at least one entry if there is any.
func (l *entryLog) limitedSlice(after, maxBytes int) []wire.LogEntry {
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

// beforeNewest returns the index before the newest entries up to index that are at most count and have at most maxBytes encoded.
func (l *entryLog) beforeNewest(index, count, maxBytes int) int {
	first := max(index-count, l.base)
	size := 0
	for before := index; before > first; before-- {
		size += entryOverhead + len(l.entries[before-l.base-1].Data)
		if size > maxBytes {
			return before
		}
	}
	return first
}

func (l *entryLog) append(es ...wire.LogEntry) { l.entries = append(l.entries, es...) }

// truncate drops the entries after index. Later appends don't overwrite the dropped entries, since slices
// returned earlier may still refer to them.
func (l *entryLog) truncate(index int) {
	keep := index - l.base
	l.entries = l.entries[:keep:keep]
}

// compact drops the entries up to and including index, which becomes the base.
func (l *entryLog) compact(index int) {
	term, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	l.entries = append([]wire.LogEntry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

// reset drops all entries and makes the position of the snapshot the base.
func (l *entryLog) reset(snap wire.Snapshot) {
	*l = entryLog{base: snap.Index, baseTerm: snap.Term}
}

// conflictHint returns the index before the consecutive entries up to index that have the same term as the entry
// at index, so that a leader skips a whole term at a time when it searches for the last matching entry. It
// returns index if the log has no entry there.
func (l *entryLog) conflictHint(index int) int {
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
