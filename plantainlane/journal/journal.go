package journal

import (
	"sync"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/consensus"
	"plantainlane/wire"
)

// DefaultSegmentBytes is the default size of a segment, in bytes, at which a new one is started.
const DefaultSegmentBytes = 8 << 20

// maxGroupBytes bounds the entry data that is written as one frame, in bytes. A single larger batch is still one frame.
const maxGroupBytes = 32 << 20

// ErrFailed reports a journal that stopped writing because it could not store a batch. Synced.Err wraps the cause and
// is marked as ErrFailed. The journal stays failed until the process restarts.
var ErrFailed = errors.New("journal: storage failed")

// Batch is a set of changes that become durable together. They apply in the order of the fields.
type Batch struct {
	// Number identifies the batch in Synced.Batch. Each batch has a higher number than the previous one.
	Number int
	// HardState is the new hard state, if set.
	HardState *consensus.HardState
	// Snapshot is the new snapshot, if set. Segments that it covers completely are deleted.
	Snapshot *wire.Snapshot
	// Install is set if Snapshot replaces the whole log.
	Install bool
	// Entries replace all stored entries from the index of the first one on.
	Entries []wire.LogEntry
}

// Synced reports how far the journal is durable.
type Synced struct {
	// Batch is the number of the newest durable batch.
	Batch int
	// Err is marked as ErrFailed once a batch could not be stored; Batch then no longer increases.
	Err error
}

// Journal writes one data folder. It is safe for concurrent use.
type Journal struct {
	fs FS
	// replica is the replica ID that an empty folder gets; empty for a random one.
	replica string
	// segmentBytes is the size of a segment, in bytes, at which a new one is started.
	segmentBytes int
	// notify reports how far the journal is durable; see Open.
	notify func(Synced)

	mu     sync.Mutex
	queue  []Batch
	closed bool
	// wake signals the writer goroutine that queue or closed changed.
	wake chan struct{}
	// done is closed when the writer goroutine ends.
	done chan struct{}

	// Only Open and the writer goroutine use the fields below.

	// hardState is the newest stored hard state.
	hardState consensus.HardState
	// lastIndex is the newest index of the stored log.
	lastIndex int
	// segments holds the stored segments in order. The last one is open for writing as file.
	segments []segment
	file     File
	// salt is the salt of the last segment.
	salt salt
	// segmentSize is the size of the last segment, in bytes.
	segmentSize int
	// synced is the newest report that was passed to notify.
	synced Synced
}

// Option adjusts a Journal.
type Option func(*Journal)

// WithSegmentBytes sets the size of a segment, in bytes, at which a new one is started.
func WithSegmentBytes(n int) Option {
	return func(j *Journal) { j.segmentBytes = n }
}

// WithReplica sets the replica ID that an empty folder gets, instead of a random one.
func WithReplica(id string) Option {
	return func(j *Journal) { j.replica = id }
}

// Open reads a data folder and starts the writer goroutine. An empty folder gets a new replica ID that starts with
// owner. The writer calls notify, which must not block, each time a group of batches has become durable, and once
// after a failure. Besides errors of the folder Open returns ErrDamaged if the folder doesn't hold what was synced.
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

// Write queues a batch and returns without waiting for it to be durable. The journal keeps the batch's slices; the
// caller must not modify them.
func (j *Journal) Write(b Batch) {
	j.mu.Lock()
	j.queue = append(j.queue, b)
	j.mu.Unlock()
	j.signal()
}

// Close writes the queued batches and stops the writer.
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

// takeQueue removes and returns the queued batches, and whether the journal was closed.
func (j *Journal) takeQueue() ([]Batch, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	queue := j.queue
	j.queue = nil
	return queue, j.closed
}

// run writes queued batches until the journal is closed.
func (j *Journal) run() {
	defer close(j.done)
	for range j.wake {
		queue, closed := j.takeQueue()
		j.store(queue)
		if closed {
			if j.file != nil {
				_ = j.file.Close()
			}
			return
		}
	}
}

// store makes the queued batches durable, in groups that are synced together, and reports each group. After a failure
// it drops all batches.
func (j *Journal) store(queue []Batch) {
	for len(queue) > 0 && j.synced.Err == nil {
		count := groupLength(queue)
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

// groupLength returns how many batches at the start of the queue are written as one frame. A batch with a snapshot
// starts a new group.
func groupLength(queue []Batch) int {
	count, size := 1, queue[0].dataBytes()
	for count < len(queue) && queue[count].Snapshot == nil {
		size += queue[count].dataBytes()
		if size > maxGroupBytes {
			break
		}
		count++
	}
	return count
}

// dataBytes returns the size of the batch's entry data, in bytes.
func (b *Batch) dataBytes() int {
	size := 0
	for _, e := range b.Entries {
		size += len(e.Data)
	}
	return size
}

// storeGroup makes a group of batches durable. Only the first may have a snapshot, which is stored before the entries.
func (j *Journal) storeGroup(batches []Batch) error {
	snapshot := batches[0].Snapshot
	if snapshot != nil {
		if err := j.writeFrameFile(snapshotName(snapshot.Index), snapshot); err != nil {
			return err
		}
	}
	if j.segmentSize >= j.segmentBytes {
		if err := j.startSegment(false); err != nil {
			return err
		}
	}
	var g group
	for _, b := range batches {
		r := record{Hard: b.HardState, Reset: b.Install, Entries: b.Entries}
		j.trackBatch(b)
		if r.Hard != nil || r.Reset || len(r.Entries) > 0 {
			g.Records = append(g.Records, r)
		}
	}
	if err := j.writeGroup(g); err != nil {
		return err
	}
	if snapshot != nil {
		return j.removeCovered(snapshot.Index)
	}
	return nil
}

// trackBatch updates hardState and lastIndex to those after a batch.
func (j *Journal) trackBatch(b Batch) {
	if b.HardState != nil {
		j.hardState = *b.HardState
	}
	if b.Install {
		j.lastIndex = b.Snapshot.Index
	}
	if len(b.Entries) > 0 {
		j.lastIndex = b.Entries[len(b.Entries)-1].Index
	}
}
