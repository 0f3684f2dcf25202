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
func WithFaults(fs store.FS, folder string) store.FS { return &trial{fs, folder} }

type trial struct {
	store.FS
	folder string
}

func (t *trial) full() error {
	if _, err := os.Stat(filepath.Join(t.folder, "disk-full")); err == nil {
		return syscall.ENOSPC
	}
	return nil
}

// Create makes an empty file, if there is room.
func (t *trial) Create(name string) (store.File, error) {
	if err := t.full(); err != nil {
		return nil, err
	}
	f, err := t.FS.Create(name)
	if err != nil {
		return nil, err
	}
	return &trialFile{f, t}, nil
}

type trialFile struct {
	store.File
	trial *trial
}

func (f *trialFile) Write(p []byte) (int, error) {
	if err := f.trial.full(); err != nil {
		return 0, err
	}
	return f.File.Write(p)
}

func (f *trialFile) Sync() error {
	if err := f.trial.full(); err != nil {
		return err
	}
	if text, err := os.ReadFile(filepath.Join(f.trial.folder, "disk-slow")); err == nil {
		if d, err := time.ParseDuration(strings.TrimSpace(string(text))); err == nil {
			time.Sleep(d)
		}
	}
	return f.File.Sync()
}
