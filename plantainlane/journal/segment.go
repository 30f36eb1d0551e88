package journal

import (
	"github.com/cockroachdb/errors"

	"plantainlane/wire"
)

// segment describes a stored segment.
type segment struct {
	number int
	// lastIndex is the highest index of any entry in the segment, replaced ones included.
	lastIndex int
	// lastBefore is the newest index of the log when the segment was started.
	lastBefore int
}

// trackRecord updates lastIndex and lastBefore for a record of the segment.
func (s *segment) trackRecord(r record) {
	s.lastBefore = max(s.lastBefore, r.Before)
	for _, e := range r.Entries {
		s.lastIndex = max(s.lastIndex, e.Index)
	}
}

// startSegment opens a new segment in place of the current one. The new one starts with the hard state, so that older segments
// can be removed. With reset, its first record discards all previous entries.
func (j *Journal) startSegment(reset bool) error {
	hardState := j.hardState
	return j.createSegment(group{Records: []record{{Hard: &hardState, Before: j.lastIndex, Reset: reset}}})
}

// continueAfterFailure opens a new segment that starts with a group. The end of the segment before may hold this group, a part of
// it, or nothing: in each case the state after the new segment is that after the group.
func (j *Journal) continueAfterFailure(g group, batches []Batch) error {
	hardState := j.hardState
	for _, b := range batches {
		if b.HardState != nil {
			hardState = *b.HardState
		}
	}
	records := []record{{Hard: &hardState, Before: j.lastIndex, AfterFailure: true}}
	for _, r := range g.Records {
		r.Hard = nil // the first record has the newest one
		records = append(records, r)
	}
	return j.createSegment(group{Records: records})
}

// createSegment makes a new segment durable that starts with a group, and closes the current one. After a crash the segment is
// there as a whole or not at all.
func (j *Journal) createSegment(first group) error {
	next := segment{number: 1}
	if len(j.segments) > 0 {
		next.number = j.segments[len(j.segments)-1].number + 1
	}
	payload, err := encodeGroup(first)
	if err != nil {
		return err
	}
	s := newSalt()
	content := appendFrame(newHeader(s), s, payload)
	f, err := j.createAtomically(segmentName(next.number), content)
	if err != nil {
		return err
	}
	j.abandonFile()
	for _, r := range first.Records {
		next.trackRecord(r)
	}
	j.segments = append(j.segments, next)
	j.file, j.salt, j.segmentSize = f, s, len(content)
	return nil
}

// encodeGroup returns the payload of a group's frame.
func encodeGroup(g group) ([]byte, error) {
	payload, err := wire.Encode(g)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxPayloadBytes {
		return nil, errors.Newf("frame payload of %d bytes, maximum %d", len(payload), maxPayloadBytes)
	}
	return payload, nil
}

// appendGroup makes a group durable as one frame of the current segment. An empty group is skipped.
func (j *Journal) appendGroup(g group) error {
	if len(g.Records) == 0 {
		return nil
	}
	payload, err := encodeGroup(g)
	if err != nil {
		return err
	}
	if err := j.writeFrame(payload); err != nil {
		return err
	}
	for _, r := range g.Records {
		j.segments[len(j.segments)-1].trackRecord(r)
	}
	return nil
}

// writeFrame appends a frame to the current segment and syncs it.
func (j *Journal) writeFrame(payload []byte) error {
	frame := appendFrame(nil, j.salt, payload)
	if _, err := j.file.Write(frame); err != nil {
		return err
	}
	j.segmentSize += len(frame)
	return j.file.Sync()
}

// removeCovered deletes the snapshots before index and the oldest segments whose entries are all covered by the
// snapshot at index. The current segment is replaced first if it has entries and is at least half full, so that it can
// be deleted too. The removal of a segment is made durable before the next removal, so that a crash leaves no gap
// between segments.
func (j *Journal) removeCovered(index int) error {
	if j.segments[len(j.segments)-1].lastIndex > 0 && j.segmentSize >= j.segmentBytes/2 {
		if err := j.startSegment(false); err != nil {
			return err
		}
	}
	for len(j.segments) > 1 && j.segments[0].lastIndex <= index {
		if err := j.fs.Remove(segmentName(j.segments[0].number)); err != nil {
			return err
		}
		if err := j.fs.SyncFolder(); err != nil {
			return err
		}
		j.segments = j.segments[1:]
	}
	names, err := j.fs.List()
	if err != nil {
		return err
	}
	for _, old := range fileNumbers(names, snapshotPrefix) {
		if old < index {
			if err := j.fs.Remove(snapshotName(old)); err != nil {
				return err
			}
		}
	}
	return nil
}
