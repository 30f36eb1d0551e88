package journal

import (
	"crypto/rand"
	"encoding/hex"
	"slices"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/consensus"
	"plantainlane/wire"
)

const replicaIDBytes = 8

// open reads a folder, makes what it read durable and leaves a new segment open for writing.
func (j *Journal) open(owner string) (Stored, error) {
	names, err := j.fs.List()
	if err != nil {
		return Stored{}, err
	}
	segments, snapshots := numbered(names, segmentPrefix), numbered(names, snapshotPrefix)
	stored := Stored{}
	stored.Replica, err = j.openIdentity(owner, slices.Contains(names, identityName), len(segments)+len(snapshots) > 0)
	if err != nil {
		return Stored{}, err
	}
	if len(snapshots) > 0 {
		if stored.Start.Snapshot, err = j.readSnapshot(snapshots[len(snapshots)-1]); err != nil {
			return Stored{}, err
		}
	}
	if err := j.readSegments(segments, &stored.Start); err != nil {
		return Stored{}, err
	}
	if len(j.segments) > 0 && j.segments[0].before > stored.Start.Snapshot.Index {
		return Stored{}, errors.Wrapf(ErrDamaged, "segments before %s are missing", segmentName(segments[0]))
	}
	reset, err := join(&stored.Start)
	if err != nil {
		return Stored{}, err
	}
	j.hard, j.last = stored.Start.HardState, stored.Start.Snapshot.Index+len(stored.Start.Entries)
	return stored, j.beginSegment(reset)
}

// openIdentity returns the replica ID, or makes a new one if the folder is empty.
func (j *Journal) openIdentity(owner string, exists, hasLog bool) (string, error) {
	if exists {
		b, err := j.fs.Read(identityName)
		if err != nil {
			return "", err
		}
		var id identity
		if err := decodeFile(identityName, b, &id); err != nil {
			return "", err
		}
		if id.Format != format {
			return "", errors.Wrapf(ErrDamaged, "%s: format %d, not %d", identityName, id.Format, format)
		}
		return id.Replica, nil
	}
	if hasLog {
		return "", errors.Wrapf(ErrDamaged, "%s is missing beside a log", identityName)
	}
	if j.replica != "" {
		return j.replica, j.writeFile(identityName, identity{Format: format, Replica: j.replica})
	}
	random := make([]byte, replicaIDBytes)
	if _, err := rand.Read(random); err != nil {
		return "", err
	}
	id := identity{Format: format, Replica: owner + "/" + hex.EncodeToString(random)}
	return id.Replica, j.writeFile(identityName, id)
}

// decodeFile reads a file of one frame.
func decodeFile(name string, b []byte, v any) error {
	payloads, err := readFrames(name, b, false)
	if err != nil {
		return err
	}
	if len(payloads) != 1 {
		return errors.Wrapf(ErrDamaged, "%s: %d frames", name, len(payloads))
	}
	if err := wire.Decode(payloads[0], v); err != nil {
		return errors.Mark(errors.Wrap(err, name), ErrDamaged)
	}
	return nil
}

// writeFile writes a file of one frame, durably and as a whole or not at all.
func (j *Journal) writeFile(name string, v any) error {
	payload, err := wire.Encode(v)
	if err != nil {
		return err
	}
	if len(payload) > maxPayloadBytes {
		return errors.Newf("%s: %d bytes are too many", name, len(payload))
	}
	s := newSalt()
	return j.writeWhole(name, appendFrame(header(s), s, payload))
}

func (j *Journal) writeWhole(name string, content []byte) error {
	f, err := j.fs.Create(temporaryName)
	if err != nil {
		return err
	}
	if _, err = f.Write(content); err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := j.fs.Rename(temporaryName, name); err != nil {
		return err
	}
	return j.fs.SyncFolder()
}

func newSalt() salt {
	var s salt
	_, _ = rand.Read(s[:])
	return s
}

func (j *Journal) readSnapshot(index int) (wire.Snapshot, error) {
	name := snapshotName(index)
	b, err := j.fs.Read(name)
	if err != nil {
		return wire.Snapshot{}, err
	}
	var snap wire.Snapshot
	if err := decodeFile(name, b, &snap); err != nil {
		return wire.Snapshot{}, err
	}
	if snap.Index != index {
		return wire.Snapshot{}, errors.Wrapf(ErrDamaged, "%s covers %d", name, snap.Index)
	}
	return snap, nil
}

// readSegments replays the segments. The last one is written anew: that cuts a torn tail off, and makes
// durable what a process before may have written but failed to sync.
func (j *Journal) readSegments(numbers []int, start *consensus.Start) error {
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return errors.Wrapf(ErrDamaged, "%s is missing", segmentName(number-1))
		}
		isLast := i == len(numbers)-1
		payloads, err := j.readSegment(number, isLast, start)
		if err != nil {
			return err
		}
		if isLast {
			s := newSalt()
			content := header(s)
			for _, p := range payloads {
				content = appendFrame(content, s, p)
			}
			if err := j.writeWhole(segmentName(number), content); err != nil {
				return err
			}
		}
	}
	return nil
}

func (j *Journal) readSegment(number int, isLast bool, start *consensus.Start) ([][]byte, error) {
	name := segmentName(number)
	b, err := j.fs.Read(name)
	if err != nil {
		return nil, err
	}
	payloads, err := readFrames(name, b, isLast)
	if err != nil {
		return nil, err
	}
	seg := segment{number: number}
	for _, p := range payloads {
		var g group
		if err := wire.Decode(p, &g); err != nil {
			return nil, errors.Mark(errors.Wrap(err, name), ErrDamaged)
		}
		for _, r := range g.Records {
			if err := r.apply(start); err != nil {
				return nil, errors.Wrap(err, name)
			}
			seg.note(r)
		}
	}
	j.segments = append(j.segments, seg)
	return payloads, nil
}
