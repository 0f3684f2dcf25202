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

// lockName is the file by whose lock a folder has one owner (flock(2): it ends with its
// process, however that ends).
const lockFileName = "LOCK"

// Folder is a store.FS.
type Folder struct {
	path string
	lock *os.File
}

// ErrHeld says that another process has the folder.
type LockedError struct{ Path string }

func (e *LockedError) Error() string { return fmt.Sprintf("another process holds %s", e.Path) }

// Open takes a folder, which it makes if it is not there, for this process alone.
func Open(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("the store's folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("the store's folder: %w", err)
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

// Look is a folder that is only read, whoever holds it.
func OpenReadOnly(path string) *Folder { return &Folder{path: path} }

// Close gives the folder free.
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

// Read returns a file's bytes, which must be no more than most.
func (f *Folder) Read(name string, most int) ([]byte, error) {
	file, err := os.Open(f.filePath(name))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, int64(most)+1))
	if err != nil {
		return nil, err
	}
	if len(data) > most {
		return nil, fmt.Errorf("%s holds more than %d bytes", name, most)
	}
	return data, nil
}

// Create makes an empty file.
func (f *Folder) Create(name string) (store.File, error) {
	file, err := os.OpenFile(f.filePath(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil { // no nil *os.File in the interface
		return nil, err
	}
	return file, nil
}

// Rename puts a file in another's place.
func (f *Folder) Rename(from, to string) error { return os.Rename(f.filePath(from), f.filePath(to)) }

// Remove removes a file.
func (f *Folder) Remove(name string) error { return os.Remove(f.filePath(name)) }

// SyncDir makes names safe that were created, changed or removed.
func (f *Folder) SyncDir() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	err = dir.Sync()
	return errors.Join(err, dir.Close())
}
