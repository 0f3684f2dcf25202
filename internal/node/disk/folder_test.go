package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"curlewring/internal/store"
)

func open(t *testing.T, path string) *Folder {
	t.Helper()
	f, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	return f
}

// Committed rows must survive restarts, across snapshots and without Close, and files that don't
// belong to the store must be kept.
func TestRealFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state", "node")
	now := time.Hour
	for restart := range 5 {
		f := open(t, path)
		if restart == 0 {
			if err := os.WriteFile(filepath.Join(path, "README"), []byte("mine"), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		s, report := store.Open(f, store.Settings{})
		if s.Len() != restart*200 || len(report.Notes) > 0 {
			t.Fatalf("restart %d: %v", restart, report)
		}
		for n := range 200 {
			s.Put(now, 1, fmt.Sprint("server-", restart, "-", n), []byte(strings.Repeat("x", 400)), n == 199)
			if n%50 == 49 {
				now += 10 * time.Second
				if err := s.Commit(now); err != nil {
					t.Fatal(err)
				}
			}
		}
		for more := s.NeedsCompact(); more; {
			var err error
			if more, err = s.Compact(now); err != nil {
				t.Fatal(err)
			}
		}
		if s.Durable() != s.Seq() {
			t.Fatalf("restart %d: durable up to %d of %d", restart, s.Durable(), s.Seq())
		}
		f.Close() // releases the lock as a kill does; the store is not closed
	}
	names, _ := open(t, path).List()
	if len(names) > 7 {
		t.Errorf("too many files are left: %v", names)
	}
	if _, err := os.Stat(filepath.Join(path, "README")); err != nil {
		t.Error(err)
	}
}

// A folder must have one owner at a time.
func TestOneOwner(t *testing.T) {
	path := t.TempDir()
	first := open(t, path)
	var locked *LockedError
	if _, err := Open(path); !errors.As(err, &locked) {
		t.Errorf("a second owner: %v", err)
	}
	first.Close()
	open(t, path)
}

// A folder that can't be created must give a one-line error. A store whose folder is deleted must
// go on, report the error once, and recover when the folder exists again.
func TestVanishedFolder(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(filepath.Join(file, "below")); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("below a file: %v", err)
	}
	path := filepath.Join(t.TempDir(), "state")
	f := open(t, path)
	s, _ := store.Open(f, store.Settings{})
	if err := os.RemoveAll(path); err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	s.Put(now, 1, "k", []byte("v"), true)
	if err := s.Commit(now); err == nil || s.WriteError() == nil {
		t.Fatal("committed to a deleted folder")
	}
	if err := s.Commit(now + time.Millisecond); err != nil {
		t.Errorf("the error was reported again: %v", err)
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		t.Fatal(err)
	}
	now += time.Minute
	if err := s.Commit(now); err != nil || s.WriteError() != nil || s.Durable() != s.Seq() {
		t.Errorf("did not recover: %v, %v", err, s.WriteError())
	}
	again, report := store.Open(f, store.Settings{})
	if string(again.Get(1, "k")) != "v" {
		t.Errorf("lost: %v", report)
	}
}
