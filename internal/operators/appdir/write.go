package appdir

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"curlewring/internal/operators/apps"
)

const (
	setsFolderName  = "sets"
	currentLinkName = "current"
	lockFileName    = ".lock"
	keptSets        = 3 // the current one and those before it, to go back to
)

// errBusy says that another writer holds the folder.
var errLocked = errors.New("another writer is at work there")

// setName names a set by its content.
func contentName(all []apps.GeneratedFile) string {
	h := sha256.New()
	for _, w := range all {
		fmt.Fprintf(h, "%d %s\n%d\n", len(w.Path), w.Path, len(w.Text))
		h.Write(w.Text)
	}
	return hex.EncodeToString(h.Sum(nil))[:16]
}

// Write makes a set the current one of a folder. A reader of current sees the
// old set or the new one, whatever happens meanwhile. It returns the set's name,
// and whether anything changed.
func Write(dir string, all []apps.GeneratedFile) (name string, changed bool, err error) {
	if err := os.MkdirAll(filepath.Join(dir, setsFolderName), 0o755); err != nil {
		return "", false, fmt.Errorf("writing a set: %w", err)
	}
	unlock, err := lockFolder(dir)
	if err != nil {
		return "", false, fmt.Errorf("writing a set to %s: %w", dir, err)
	}
	defer unlock()
	name = contentName(all)
	at := filepath.Join(dir, setsFolderName, name)
	if link, err := os.Readlink(filepath.Join(dir, currentLinkName)); err == nil && filepath.Base(link) == name && holdsExactly(at, all) {
		return name, false, nil
	}
	if err := removePartialSets(dir); err != nil {
		return "", false, fmt.Errorf("writing a set: %w", err)
	}
	if !holdsExactly(at, all) {
		if err := writeSet(dir, at, all); err != nil {
			return "", false, fmt.Errorf("writing a set: %w", err)
		}
	}
	// A link is replaced by renaming another over it (rename(2)): there is no
	// moment without one.
	next := filepath.Join(dir, "."+currentLinkName)
	os.Remove(next)
	if err := os.Symlink(filepath.Join(setsFolderName, name), next); err != nil {
		return "", false, fmt.Errorf("writing a set: %w", err)
	}
	if err := os.Rename(next, filepath.Join(dir, currentLinkName)); err != nil {
		return "", false, fmt.Errorf("writing a set: %w", err)
	}
	if err := syncDir(dir); err != nil {
		return "", false, fmt.Errorf("writing a set: %w", err)
	}
	return name, true, removeOldSets(dir, name)
}

// lock takes the folder for this writer (flock(2)); it is free when its process ends.
func lockFolder(dir string) (func(), error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFileName), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, errLocked
		}
		return nil, err
	}
	return func() { f.Close() }, nil
}

// clean removes what a writer left that was stopped.
func removePartialSets(dir string) error {
	all, err := os.ReadDir(filepath.Join(dir, setsFolderName))
	if err != nil {
		return err
	}
	for _, e := range all {
		if strings.HasPrefix(e.Name(), ".") {
			if err := os.RemoveAll(filepath.Join(dir, setsFolderName, e.Name())); err != nil {
				return err
			}
		}
	}
	return nil
}

// place writes a set beside the others and gives it its name once it is whole.
func writeSet(dir, at string, all []apps.GeneratedFile) error {
	next := filepath.Join(dir, setsFolderName, "."+filepath.Base(at))
	folders := map[string]bool{next: true}
	for _, w := range all {
		path := filepath.Join(next, filepath.FromSlash(w.Path))
		for d := filepath.Dir(path); !folders[d]; d = filepath.Dir(d) {
			folders[d] = true
		}
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return err
		}
		if err := writeFile(path, w.Text); err != nil {
			return err
		}
	}
	if len(all) == 0 {
		if err := os.MkdirAll(next, 0o755); err != nil {
			return err
		}
	}
	for d := range folders {
		if err := syncDir(d); err != nil {
			return err
		}
	}
	// One of this name that is not whole was edited.
	if _, err := os.Lstat(at); err == nil {
		old := filepath.Join(dir, setsFolderName, ".edited-"+filepath.Base(at))
		if err := os.Rename(at, old); err != nil {
			return err
		}
		defer os.RemoveAll(old)
	}
	if err := os.Rename(next, at); err != nil {
		return err
	}
	return syncDir(filepath.Dir(at))
}

func writeFile(path string, text []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if err2 := f.Close(); err == nil {
		err = err2
	}
	return err
}

func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// whole tells whether a folder holds a set and nothing else.
func holdsExactly(at string, all []apps.GeneratedFile) bool {
	there, err := ReadSet(at)
	if err != nil || len(there) != len(all) {
		return false
	}
	for _, w := range all {
		text, ok := there[w.Path]
		if !ok || !bytes.Equal(text, w.Text) {
			return false
		}
	}
	return true
}

// ReadSet reads all files of a set, by their paths with slashes.
func ReadSet(at string) (map[string][]byte, error) {
	at, err := filepath.EvalSymlinks(at)
	if err != nil {
		return nil, err
	}
	all := map[string][]byte{}
	err = filepath.WalkDir(at, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		text, _, err := readBounded(path, 16<<20)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(at, path)
		if err != nil {
			return err
		}
		all[filepath.ToSlash(rel)] = text
		return nil
	})
	return all, err
}

// Current reads the set that holds in a folder; none is no error.
func ReadCurrentSet(dir string) (map[string][]byte, error) {
	all, err := ReadSet(filepath.Join(dir, currentLinkName))
	if errors.Is(err, fs.ErrNotExist) {
		return map[string][]byte{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("reading the current set: %w", err)
	}
	return all, nil
}

// prune removes the oldest sets.
func removeOldSets(dir, current string) error {
	all, err := os.ReadDir(filepath.Join(dir, setsFolderName))
	if err != nil {
		return fmt.Errorf("removing old sets: %w", err)
	}
	type aged struct {
		name string
		at   int64
	}
	var sets []aged
	for _, e := range all {
		if info, err := e.Info(); err == nil && e.Name() != current && !strings.HasPrefix(e.Name(), ".") {
			sets = append(sets, aged{e.Name(), info.ModTime().UnixNano()})
		}
	}
	slices.SortFunc(sets, func(x, y aged) int {
		if x.at != y.at {
			return int(max(-1, min(1, y.at-x.at)))
		}
		return strings.Compare(x.name, y.name)
	})
	for i, s := range sets {
		if i >= keptSets-1 {
			if err := os.RemoveAll(filepath.Join(dir, setsFolderName, s.name)); err != nil {
				return fmt.Errorf("removing old sets: %w", err)
			}
		}
	}
	return nil
}
