package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"curlewring/internal/store"
)

// lockFileName is the file whose lock gives a folder one owner (flock(2): the kernel releases
// the lock when the process ends).
const lockFileName = "LOCK"

// Folder is a directory that implements store.FS.
type Folder struct {
	path string
	lock *os.File
}

// LockedError says that another process has locked the folder.
type LockedError struct{ Path string }

func (e *LockedError) Error() string { return fmt.Sprintf("another process has locked %s", e.Path) }

// Open locks a folder for this process, and creates it if it doesn't exist.
func Open(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("creating the store's folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("opening the store's lock file: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, &LockedError{path}
		}
		return nil, fmt.Errorf("locking the store's folder: %w", err)
	}
	return &Folder{path, lock}, nil
}

// OpenReadOnly returns a folder for reading only. It takes no lock, so another process may have
// the folder open.
func OpenReadOnly(path string) *Folder { return &Folder{path: path} }

// Close releases the lock.
func (f *Folder) Close() error {
	if f.lock == nil {
		return nil
	}
	return f.lock.Close()
}

func (f *Folder) filePath(name string) string { return filepath.Join(f.path, name) }

// List returns the names of regular files.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Read returns the content of a file. It is an error if the file has more than limit bytes.
func (f *Folder) Read(name string, limit int) ([]byte, error) {
	file, err := os.Open(f.filePath(name))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, fmt.Errorf("%s has more than %d bytes", name, limit)
	}
	return data, nil
}

// Create creates a file, or truncates it if it exists.
func (f *Folder) Create(name string) (store.File, error) {
	file, err := os.OpenFile(f.filePath(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil { // no nil *os.File in the interface
		return nil, err
	}
	return file, nil
}

// Rename renames a file, and replaces the target if it exists.
func (f *Folder) Rename(from, to string) error { return os.Rename(f.filePath(from), f.filePath(to)) }

// Remove removes a file.
func (f *Folder) Remove(name string) error { return os.Remove(f.filePath(name)) }

// SyncDir makes created, renamed and removed file names durable.
func (f *Folder) SyncDir() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	err = dir.Sync()
	return errors.Join(err, dir.Close())
}
