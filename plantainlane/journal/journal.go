package journal

import (
	"sync"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/consensus"
	"plantainlane/wire"
)

// DefaultSegmentBytes is the size at which a new segment is begun.
const DefaultSegmentBytes = 8 << 20

// maxGroupBytes bounds the data of entries that are written as one frame, except for a larger batch.
const maxGroupBytes = 32 << 20

// ErrFailed reports a journal whose folder failed; the cause is in the message. It stays failed until the
// process starts anew.
var ErrFailed = errors.New("journal: storage failed")

// Batch is what is to become durable together, in the order of the fields.
type Batch struct {
	// Number is reported once the batch is durable. Ascending.
	Number int
	// HardState is the new hard state, if set.
	HardState *consensus.HardState
	// Snapshot is a new snapshot, if set. Entries it covers are deleted in time.
	Snapshot *wire.Snapshot
	// Install tells that the snapshot replaces the whole log.
	Install bool
	// Entries replace whatever is stored at their indexes and after.
	Entries []wire.LogEntry
}

// Synced reports how far the journal is durable.
type Synced struct {
	// Batch is the newest durable one.
	Batch int
	// Err is ErrFailed once the folder failed; Batch then never rises again.
	Err error
}

// Journal writes one data folder. It is safe for concurrent use.
type Journal struct {
	fs FS
	// replica is the ID of the replica of an empty folder; empty for a random one.
	replica      string
	segmentBytes int
	notify       func(Synced)

	mu     sync.Mutex
	queue  []Batch
	closed bool
	wake   chan struct{}
	done   chan struct{}

	// The fields below belong to the writer goroutine.

	hard consensus.HardState
	// last is the newest index of the stored log.
	last     int
	segments []segment
	file     File
	salt     salt
	written  int
	synced   Synced
}

// Option adjusts a Journal.
type Option func(*Journal)

// WithSegmentBytes sets the size at which a new segment is begun.
func WithSegmentBytes(n int) Option {
	return func(j *Journal) { j.segmentBytes = n }
}

// WithReplica gives the replica of an empty folder an ID instead of a random one.
func WithReplica(id string) Option {
	return func(j *Journal) { j.replica = id }
}

// Open reads a data folder and starts the writer. An empty folder gets a new replica ID that starts with
// owner. The writer calls notify, which must not block, after every sync and once after a failure. Open
// returns ErrDamaged if the folder holds something else than what was synced.
func Open(fs FS, owner string, notify func(Synced), opts ...Option) (*Journal, Stored, error) {
	j := &Journal{
		fs: fs, notify: notify, segmentBytes: DefaultSegmentBytes,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, o := range opts {
		o(j)
	}
	stored, err := j.open(owner)
	if err != nil {
		return nil, Stored{}, errors.Wrap(err, "open journal")
	}
	go j.run()
	return j, stored, nil
}

// Write queues a batch and returns at once. The journal keeps the batch's slices; they must not change.
func (j *Journal) Write(b Batch) {
	j.mu.Lock()
	j.queue = append(j.queue, b)
	j.mu.Unlock()
	j.signal()
}

// Close writes what is queued and stops the writer.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	j.signal()
	<-j.done
}

func (j *Journal) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

func (j *Journal) take() ([]Batch, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	queue := j.queue
	j.queue = nil
	return queue, j.closed
}

func (j *Journal) run() {
	defer close(j.done)
	for range j.wake {
		queue, closed := j.take()
		j.store(queue)
		if closed {
			if j.file != nil {
				_ = j.file.Close()
			}
			return
		}
	}
}

// store makes the queued batches durable, those between two snapshots with one sync.
func (j *Journal) store(queue []Batch) {
	for len(queue) > 0 && j.synced.Err == nil {
		count := countTogether(queue)
		err := j.storeGroup(queue[:count])
		if err != nil {
			j.synced.Err = errors.Mark(errors.Wrap(err, "storage failed"), ErrFailed)
		} else {
			j.synced.Batch = queue[count-1].Number
		}
		queue = queue[count:]
		j.notify(j.synced)
	}
}

// countTogether returns how many of the first batches go into one frame.
func countTogether(queue []Batch) int {
	count, size := 1, queue[0].size()
	for count < len(queue) && queue[count].Snapshot == nil {
		size += queue[count].size()
		if size > maxGroupBytes {
			break
		}
		count++
	}
	return count
}

func (b *Batch) size() int {
	size := 0
	for _, e := range b.Entries {
		size += len(e.Data)
	}
	return size
}

// storeGroup makes batches durable of which only the first may have a snapshot.
func (j *Journal) storeGroup(batches []Batch) error {
	snap := batches[0].Snapshot
	if snap != nil {
		if err := j.writeFile(snapshotName(snap.Index), snap); err != nil {
			return err
		}
	}
	if j.written >= j.segmentBytes {
		if err := j.beginSegment(false); err != nil {
			return err
		}
	}
	var g group
	for _, b := range batches {
		r := record{Hard: b.HardState, Reset: b.Install, Entries: b.Entries}
		j.note(b)
		if r.Hard != nil || r.Reset || len(r.Entries) > 0 {
			g.Records = append(g.Records, r)
		}
	}
	if err := j.writeGroup(g); err != nil {
		return err
	}
	if snap != nil {
		return j.removeCovered(snap.Index)
	}
	return nil
}

func (j *Journal) note(b Batch) {
	if b.HardState != nil {
		j.hard = *b.HardState
	}
	if b.Install {
		j.last = b.Snapshot.Index
	}
	if len(b.Entries) > 0 {
		j.last = b.Entries[len(b.Entries)-1].Index
	}
}
