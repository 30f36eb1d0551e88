package journal

import (
	"crypto/rand"
	"encoding/hex"
	"slices"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/consensus"
	"plantainlane/wire"
)

// replicaIDBytes is the number of random bytes in a replica ID.
const replicaIDBytes = 8

// open reads a folder, makes durable what it read, and starts a new segment.
func (j *Journal) open(owner string) (Stored, error) {
	names, err := j.fs.List()
	if err != nil {
		return Stored{}, err
	}
	segments, snapshots := fileNumbers(names, segmentPrefix), fileNumbers(names, snapshotPrefix)
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
	if len(j.segments) > 0 && j.segments[0].lastBefore > stored.Start.Snapshot.Index {
		return Stored{}, errors.Wrapf(ErrDamaged, "segments before %s are missing", segmentName(segments[0]))
	}
	reset, err := reconcileSnapshot(&stored.Start)
	if err != nil {
		return Stored{}, err
	}
	j.hardState, j.lastIndex = stored.Start.HardState, stored.Start.Snapshot.Index+len(stored.Start.Entries)
	return stored, j.startSegment(reset)
}

// openIdentity returns the stored replica ID, or stores a new one if the folder is empty. exists reports whether there
// is an identity file, hasLog whether there are segments or snapshots.
func (j *Journal) openIdentity(owner string, exists, hasLog bool) (string, error) {
	if exists {
		b, err := j.fs.Read(identityName)
		if err != nil {
			return "", err
		}
		var id identity
		if err := decodeFrameFile(identityName, b, &id); err != nil {
			return "", err
		}
		if id.Format != formatVersion {
			return "", errors.Wrapf(ErrDamaged, "%s: found format %d, expected %d", identityName, id.Format, formatVersion)
		}
		return id.Replica, nil
	}
	if hasLog {
		return "", errors.Wrapf(ErrDamaged, "%s is missing, but the folder holds a log", identityName)
	}
	if j.replica != "" {
		return j.replica, j.writeFrameFile(identityName, identity{Format: formatVersion, Replica: j.replica})
	}
	random := make([]byte, replicaIDBytes)
	if _, err := rand.Read(random); err != nil {
		return "", err
	}
	id := identity{Format: formatVersion, Replica: owner + "/" + hex.EncodeToString(random)}
	return id.Replica, j.writeFrameFile(identityName, id)
}

// decodeFrameFile decodes the content of a file of one frame into v.
func decodeFrameFile(name string, b []byte, v any) error {
	payloads, err := readFrames(name, b, false)
	if err != nil {
		return err
	}
	if len(payloads) != 1 {
		return errors.Wrapf(ErrDamaged, "%s: found %d frames, expected 1", name, len(payloads))
	}
	if err := wire.Decode(payloads[0], v); err != nil {
		return errors.Mark(errors.Wrap(err, name), ErrDamaged)
	}
	return nil
}

// writeFrameFile writes v as a file of one frame, atomically and durably.
func (j *Journal) writeFrameFile(name string, v any) error {
	payload, err := wire.Encode(v)
	if err != nil {
		return err
	}
	if len(payload) > maxPayloadBytes {
		return errors.Newf("%s: frame payload of %d bytes, maximum %d", name, len(payload), maxPayloadBytes)
	}
	s := newSalt()
	return j.writeAtomically(name, appendFrame(newHeader(s), s, payload))
}

// writeAtomically creates or replaces a file durably. After a crash the file holds either its previous or its new
// content.
func (j *Journal) writeAtomically(name string, content []byte) error {
	f, err := j.createAtomically(name, content)
	if err != nil {
		return err
	}
	return f.Close()
}

// createAtomically creates or replaces a file durably, as writeAtomically does, and returns it open for writing.
func (j *Journal) createAtomically(name string, content []byte) (File, error) {
	f, err := j.fs.Create(temporaryName)
	if err != nil {
		return nil, err
	}
	if _, err = f.Write(content); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = j.fs.Rename(temporaryName, name)
	}
	if err == nil {
		err = j.fs.SyncFolder()
	}
	if err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	return f, nil
}

// newSalt returns a random salt.
func newSalt() salt {
	var s salt
	_, _ = rand.Read(s[:])
	return s
}

// readSnapshot reads the snapshot that covers the log up to index.
func (j *Journal) readSnapshot(index int) (wire.Snapshot, error) {
	name := snapshotName(index)
	b, err := j.fs.Read(name)
	if err != nil {
		return wire.Snapshot{}, err
	}
	var snapshot wire.Snapshot
	if err := decodeFrameFile(name, b, &snapshot); err != nil {
		return wire.Snapshot{}, err
	}
	if snapshot.Index != index {
		return wire.Snapshot{}, errors.Wrapf(ErrDamaged, "%s holds a snapshot of index %d", name, snapshot.Index)
	}
	return snapshot, nil
}

// readSegments replays the segments with the given numbers into start. The last segment is rewritten: this removes a
// torn tail and makes durable what a previous process wrote but may not have synced.
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
			content := newHeader(s)
			for _, p := range payloads {
				content = appendFrame(content, s, p)
			}
			if err := j.writeAtomically(segmentName(number), content); err != nil {
				return err
			}
		}
	}
	return nil
}

// readSegment replays one segment into start and returns the payloads of its valid frames. Only the last segment, and one after
// which writing went on in another one because of a failure, may have a torn tail.
func (j *Journal) readSegment(number int, isLast bool, start *consensus.Start) ([][]byte, error) {
	name := segmentName(number)
	b, err := j.fs.Read(name)
	if err != nil {
		return nil, err
	}
	payloads, err := readFrames(name, b, isLast)
	if errors.Is(err, ErrDamaged) && !isLast && j.startsAfterFailure(number+1) {
		payloads, err = readFrames(name, b, true)
	}
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
			seg.trackRecord(r)
		}
	}
	j.segments = append(j.segments, seg)
	return payloads, nil
}

// startsAfterFailure reports whether a segment was started because a write or sync of the one before had failed.
func (j *Journal) startsAfterFailure(number int) bool {
	name := segmentName(number)
	b, err := j.fs.Read(name)
	if err != nil {
		return false
	}
	payloads, err := readFrames(name, b, true)
	if err != nil || len(payloads) == 0 {
		return false
	}
	var first group
	return wire.Decode(payloads[0], &first) == nil && len(first.Records) > 0 && first.Records[0].AfterFailure
}
