package disk

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"curlewring/internal/store"
)

// Trial has a folder's files fail as files in another folder say: "disk-full", and every write and sync fails for want of
// space; "disk-slow", holding a duration, and each sync takes that much longer. It is for trials alone.
func WithFaults(fs store.FS, folder string) store.FS { return &faultyFS{fs, folder} }

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

// Create makes an empty file, if there is room.
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
