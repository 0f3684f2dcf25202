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

// The entries of a folder of sets, and the number of sets that are kept.
const (
	setsFolderName  = "sets"
	currentLinkName = "current"
	lockFileName    = ".lock"
	keptSets        = 3 // the current set and those before it, for a rollback
)

// errLocked is returned while another writer holds the folder's lock.
var errLocked = errors.New("another process is writing to this folder")

// contentName returns the name of a set: a hash of its content.
func contentName(files []apps.GeneratedFile) string {
	hash := sha256.New()
	for _, file := range files {
		fmt.Fprintf(hash, "%d %s\n%d\n", len(file.Path), file.Path, len(file.Text))
		hash.Write(file.Text)
	}
	return hex.EncodeToString(hash.Sum(nil))[:16]
}

// Write makes a set the current one of a folder. At any time, a crash included, a
// reader of current sees the whole old set or the whole new one. It returns the
// set's name and whether anything changed.
func Write(dir string, files []apps.GeneratedFile) (name string, changed bool, err error) {
	if err := os.MkdirAll(filepath.Join(dir, setsFolderName), 0o755); err != nil {
		return "", false, fmt.Errorf("writing a set: %w", err)
	}
	unlock, err := lockFolder(dir)
	if err != nil {
		return "", false, fmt.Errorf("locking %s to write a set: %w", dir, err)
	}
	defer unlock()
	name = contentName(files)
	setDir := filepath.Join(dir, setsFolderName, name)
	if link, err := os.Readlink(filepath.Join(dir, currentLinkName)); err == nil && filepath.Base(link) == name && holdsExactly(setDir, files) {
		return name, false, nil
	}
	if err := removePartialSets(dir); err != nil {
		return "", false, fmt.Errorf("writing a set: %w", err)
	}
	if !holdsExactly(setDir, files) {
		if err := writeSet(dir, setDir, files); err != nil {
			return "", false, fmt.Errorf("writing a set: %w", err)
		}
	}
	// Renaming a new link over the old one replaces it atomically (rename(2)).
	newLink := filepath.Join(dir, "."+currentLinkName)
	os.Remove(newLink)
	if err := os.Symlink(filepath.Join(setsFolderName, name), newLink); err != nil {
		return "", false, fmt.Errorf("writing a set: %w", err)
	}
	if err := os.Rename(newLink, filepath.Join(dir, currentLinkName)); err != nil {
		return "", false, fmt.Errorf("writing a set: %w", err)
	}
	if err := syncDir(dir); err != nil {
		return "", false, fmt.Errorf("writing a set: %w", err)
	}
	return name, true, removeOldSets(dir, name)
}

// lockFolder takes the folder's lock (flock(2)) without waiting, and returns a
// function that releases it. The lock ends with the process too.
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

// removePartialSets removes what an interrupted writer has left.
func removePartialSets(dir string) error {
	entries, err := os.ReadDir(filepath.Join(dir, setsFolderName))
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), ".") {
			if err := os.RemoveAll(filepath.Join(dir, setsFolderName, entry.Name())); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeSet writes a set under a temporary name and renames it once it is complete
// and on disk.
func writeSet(dir, setDir string, files []apps.GeneratedFile) error {
	partial := filepath.Join(dir, setsFolderName, "."+filepath.Base(setDir))
	folders := map[string]bool{partial: true}
	for _, file := range files {
		path := filepath.Join(partial, filepath.FromSlash(file.Path))
		for folder := filepath.Dir(path); !folders[folder]; folder = filepath.Dir(folder) {
			folders[folder] = true
		}
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return err
		}
		if err := writeFile(path, file.Text); err != nil {
			return err
		}
	}
	if len(files) == 0 {
		if err := os.MkdirAll(partial, 0o755); err != nil {
			return err
		}
	}
	for folder := range folders {
		if err := syncDir(folder); err != nil {
			return err
		}
	}
	// A set of this name with another content was edited by hand: replace it.
	if _, err := os.Lstat(setDir); err == nil {
		edited := filepath.Join(dir, setsFolderName, ".edited-"+filepath.Base(setDir))
		if err := os.Rename(setDir, edited); err != nil {
			return err
		}
		defer os.RemoveAll(edited)
	}
	if err := os.Rename(partial, setDir); err != nil {
		return err
	}
	return syncDir(filepath.Dir(setDir))
}

// writeFile writes a file and flushes it to disk.
func writeFile(path string, text []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncDir flushes the entries of a folder to disk.
func syncDir(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// holdsExactly reports whether a folder contains the files of a set and no others.
func holdsExactly(setDir string, files []apps.GeneratedFile) bool {
	existing, err := ReadSet(setDir)
	if err != nil || len(existing) != len(files) {
		return false
	}
	for _, file := range files {
		text, ok := existing[file.Path]
		if !ok || !bytes.Equal(text, file.Text) {
			return false
		}
	}
	return true
}

// ReadSet returns the texts of all files of a set, by their slash-separated paths.
func ReadSet(setDir string) (map[string][]byte, error) {
	setDir, err := filepath.EvalSymlinks(setDir)
	if err != nil {
		return nil, err
	}
	files := map[string][]byte{}
	err = filepath.WalkDir(setDir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		text, _, err := readBounded(path, 16<<20)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(setDir, path)
		if err != nil {
			return err
		}
		files[filepath.ToSlash(relative)] = text
		return nil
	})
	return files, err
}

// ReadCurrentSet reads the current set of a folder. It returns an empty map if there
// is none.
func ReadCurrentSet(dir string) (map[string][]byte, error) {
	files, err := ReadSet(filepath.Join(dir, currentLinkName))
	if errors.Is(err, fs.ErrNotExist) {
		return map[string][]byte{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("reading the current set: %w", err)
	}
	return files, nil
}

// removeOldSets removes all sets but the current one and the newest of the others.
func removeOldSets(dir, current string) error {
	entries, err := os.ReadDir(filepath.Join(dir, setsFolderName))
	if err != nil {
		return fmt.Errorf("removing old sets: %w", err)
	}
	type storedSet struct {
		name    string
		modTime int64
	}
	var sets []storedSet
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil && entry.Name() != current && !strings.HasPrefix(entry.Name(), ".") {
			sets = append(sets, storedSet{entry.Name(), info.ModTime().UnixNano()})
		}
	}
	slices.SortFunc(sets, func(x, y storedSet) int {
		if x.modTime != y.modTime {
			return int(max(-1, min(1, y.modTime-x.modTime)))
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
