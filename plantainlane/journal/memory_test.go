package journal

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
)

// memory is a data folder that forgets in a crash what was not synced.
type memory struct {
	mu      sync.Mutex
	files   map[string]*inode
	durable map[string]*inode
	// space left in bytes; negative for no bound.
	space int
	// syncsLeft until every sync fails; negative for never.
	syncsLeft int
	// stepsLeft until the folder takes no more changes; negative for never.
	stepsLeft int
}

type inode struct{ data, synced []byte }

func newMemory() *memory {
	return &memory{files: map[string]*inode{}, durable: map[string]*inode{}, space: -1, syncsLeft: -1, stepsLeft: -1}
}

// crash returns the folder as the next process finds it: unsynced bytes survive up to a random length,
// creations, renames and removals that were not synced are undone or not.
func (m *memory) crash(rng *rand.Rand) *memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := newMemory()
	names := m.durable
	if rng.IntN(2) == 0 {
		names = m.files
	}
	for name, f := range names {
		data := slices.Clone(f.synced)
		if tail := len(f.data) - len(data); tail > 0 {
			data = append(data, f.data[len(data):len(data)+rng.IntN(tail+1)]...)
			if rng.IntN(4) == 0 {
				clear(data[len(f.synced):])
			}
		}
		next.files[name] = &inode{data: data, synced: slices.Clone(data)}
	}
	next.durable = maps.Clone(next.files)
	return next
}

func (m *memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memory) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return bytes.Clone(f.data), nil
}

// stopped counts a change and tells whether the folder takes no more.
func (m *memory) stopped() bool {
	if m.stepsLeft > 0 {
		m.stepsLeft--
	}
	return m.stepsLeft == 0
}

func (m *memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped() {
		return nil, syscall.EIO
	}
	f := &inode{}
	m.files[name] = f
	return &openFile{m: m, f: f}, nil
}

func (m *memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped() {
		return syscall.EIO
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped() {
		return syscall.EIO
	}
	delete(m.files, name)
	return nil
}

func (m *memory) SyncFolder() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped() || m.failsSync() {
		return syscall.EIO
	}
	m.durable = maps.Clone(m.files)
	return nil
}

func (m *memory) failsSync() bool {
	if m.syncsLeft < 0 {
		return false
	}
	m.syncsLeft = max(0, m.syncsLeft-1)
	return m.syncsLeft == 0
}

type openFile struct {
	m *memory
	f *inode
}

func (o *openFile) Write(b []byte) (int, error) {
	o.m.mu.Lock()
	defer o.m.mu.Unlock()
	if o.m.stopped() {
		return 0, syscall.EIO
	}
	n := len(b)
	if o.m.space >= 0 {
		n = min(n, o.m.space)
		o.m.space -= n
	}
	o.f.data = append(o.f.data, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (o *openFile) Sync() error {
	o.m.mu.Lock()
	defer o.m.mu.Unlock()
	if o.m.stopped() || o.m.failsSync() {
		return syscall.EIO
	}
	o.f.synced = bytes.Clone(o.f.data)
	return nil
}

func (o *openFile) Close() error { return nil }
