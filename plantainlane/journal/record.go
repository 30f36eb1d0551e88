package journal

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/consensus"
	"plantainlane/wire"
)

// format is the version of the folder's files.
const format = 1

const (
	identityName   = "replica"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	temporaryName  = "temporary"
)

// identity is the content of the identity file.
type identity struct {
	Format  int    `cbor:"format"`
	Replica string `cbor:"replica"`
}

// group is the payload of a segment's frame: the records of the batches written together.
type group struct {
	Records []record `cbor:"records"`
}

// record is one batch on disk.
type record struct {
	// Hard is set if it changed, and in the first record of a segment.
	Hard *consensus.HardState `cbor:"hard,omitempty"`
	// Before is the newest index of the log when the segment began; set in its first record.
	Before int `cbor:"before,omitempty"`
	// Reset tells that the log before was replaced by a snapshot.
	Reset bool `cbor:"reset,omitempty"`
	// Entries replace whatever was stored at their indexes and after.
	Entries []wire.LogEntry `cbor:"entries,omitempty"`
}

// Stored is what a folder holds.
type Stored struct {
	// Replica is the replica ID; every folder that was created or wiped has a new one.
	Replica string
	// Start is the state to go on from.
	Start consensus.Start
}

func segmentName(number int) string { return fmt.Sprintf("%s%016d", segmentPrefix, number) }

func snapshotName(index int) string { return fmt.Sprintf("%s%016d", snapshotPrefix, index) }

// numbered returns the numbers of the files with a prefix, ascending.
func numbered(names []string, prefix string) []int {
	var numbers []int
	for _, name := range names {
		if digits, ok := strings.CutPrefix(name, prefix); ok {
			if n, err := strconv.Atoi(digits); err == nil {
				numbers = append(numbers, n)
			}
		}
	}
	slices.Sort(numbers)
	return numbers
}

// apply adds a record to the start that the records before it gave.
func (r *record) apply(s *consensus.Start) error {
	if r.Hard != nil {
		if r.Hard.Term < s.HardState.Term {
			return errors.Wrapf(ErrDamaged, "term %d after %d", r.Hard.Term, s.HardState.Term)
		}
		s.HardState = *r.Hard
	}
	if r.Reset {
		s.Entries = nil
	}
	for _, e := range r.Entries {
		if err := appendEntry(s, e); err != nil {
			return err
		}
	}
	return nil
}

func appendEntry(s *consensus.Start, e wire.LogEntry) error {
	if len(s.Entries) > 0 {
		first, last := s.Entries[0].Index, s.Entries[len(s.Entries)-1].Index
		if e.Index > last+1 {
			return errors.Wrapf(ErrDamaged, "entry %d after %d", e.Index, last)
		}
		s.Entries = s.Entries[:max(0, e.Index-first)]
	}
	s.Entries = append(s.Entries, e)
	return nil
}

// join drops the entries that the snapshot covers, or all of them if they contradict it or end before it.
// It tells whether they did, which a crash between storing a snapshot and resetting the log leaves behind.
func join(s *consensus.Start) (reset bool, err error) {
	if len(s.Entries) == 0 {
		return false, nil
	}
	snap, first := s.Snapshot, s.Entries[0].Index
	if first > snap.Index+1 {
		return false, errors.Wrapf(ErrDamaged, "entries %d to %d are missing", snap.Index+1, first-1)
	}
	at := snap.Index - first
	switch {
	case at >= len(s.Entries), at >= 0 && s.Entries[at].Term != snap.Term:
		s.Entries = nil
		return true, nil
	case at >= 0:
		s.Entries = s.Entries[at+1:]
	}
	return false, nil
}
