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

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/plantainlane/consensus"
	"plantainlane/wire"
)

var seeds = flag.Int("seeds", 300, "seeds of the crash test")

// watch keeps the newest report of a journal.
type watch struct {
	mu     sync.Mutex
	last   Synced
	failed chan struct{}
}

func (w *watch) notify(s Synced) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = s
	if s.Err != nil && w.failed != nil {
		close(w.failed)
	}
}

func (w *watch) synced() Synced {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

func entry(index, term int, data string) wire.LogEntry {
	return wire.LogEntry{Index: index, Term: term, Data: []byte(data)}
}

// randomBatch extends, cuts back, compacts or replaces the log that start holds, and returns the new start.
func randomBatch(rng *rand.Rand, number int, s consensus.Start) (Batch, consensus.Start) {
	b := Batch{Number: number}
	last := s.Snapshot.Index + len(s.Entries)
	s.Entries = slices.Clone(s.Entries)
	switch rng.IntN(8) {
	case 0:
		s.HardState = consensus.HardState{Term: s.HardState.Term + 1, Vote: fmt.Sprint(number), Log: "log"}
		hard := s.HardState
		b.HardState = &hard
		return b, s
	case 1:
		if len(s.Entries) > 2 {
			e := s.Entries[len(s.Entries)/2]
			s.Snapshot = wire.Snapshot{Index: e.Index, Term: e.Term, Data: []byte(fmt.Sprint(number))}
			s.Entries = s.Entries[len(s.Entries)/2+1:]
			snap := s.Snapshot
			b.Snapshot = &snap
			return b, s
		}
	case 2:
		if number%3 == 0 {
			s.Snapshot = wire.Snapshot{Index: max(s.Snapshot.Index+1, last-2+rng.IntN(5)), Term: 1000 + number, Data: []byte("whole")}
			s.Entries = nil
			snap := s.Snapshot
			b.Snapshot, b.Install = &snap, true
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

func equalStart(a, b consensus.Start) bool {
	sameEntry := func(x, y wire.LogEntry) bool {
		return x.Index == y.Index && x.Term == y.Term && string(x.Data) == string(y.Data)
	}
	return a.HardState == b.HardState && a.Snapshot.Index == b.Snapshot.Index && a.Snapshot.Term == b.Snapshot.Term &&
		slices.EqualFunc(a.Entries, b.Entries, sameEntry)
}

// TestCrash crashes a journal again and again. What was reported as synced must be there, and the whole
// must be a state that was written.
func TestCrash(t *testing.T) {
	for seed := range *seeds {
		rng := rand.New(rand.NewPCG(uint64(seed), 3))
		fs, number := newMemory(), 0
		var start consensus.Start
		replica := ""
		for round := range 6 {
			w := &watch{}
			j, stored, err := Open(fs, "i", w.notify, WithSegmentBytes(400))
			if err != nil {
				t.Fatalf("seed %d round %d: %v", seed, round, err)
			}
			if replica != "" && stored.Replica != replica {
				t.Fatalf("seed %d: replica ID changed", seed)
			}
			replica = stored.Replica
			written := []consensus.Start{start}
			if round > 0 && !equalStart(stored.Start, start) {
				t.Fatalf("seed %d round %d: %+v, not %+v", seed, round, stored.Start, start)
			}
			first := number
			fs.stepsLeft = 1 + rng.IntN(60)
			for range rng.IntN(20) {
				var queue []Batch
				for range 1 + rng.IntN(3) {
					number++
					var b Batch
					b, start = randomBatch(rng, number, start)
					queue, written = append(queue, b), append(written, start)
				}
				j.store(queue)
			}
			j.Close()
			acknowledged := max(first, w.synced().Batch)
			fs = fs.crash(rng)
			start, number = settle(t, seed, fs, written, first, acknowledged)
		}
	}
}

// settle reads a crashed folder and returns which of the written states it holds.
func settle(t *testing.T, seed int, fs *memory, written []consensus.Start, first, acknowledged int) (consensus.Start, int) {
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
	t.Fatalf("seed %d: lost what was synced up to %d: %+v", seed, acknowledged, stored.Start)
	return consensus.Start{}, 0
}

// filled returns a folder with a few frames in one segment.
func filled(t *testing.T) (*memory, string) {
	t.Helper()
	fs := newMemory()
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

func TestFlippedBitIsFound(t *testing.T) {
	fs, name := filled(t)
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
				t.Fatalf("%s: bit in byte %d of %d: %v", name, at, len(content), err)
			}
		}
		fs.files[name].data = content
	}
	is := is.New(t)
	delete(fs.files, name)
	_, _, err := Open(fs, "i", func(Synced) {})
	is.True(errors.Is(err, ErrDamaged))
}

func TestFailedStorageNeverAcknowledgesAgain(t *testing.T) {
	tests := []struct {
		name  string
		fail  func(*memory)
		cause error
	}{
		{"full disk", func(m *memory) { m.space = 5 }, syscall.ENOSPC},
		{"failed sync", func(m *memory) { m.syncsLeft = 1 }, syscall.EIO},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			fs, w := newMemory(), &watch{failed: make(chan struct{})}
			j, _, err := Open(fs, "i", w.notify)
			is.NoErr(err)
			fs.mu.Lock()
			tt.fail(fs)
			fs.mu.Unlock()
			j.Write(Batch{Number: 1, Entries: []wire.LogEntry{entry(1, 1, "lost")}})
			<-w.failed
			fs.mu.Lock()
			fs.space, fs.syncsLeft = -1, -1
			fs.mu.Unlock()
			j.Write(Batch{Number: 2, Entries: []wire.LogEntry{entry(2, 1, "late")}})
			j.Close()
			is.Equal(w.synced().Batch, 0)
			is.True(errors.Is(w.synced().Err, ErrFailed))
			is.True(errors.Is(w.synced().Err, tt.cause))
		})
	}
}

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
