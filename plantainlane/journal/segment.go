package journal

import (
	"github.com/cockroachdb/errors"

	"plantainlane/wire"
)

// segment is what the writer keeps of a segment.
type segment struct {
	number int
	// last is the highest index that any record in it holds.
	last int
	// before is the newest index of the log when it began.
	before int
}

func (s *segment) note(r record) {
	s.before = max(s.before, r.Before)
	for _, e := range r.Entries {
		s.last = max(s.last, e.Index)
	}
}

// beginSegment opens a new segment, which starts with the hard state so that older ones can be removed.
// With reset, the log before it counts no more.
func (j *Journal) beginSegment(reset bool) error {
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
	hard := j.hard
	first := record{Hard: &hard, Before: j.last, Reset: reset}
	j.segments = append(j.segments, segment{number: number, before: j.last})
	payload, err := wire.Encode(group{Records: []record{first}})
	if err != nil {
		return err
	}
	j.written = headerSize
	if _, err := f.Write(header(j.salt)); err != nil {
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

// writeGroup makes one frame durable.
func (j *Journal) writeGroup(g group) error {
	if len(g.Records) == 0 {
		return nil
	}
	payload, err := wire.Encode(g)
	if err != nil {
		return err
	}
	if len(payload) > maxPayloadBytes {
		return errors.Newf("%d bytes are too many for a frame", len(payload))
	}
	for _, r := range g.Records {
		j.segments[len(j.segments)-1].note(r)
	}
	return j.writeFrame(payload)
}

func (j *Journal) writeFrame(payload []byte) error {
	frame := appendFrame(nil, j.salt, payload)
	if _, err := j.file.Write(frame); err != nil {
		return err
	}
	j.written += len(frame)
	return j.file.Sync()
}

// removeCovered deletes older snapshots and the segments that the snapshot at index covers as a whole.
// Each removal is made durable before the next, so that no gap is left after a crash.
func (j *Journal) removeCovered(index int) error {
	if j.segments[len(j.segments)-1].last > 0 && j.written >= j.segmentBytes/2 {
		if err := j.beginSegment(false); err != nil {
			return err
		}
	}
	for len(j.segments) > 1 && j.segments[0].last <= index {
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
	for _, old := range numbered(names, snapshotPrefix) {
		if old < index {
			if err := j.fs.Remove(snapshotName(old)); err != nil {
				return err
			}
		}
	}
	return nil
}
