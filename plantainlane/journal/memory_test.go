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

// memoryFS is an FS in memory whose crash loses unsynced changes and whose writes and syncs can be made to fail.
type memoryFS struct {
	mu sync.Mutex
	// files holds the files by name, durable the files that were there at the newest SyncFolder.
	files   map[string]*inode
	durable map[string]*inode
	// spaceLeft is the free space in bytes; negative for unlimited.
	spaceLeft int
	// syncsLeft counts down with each sync; at 0 every sync fails. A negative value disables it.
	syncsLeft int
	// stepsLeft counts down with each change or sync; at 0 each of them fails. A negative value disables it.
	stepsLeft int
}

// inode is the content of a file and the part of it that was synced. Once a write or sync has failed, what another sync would prove
// is unknown, so that the file must not be used again.
type inode struct {
	data, synced []byte
	hasFailed    bool
}

func newMemoryFS() *memoryFS {
	return &memoryFS{files: map[string]*inode{}, durable: map[string]*inode{}, spaceLeft: -1, syncsLeft: -1, stepsLeft: -1}
}

// crash returns the folder as the next process finds it. Of each file's unsynced bytes a random number survives, at
// times as zeros. Creations, renames and removals that weren't synced either all survive or are all undone.
func (m *memoryFS) crash(rng *rand.Rand) *memoryFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := newMemoryFS()
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

func (m *memoryFS) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memoryFS) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return bytes.Clone(f.data), nil
}

// stepFails counts a change or sync and reports whether it fails.
func (m *memoryFS) stepFails() bool {
	if m.stepsLeft > 0 {
		m.stepsLeft--
	}
	return m.stepsLeft == 0
}

func (m *memoryFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stepFails() {
		return nil, syscall.EIO
	}
	f := &inode{}
	m.files[name] = f
	return &openFile{m: m, f: f}, nil
}

func (m *memoryFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stepFails() {
		return syscall.EIO
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memoryFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stepFails() {
		return syscall.EIO
	}
	delete(m.files, name)
	return nil
}

func (m *memoryFS) SyncFolder() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stepFails() || m.syncFails() {
		return syscall.EIO
	}
	m.durable = maps.Clone(m.files)
	return nil
}

// syncFails counts a sync and reports whether it fails.
func (m *memoryFS) syncFails() bool {
	if m.syncsLeft < 0 {
		return false
	}
	m.syncsLeft = max(0, m.syncsLeft-1)
	return m.syncsLeft == 0
}

// openFile implements File on an inode of a memoryFS.
type openFile struct {
	m *memoryFS
	f *inode
}

func (o *openFile) Write(b []byte) (int, error) {
	o.m.mu.Lock()
	defer o.m.mu.Unlock()
	if o.f.hasFailed {
		panic("write to a file after a failure")
	}
	if o.m.stepFails() {
		o.f.hasFailed = true
		return 0, syscall.EIO
	}
	n := len(b)
	if o.m.spaceLeft >= 0 {
		n = min(n, o.m.spaceLeft)
		o.m.spaceLeft -= n
	}
	o.f.data = append(o.f.data, b[:n]...)
	if n < len(b) {
		o.f.hasFailed = true
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (o *openFile) Sync() error {
	o.m.mu.Lock()
	defer o.m.mu.Unlock()
	if o.f.hasFailed {
		panic("sync of a file after a failure")
	}
	if o.m.stepFails() || o.m.syncFails() {
		o.f.hasFailed = true
		return syscall.EIO
	}
	o.f.synced = bytes.Clone(o.f.data)
	return nil
}

func (o *openFile) Close() error { return nil }
