package appdir

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"curlewring/internal/operators/apps"
	"curlewring/internal/operators/document"
)

// PlatformName is the shared file's name where none is given.
const PlatformName = "platform.toml"

// Loaded is what was read.
type Descriptions struct {
	Platform *apps.Platform
	Set      *apps.Set
	Sources  apps.Sources
	Findings apps.Findings
}

// input is a file as it was found and read.
type input struct {
	path string
	info fs.FileInfo // of the file itself, behind links
	text []byte
}

// Load reads the platform and all descriptions that the paths name: files, or
// folders with *.toml files below them. All faults are findings. The platform is
// the file that is given, or the one called platform.toml in the first folder.
func LoadDescriptions(platform string, paths []string) *Descriptions {
	l := &Descriptions{Sources: apps.Sources{}}
	r := &reader{loaded: l}
	for _, p := range paths {
		r.look(p, true)
	}
	if platform == "" {
		platform = r.platform(paths)
	}
	r.files = slices.DeleteFunc(r.files, func(f string) bool { return same(f, platform) })
	if platform == "" {
		l.Findings.Add(apps.NoPlatform, first(paths), 0, "no "+PlatformName+" beside the descriptions")
		return l
	}
	in, ok := r.read(platform)
	if !ok {
		return l
	}
	l.Sources[platform] = in.text
	l.Platform = apps.ReadPlatform(platform, in.text, &l.Findings)
	var all []*apps.App
	byText := map[string]string{}
	var inputs []input
	for _, f := range r.files {
		in, ok := r.read(f)
		if !ok {
			continue
		}
		if other := byText[string(in.text)]; other != "" {
			l.Findings.Add(apps.DuplicateFile, f, 0, "it holds the same as "+other)
			continue
		}
		byText[string(in.text)] = f
		inputs = append(inputs, in)
		l.Sources[f] = in.text
		all = append(all, apps.ReadApp(f, in.text, l.Platform, &l.Findings))
	}
	l.Set = apps.NewSet(l.Platform, all, &l.Findings)
	r.unchanged(append(inputs, in), paths)
	l.Findings.Sort()
	return l
}

func first(all []string) string {
	if len(all) > 0 {
		return all[0]
	}
	return "."
}

// same tells whether two names are of one file.
func same(x, y string) bool {
	a, err := os.Stat(x)
	b, err2 := os.Stat(y)
	return err == nil && err2 == nil && os.SameFile(a, b)
}

type reader struct {
	loaded *Descriptions
	files  []string
	seen   []seenFile
	known  map[fileKey][]int // of seen
}

type seenFile struct {
	path string
	info fs.FileInfo
}

// fileKey makes files that may be the same few: os.SameFile tells.
type fileKey struct {
	size int64
	time int64
}

// look notes a file, or all descriptions below a folder. Links to files are
// followed, those to folders are not: they may lead round in a circle.
func (r *reader) look(path string, named bool) {
	info, err := os.Stat(path)
	if err != nil {
		r.loaded.Findings.Add(apps.Unreadable, path, 0, plain(err))
		return
	}
	if !info.IsDir() {
		r.note(path, info)
		return
	}
	err = filepath.WalkDir(path, func(at string, d fs.DirEntry, err error) error {
		if err != nil {
			r.loaded.Findings.Add(apps.Unreadable, at, 0, plain(err))
			return nil
		}
		if d.IsDir() {
			if at != path && (strings.HasPrefix(d.Name(), ".") || isOutput(at)) {
				return filepath.SkipDir
			}
			return nil
		}
		if filepath.Ext(at) != ".toml" || strings.HasPrefix(d.Name(), ".") {
			return nil
		}
		info, err := os.Stat(at)
		if err != nil {
			r.loaded.Findings.Add(apps.Unreadable, at, 0, plain(err))
			return nil
		}
		if info.IsDir() {
			return nil
		}
		r.note(at, info)
		return nil
	})
	if err != nil {
		r.loaded.Findings.Add(apps.Unreadable, path, 0, plain(err))
	}
}

// isOutput tells whether a folder is one that sets are written to.
func isOutput(path string) bool {
	info, err := os.Lstat(filepath.Join(path, currentName))
	if err != nil || info.Mode()&fs.ModeSymlink == 0 {
		return false
	}
	_, err = os.Stat(filepath.Join(path, setsName))
	return err == nil
}

// note takes a file once, whatever its names.
func (r *reader) note(path string, info fs.FileInfo) {
	if r.known == nil {
		r.known = map[fileKey][]int{}
	}
	key := fileKey{info.Size(), info.ModTime().UnixNano()}
	for _, i := range r.known[key] {
		if os.SameFile(r.seen[i].info, info) {
			if r.seen[i].path != path {
				r.loaded.Findings.Add(apps.DuplicateFile, path, 0, "it is the same file as "+r.seen[i].path)
			}
			return
		}
	}
	r.known[key] = append(r.known[key], len(r.seen))
	r.seen = append(r.seen, seenFile{path, info})
	r.files = append(r.files, path)
}

// platform finds the shared file in a folder that is named, or beside a file.
func (r *reader) platform(paths []string) string {
	for _, p := range paths {
		dir := p
		if info, err := os.Stat(p); err == nil && !info.IsDir() {
			dir = filepath.Dir(p)
		}
		at := filepath.Join(dir, PlatformName)
		if _, err := os.Stat(at); err == nil {
			return at
		}
	}
	return ""
}

// read reads a file whole, up to one byte more than may be.
func (r *reader) read(path string) (input, bool) {
	text, info, err := readBounded(path, document.MaxFileSize)
	if err != nil {
		r.loaded.Findings.Add(apps.Unreadable, path, 0, plain(err))
		return input{}, false
	}
	return input{path, info, text}, true
}

func readBounded(path string, most int64) ([]byte, fs.FileInfo, error) {
	// A pipe would be waited for when it is opened.
	if info, err := os.Stat(path); err != nil {
		return nil, nil, err
	} else if !info.Mode().IsRegular() {
		return nil, nil, errors.New("no regular file")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, nil, err
	}
	text, err := io.ReadAll(io.LimitReader(f, most+1))
	return text, info, err
}

// plain is an error without the path, which the finding names.
func plain(err error) string {
	var p *fs.PathError
	if errors.As(err, &p) {
		return fmt.Sprintf("%s: %v", p.Op, p.Err)
	}
	return err.Error()
}

// unchanged finds files that are not any more what was read, and folders that
// hold other files than before: what was found is of a state that never was.
func (r *reader) unchanged(inputs []input, paths []string) {
	for _, in := range inputs {
		text, info, err := readBounded(in.path, document.MaxFileSize)
		if err != nil || !os.SameFile(info, in.info) || !bytes.Equal(text, in.text) {
			r.loaded.Findings.Add(apps.ChangedDuringRead, in.path, 0, "the file changed, or went, while the check ran")
		}
	}
	var scratch Descriptions
	again := &reader{loaded: &scratch}
	for _, p := range paths {
		again.look(p, true)
	}
	for _, f := range again.files {
		if !slices.ContainsFunc(r.seen, func(s seenFile) bool { return s.path == f }) {
			r.loaded.Findings.Add(apps.ChangedDuringRead, f, 0, "the file came while the check ran")
		}
	}
}
