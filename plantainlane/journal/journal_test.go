package journal

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/plantainlane/consensus"
	"plantainlane/wire"
)

var seeds = flag.Int("seeds", 300, "seeds of the crash test")

// syncRecorder records the newest report of a journal.
type syncRecorder struct {
	mu   sync.Mutex
	last Synced
	// failed is closed on the first failure, if set.
	failed chan struct{}
}

func (r *syncRecorder) notify(s Synced) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = s
	if s.Err != nil && r.failed != nil {
		close(r.failed)
	}
}

// synced returns the newest report.
func (r *syncRecorder) synced() Synced {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

func entry(index, term int, data string) wire.LogEntry {
	return wire.LogEntry{Index: index, Term: term, Data: []byte(data)}
}

// randomBatch returns a batch that changes the hard state of s, or extends, truncates, compacts or replaces its log,
// and the state after that batch.
func randomBatch(rng *rand.Rand, number int, s consensus.Start) (Batch, consensus.Start) {
	b := Batch{Number: number}
	last := s.Snapshot.Index + len(s.Entries)
	s.Entries = slices.Clone(s.Entries)
	switch rng.IntN(8) {
	case 0:
		s.HardState = consensus.HardState{Term: s.HardState.Term + 1, Vote: fmt.Sprint(number), Log: "log"}
		hardState := s.HardState
		b.HardState = &hardState
		return b, s
	case 1:
		if len(s.Entries) > 2 {
			e := s.Entries[len(s.Entries)/2]
			s.Snapshot = wire.Snapshot{Index: e.Index, Term: e.Term, Data: []byte(fmt.Sprint(number))}
			s.Entries = s.Entries[len(s.Entries)/2+1:]
			snapshot := s.Snapshot
			b.Snapshot = &snapshot
			return b, s
		}
	case 2:
		if number%3 == 0 {
			s.Snapshot = wire.Snapshot{Index: max(s.Snapshot.Index+1, last-2+rng.IntN(5)), Term: 1000 + number, Data: []byte("whole")}
			s.Entries = nil
			snapshot := s.Snapshot
			b.Snapshot, b.Install = &snapshot, true
			return b, s
		}
	}
	from := last - rng.IntN(min(3, len(s.Entries)+1))
	s.Entries = s.Entries[:from-s.Snapshot.Index]
	for i := range 1 + rng.IntN(4) {
		b.Entries = append(b.Entries, entry(from+1+i, number, fmt.Sprint("data", number)))
	}
	s.Entries = append(s.Entries, b.Entries...)
	return b, s
}

// equalStart reports whether two states have the same hard state, snapshot position and entries.
func equalStart(a, b consensus.Start) bool {
	sameEntry := func(x, y wire.LogEntry) bool {
		return x.Index == y.Index && x.Term == y.Term && string(x.Data) == string(y.Data)
	}
	return a.HardState == b.HardState && a.Snapshot.Index == b.Snapshot.Index && a.Snapshot.Term == b.Snapshot.Term &&
		slices.EqualFunc(a.Entries, b.Entries, sameEntry)
}

// TestCrash guards against the loss of a batch that was reported as synced, and against a state that was never written.
// It crashes a journal repeatedly at random steps; unsynced changes then survive partly or not at all. At times the storage fails
// for a while before, and works again.
func TestCrash(t *testing.T) {
	for seed := range *seeds {
		rng := rand.New(rand.NewPCG(uint64(seed), 3))
		fs, number := newMemoryFS(), 0
		var start consensus.Start
		replica := ""
		for round := range 6 {
			recorder := &syncRecorder{}
			j, stored, err := Open(fs, "i", recorder.notify, WithSegmentBytes(400))
			if err != nil {
				t.Fatalf("seed %d round %d: %v", seed, round, err)
			}
			if replica != "" && stored.Replica != replica {
				t.Fatalf("seed %d: replica ID changed from %s to %s", seed, replica, stored.Replica)
			}
			replica = stored.Replica
			written := []consensus.Start{start}
			if round > 0 && !equalStart(stored.Start, start) {
				t.Fatalf("seed %d round %d: found %+v, expected %+v", seed, round, stored.Start, start)
			}
			first := number
			fs.stepsLeft = 1 + rng.IntN(60)
			for range rng.IntN(20) {
				for range 1 + rng.IntN(3) {
					number++
					var b Batch
					b, start = randomBatch(rng, number, start)
					j.pending, written = append(j.pending, b), append(written, start)
				}
				j.store()
				if fs.stepsLeft == 0 && rng.IntN(4) == 0 {
					fs.stepsLeft = 1 + rng.IntN(60)
				}
			}
			j.Close()
			acknowledged := max(first, recorder.synced().Batch)
			fs = fs.crash(rng)
			start, number = recoveredState(t, seed, fs, written, first, acknowledged)
		}
	}
}

// recoveredState reads the folder after a crash. It returns the newest written state that the folder holds and the
// number of that state's last batch. written[0] is the state after batch first; acknowledged is the newest batch that
// was reported as synced.
func recoveredState(t *testing.T, seed int, fs *memoryFS, written []consensus.Start, first, acknowledged int) (consensus.Start, int) {
	t.Helper()
	j, stored, err := Open(fs, "i", func(Synced) {})
	if err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	j.Close()
	for i := len(written) - 1; i >= acknowledged-first; i-- {
		if equalStart(stored.Start, written[i]) {
			return written[i], first + i
		}
	}
	t.Fatalf("seed %d: batches up to %d were reported as synced, found %+v", seed, acknowledged, stored.Start)
	return consensus.Start{}, 0
}

// newWrittenFolder returns a folder that was opened three times, so that it has three segments, and the name of the
// first segment. A batch was written only after the first opening.
func newWrittenFolder(t *testing.T) (*memoryFS, string) {
	t.Helper()
	fs := newMemoryFS()
	for i := range 3 {
		j, _, err := Open(fs, "i", func(Synced) {})
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			j.Write(Batch{Number: 1, HardState: &consensus.HardState{Term: 1}, Entries: []wire.LogEntry{entry(1, 1, "one")}})
		}
		j.Close()
	}
	return fs, segmentName(1)
}

// TestFlippedBitIsReportedAsDamage guards against a replica that runs on damaged files. It flips one bit of each byte
// of each file, except in the frames of the last segment: damage there looks like a torn tail. It also deletes a
// segment.
func TestFlippedBitIsReportedAsDamage(t *testing.T) {
	fs, firstSegment := newWrittenFolder(t)
	names, _ := fs.List()
	last := segmentName(3)
	for _, name := range names {
		content := slices.Clone(fs.files[name].data)
		for at := range content {
			if name == last && at >= headerSize {
				continue
			}
			flipped := slices.Clone(content)
			flipped[at] ^= 1 << (at % 8)
			fs.files[name].data = flipped
			if _, _, err := Open(fs, "i", func(Synced) {}); !errors.Is(err, ErrDamaged) {
				t.Fatalf("%s: bit flipped in byte %d of %d: %v", name, at, len(content), err)
			}
		}
		fs.files[name].data = content
	}
	is := is.New(t)
	delete(fs.files, firstSegment)
	_, _, err := Open(fs, "i", func(Synced) {})
	is.True(errors.Is(err, ErrDamaged))
}

// TestFullDiskStopsReplicaForGood guards against a journal that stores nothing any more once a write or sync has failed, though the
// disk works again, and against a batch that is reported as synced without being written again, in another file: the file system
// may have dropped unsynced data, even if later syncs succeed. memoryFS panics if a file is used after a failure.
func TestFullDiskStopsReplicaForGood(t *testing.T) {
	tests := []struct {
		name  string
		fail  func(*memoryFS)
		cause error
	}{
		{"full disk", func(m *memoryFS) { m.spaceLeft = 5 }, syscall.ENOSPC},
		{"failed sync", func(m *memoryFS) { m.syncsLeft = 1 }, syscall.EIO},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			fs, recorder := newMemoryFS(), &syncRecorder{failed: make(chan struct{})}
			j, _, err := Open(fs, "i", recorder.notify)
			is.NoErr(err)
			fs.mu.Lock()
			tt.fail(fs)
			fs.mu.Unlock()
			j.Write(Batch{Number: 1, Entries: []wire.LogEntry{entry(1, 1, "kept")}})
			<-recorder.failed
			is.Equal(recorder.synced().Batch, 0)
			is.True(errors.Is(recorder.synced().Err, ErrFailed))
			is.True(errors.Is(recorder.synced().Err, tt.cause))
			j.Write(Batch{Number: 2, Entries: []wire.LogEntry{entry(2, 1, "late")}})
			time.Sleep(2 * retryInterval)
			is.Equal(recorder.synced().Batch, 0) // it still fails
			fs.mu.Lock()
			fs.spaceLeft, fs.syncsLeft = -1, -1
			fs.mu.Unlock()
			for deadline := time.Now().Add(10 * time.Second); recorder.synced().Batch < 2 && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			is.Equal(recorder.synced().Batch, 2)
			is.NoErr(recorder.synced().Err)
			_, stored, err := Open(fs.crash(rand.New(rand.NewPCG(45, 1))), "i", func(Synced) {})
			is.NoErr(err)
			is.Equal(len(stored.Start.Entries), 2)
			j.Close()
		})
	}
}

// TestWipedFolderGetsNewReplicaID guards against a replica that lost its disk, and so its votes, but keeps its ID. It
// also checks that a folder can't be opened twice at the same time.
func TestWipedFolderGetsNewReplicaID(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "a", "data")
	ids := map[string]bool{}
	for i := range 3 {
		folder, err := OpenFolder(path)
		is.NoErr(err)
		_, err = OpenFolder(path)
		is.True(errors.Is(err, ErrInUse))
		j, stored, err := Open(folder, "instance", func(Synced) {})
		is.NoErr(err)
		ids[stored.Replica] = true
		j.Close()
		if i == 1 {
			names, err := folder.List()
			is.NoErr(err)
			for _, name := range names {
				is.NoErr(folder.Remove(name))
			}
		}
		is.NoErr(folder.Close())
	}
	is.Equal(len(ids), 2)
}
