package journal

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/consensus"
	"plantainlane/wire"
)

// DefaultSegmentBytes is the default size of a segment, in bytes, at which a new one is started.
const DefaultSegmentBytes = 8 << 20

// maxGroupBytes bounds the entry data that is written as one frame, in bytes. A single larger batch is still one frame.
const maxGroupBytes = 32 << 20

// retryInterval is the time after which a batch that could not be stored is tried again.
const retryInterval = 200 * time.Millisecond

// ErrFailed reports a journal that could not store a batch. Synced.Err wraps the cause and is marked as ErrFailed. The journal
// keeps the batch and tries again.
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
	// Err is marked as ErrFailed while a batch can't be stored, otherwise nil.
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
	// pending holds the batches that aren't durable yet, and nextTry when they are tried again after a failure.
	pending []Batch
	nextTry time.Time
	// segments holds the stored segments in order. The last one is open for writing as file. file is nil after a failure: what a
	// failed write or sync has left in a file is unknown, and another sync of it would prove nothing. It is never written again.
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
	var retry <-chan time.Time
	for {
		select {
		case <-j.wake:
		case <-retry:
		}
		queue, closed := j.takeQueue()
		j.pending = append(j.pending, queue...)
		if closed || !time.Now().Before(j.nextTry) {
			j.store()
		}
		if closed {
			j.abandonFile()
			return
		}
		retry = nil
		if len(j.pending) > 0 {
			retry = time.After(time.Until(j.nextTry))
		}
	}
}

// store makes the pending batches durable, in groups that are synced together, and reports each group, or the first failure. A
// failed group stays pending.
func (j *Journal) store() {
	for len(j.pending) > 0 {
		count := groupLength(j.pending)
		snapshot := j.pending[0].Snapshot
		if err := j.storeGroup(j.pending[:count]); err != nil {
			j.abandonFile()
			j.nextTry = time.Now().Add(retryInterval)
			isFirst := j.synced.Err == nil
			j.synced.Err = errors.Mark(errors.Wrap(err, "storage failed"), ErrFailed)
			if isFirst {
				j.notify(j.synced)
			}
			return
		}
		j.synced = Synced{Batch: j.pending[count-1].Number}
		j.pending = j.pending[count:]
		j.notify(j.synced)
		if snapshot == nil {
			continue
		}
		if err := j.removeCovered(snapshot.Index); err != nil {
			j.abandonFile()
			klog.ErrorS(err, "files that a snapshot covers not removed", "index", snapshot.Index)
		}
	}
}

// abandonFile closes the current segment, which isn't written any more.
func (j *Journal) abandonFile() {
	if j.file == nil {
		return
	}
	if err := j.file.Close(); err != nil {
		klog.ErrorS(err, "segment not closed")
	}
	j.file = nil
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
	if snapshot := batches[0].Snapshot; snapshot != nil {
		if err := j.writeFrameFile(snapshotName(snapshot.Index), snapshot); err != nil {
			return err
		}
	}
	var g group
	for _, b := range batches {
		r := record{Hard: b.HardState, Reset: b.Install, Entries: b.Entries}
		if r.Hard != nil || r.Reset || len(r.Entries) > 0 {
			g.Records = append(g.Records, r)
		}
	}
	if err := j.writeGroup(g, batches); err != nil {
		return err
	}
	for _, b := range batches {
		j.trackBatch(b)
	}
	return nil
}

// writeGroup makes the records of batches durable: in the current segment, or in a new one if that is full or was abandoned.
func (j *Journal) writeGroup(g group, batches []Batch) error {
	if j.file == nil {
		return j.continueAfterFailure(g, batches)
	}
	if j.segmentSize >= j.segmentBytes {
		if err := j.startSegment(false); err != nil {
			return err
		}
	}
	return j.appendGroup(g)
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
