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

// startSegment closes the current segment and opens a new one. The new one starts with the hard state, so that older
// segments can be removed. With reset, its first record discards all previous entries.
func (j *Journal) startSegment(reset bool) error {
	if j.file != nil {
		if err := j.file.Close(); err != nil {
			return err
		}
		j.file = nil
	}
	number := 1
	if len(j.segments) > 0 {
		number = j.segments[len(j.segments)-1].number + 1
	}
	f, err := j.fs.Create(segmentName(number))
	if err != nil {
		return err
	}
	j.file, j.salt = f, newSalt()
	hardState := j.hardState
	first := record{Hard: &hardState, Before: j.lastIndex, Reset: reset}
	j.segments = append(j.segments, segment{number: number, lastBefore: j.lastIndex})
	payload, err := wire.Encode(group{Records: []record{first}})
	if err != nil {
		return err
	}
	j.segmentSize = headerSize
	if _, err := f.Write(newHeader(j.salt)); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := j.fs.SyncFolder(); err != nil {
		return err
	}
	return j.writeFrame(payload)
}

// writeGroup makes a group durable as one frame. An empty group is skipped.
func (j *Journal) writeGroup(g group) error {
	if len(g.Records) == 0 {
		return nil
	}
	payload, err := wire.Encode(g)
	if err != nil {
		return err
	}
	if len(payload) > maxPayloadBytes {
		return errors.Newf("frame payload of %d bytes, maximum %d", len(payload), maxPayloadBytes)
	}
	for _, r := range g.Records {
		j.segments[len(j.segments)-1].trackRecord(r)
	}
	return j.writeFrame(payload)
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
