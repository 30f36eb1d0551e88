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

// formatVersion is the version of the format of the folder's files.
const formatVersion = 1

const (
	identityName   = "replica"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	// temporaryName is the name of a file that is written before it is renamed.
	temporaryName = "temporary"
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

// record is the stored form of one batch without its snapshot, or the first record of a segment.
type record struct {
	// Hard is the hard state. It is set if it changed, and in the first record of a segment.
	Hard *consensus.HardState `cbor:"hard,omitempty"`
	// Before is the newest index of the log when the segment was started; set in its first record.
	Before int `cbor:"before,omitempty"`
	// AfterFailure is set in the first record of a segment if the end of the segment before may be an incomplete write.
	AfterFailure bool `cbor:"afterFailure,omitempty"`
	// Reset is set if a snapshot replaced all previous entries.
	Reset bool `cbor:"reset,omitempty"`
	// Entries replace all previous entries from the index of the first one on.
	Entries []wire.LogEntry `cbor:"entries,omitempty"`
}

// Stored is the content of a data folder.
type Stored struct {
	// Replica is the replica ID. A folder that was wiped gets a new one, unless WithReplica sets it.
	Replica string
	// Start is the state from which the replica continues.
	Start consensus.Start
}

func segmentName(number int) string { return fmt.Sprintf("%s%016d", segmentPrefix, number) }

func snapshotName(index int) string { return fmt.Sprintf("%s%016d", snapshotPrefix, index) }

// fileNumbers returns the numbers of the files with a prefix, ascending. It skips names without a number.
func fileNumbers(names []string, prefix string) []int {
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

// apply adds a record to s, the state after the previous records. It returns ErrDamaged if the term decreases or if an
// entry is missing before one of the record's entries.
func (r *record) apply(s *consensus.Start) error {
	if r.Hard != nil {
		if r.Hard.Term < s.HardState.Term {
			return errors.Wrapf(ErrDamaged, "term %d follows term %d", r.Hard.Term, s.HardState.Term)
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

// appendEntry appends an entry to s, without the entries of s that have the same or a higher index. It returns
// ErrDamaged if the entries of s end more than one index before the entry.
func appendEntry(s *consensus.Start, entry wire.LogEntry) error {
	if len(s.Entries) > 0 {
		first, last := s.Entries[0].Index, s.Entries[len(s.Entries)-1].Index
		if entry.Index > last+1 {
			return errors.Wrapf(ErrDamaged, "entry %d follows entry %d", entry.Index, last)
		}
		s.Entries = s.Entries[:max(0, entry.Index-first)]
	}
	s.Entries = append(s.Entries, entry)
	return nil
}

// reconcileSnapshot drops the entries that the snapshot covers, or all entries if they contradict the snapshot or end
// before it. It reports whether it dropped all entries, as after a crash between storing a snapshot from the leader and
// resetting the log. It returns ErrDamaged if entries between the snapshot and the first entry are missing.
func reconcileSnapshot(s *consensus.Start) (reset bool, err error) {
	if len(s.Entries) == 0 {
		return false, nil
	}
	snapshot, first := s.Snapshot, s.Entries[0].Index
	if first > snapshot.Index+1 {
		return false, errors.Wrapf(ErrDamaged, "entries %d to %d are missing", snapshot.Index+1, first-1)
	}
	position := snapshot.Index - first
	switch {
	case position >= len(s.Entries), position >= 0 && s.Entries[position].Term != snapshot.Term:
		s.Entries = nil
		return true, nil
	case position >= 0:
		s.Entries = s.Entries[position+1:]
	}
	return false, nil
}
