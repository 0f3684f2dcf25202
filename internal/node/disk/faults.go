package disk

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"curlewring/internal/store"
)

// WithFaults wraps a file system so that its files fail as files in faultFolder say, which tests
// write. While "disk-full" exists, every create, write and sync fails with ENOSPC. While
// "disk-slow" holds a duration, each sync takes that much longer.
func WithFaults(fs store.FS, faultFolder string) store.FS { return &faultyFS{fs, faultFolder} }

type faultyFS struct {
	store.FS
	faultFolder string
}

func (t *faultyFS) spaceError() error {
	if _, err := os.Stat(filepath.Join(t.faultFolder, "disk-full")); err == nil {
		return syscall.ENOSPC
	}
	return nil
}

// Create creates a file, unless the disk counts as full.
func (t *faultyFS) Create(name string) (store.File, error) {
	if err := t.spaceError(); err != nil {
		return nil, err
	}
	f, err := t.FS.Create(name)
	if err != nil {
		return nil, err
	}
	return &faultyFile{f, t}, nil
}

type faultyFile struct {
	store.File
	fs *faultyFS
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if err := f.fs.spaceError(); err != nil {
		return 0, err
	}
	return f.File.Write(p)
}

func (f *faultyFile) Sync() error {
	if err := f.fs.spaceError(); err != nil {
		return err
	}
	if text, err := os.ReadFile(filepath.Join(f.fs.faultFolder, "disk-slow")); err == nil {
		if d, err := time.ParseDuration(strings.TrimSpace(string(text))); err == nil {
			time.Sleep(d)
		}
	}
	return f.File.Sync()
}
