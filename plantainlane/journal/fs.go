package journal

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// FS is the access to a data folder that a Journal needs. File names contain no folders.
type FS interface {
	// List returns the names of all files, in any order.
	List() ([]string, error)
	// Read returns a file's content.
	Read(name string) ([]byte, error)
	// Create creates an empty file and opens it for writing. It replaces an existing file of that name.
	Create(name string) (File, error)
	// Rename renames a file. It replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncFolder makes creations, renames and removals durable.
	SyncFolder() error
}

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	// Sync makes the written content durable.
	Sync() error
}

// ErrInUse reports a data folder that is already locked, by another process or by this process.
var ErrInUse = errors.New("journal: data folder is in use")

// Folder implements FS on a folder of the file system, which it keeps locked until Close.
type Folder struct {
	path string
	lock *os.File
}

const (
	folderMode = 0o700
	fileMode   = 0o600
	lockName   = "lock"
)

// OpenFolder locks a folder, which it creates durably if it doesn't exist. Besides errors of the file system it
// returns ErrInUse if the folder is locked already.
func OpenFolder(path string) (*Folder, error) {
	path, err := filepath.Abs(path)
	if err != nil {
		return nil, err
	}
	if err := makeFolder(path); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open lock of data folder")
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, errors.Mark(errors.Wrapf(err, "lock %s", path), ErrInUse)
	}
	return &Folder{path: path, lock: lock}, nil
}

// makeFolder creates a folder and its missing parents. It syncs the parent of each created folder, so that the folder
// survives a crash.
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

// syncPath makes the entries of a folder durable.
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
