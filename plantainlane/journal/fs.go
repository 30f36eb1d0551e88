package journal

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// FS is the data folder as the journal needs it. Names have no directories.
type FS interface {
	// List returns the names of all files, in any order.
	List() ([]string, error)
	// Read returns a file's content.
	Read(name string) ([]byte, error)
	// Create makes an empty file, in place of one of that name, and opens it for writing.
	Create(name string) (File, error)
	// Rename gives a file another name, in place of one of that name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncFolder makes creations, renames and removals durable.
	SyncFolder() error
}

// File is a file being written.
type File interface {
	io.WriteCloser
	// Sync makes what was written durable.
	Sync() error
}

// ErrInUse reports a data folder that another process uses.
var ErrInUse = errors.New("journal: data folder is in use")

// Folder is an FS over a directory.
type Folder struct {
	path string
	lock *os.File
}

const (
	folderMode = 0o700
	fileMode   = 0o600
	lockName   = "lock"
)

// OpenFolder creates the directory if need be, durably, and locks it. It returns ErrInUse if another
// process holds the lock.
func OpenFolder(path string) (*Folder, error) {
	path, err := filepath.Abs(path)
	if err != nil {
		return nil, err
	}
	if err := makeFolder(path); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, errors.Mark(errors.Wrapf(err, "lock %s", path), ErrInUse)
	}
	return &Folder{path: path, lock: lock}, nil
}

// makeFolder creates a directory and its missing parents and syncs each one's parent.
func makeFolder(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	parent := filepath.Dir(path)
	if parent != path {
		if err := makeFolder(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, folderMode); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return syncPath(parent)
}

func syncPath(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Close unlocks the folder.
func (f *Folder) Close() error { return f.lock.Close() }

// List implements FS.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Read implements FS.
func (f *Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Create implements FS.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Rename implements FS.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove implements FS.
func (f *Folder) Remove(name string) error { return os.Remove(filepath.Join(f.path, name)) }

// SyncFolder implements FS.
func (f *Folder) SyncFolder() error { return syncPath(f.path) }
