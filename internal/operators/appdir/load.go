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
type sourceFile struct {
	path string
	info fs.FileInfo // of the file itself, behind links
	text []byte
}

// Load reads the platform and all descriptions that the paths name: files, or
// folders with *.toml files below them. All faults are findings. The platform is
// the file that is given, or the one called platform.toml in the first folder.
func LoadDescriptions(platform string, paths []string) *Descriptions {
	l := &Descriptions{Sources: apps.Sources{}}
	r := &descriptionReader{result: l}
	for _, p := range paths {
		r.addPath(p, true)
	}
	if platform == "" {
		platform = r.findPlatform(paths)
	}
	r.files = slices.DeleteFunc(r.files, func(f string) bool { return isSameFile(f, platform) })
	if platform == "" {
		l.Findings.Add(apps.NoPlatform, firstOrDot(paths), 0, "no "+PlatformName+" beside the descriptions")
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
	var inputs []sourceFile
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
	r.reportChanges(append(inputs, in), paths)
	l.Findings.Sort()
	return l
}

func firstOrDot(all []string) string {
	if len(all) > 0 {
		return all[0]
	}
	return "."
}

// same tells whether two names are of one file.
func isSameFile(x, y string) bool {
	a, err := os.Stat(x)
	b, err2 := os.Stat(y)
	return err == nil && err2 == nil && os.SameFile(a, b)
}

type descriptionReader struct {
	result     *Descriptions
	files      []string
	found      []foundFile
	foundByKey map[fileKey][]int // of seen
}

type foundFile struct {
	path string
	info fs.FileInfo
}

// fileKey makes files that may be the same few: os.SameFile tells.
type fileKey struct {
	size    int64
	modTime int64
}

// look notes a file, or all descriptions below a folder. Links to files are
// followed, those to folders are not: they may lead round in a circle.
func (r *descriptionReader) addPath(path string, named bool) {
	info, err := os.Stat(path)
	if err != nil {
		r.result.Findings.Add(apps.Unreadable, path, 0, withoutPath(err))
		return
	}
	if !info.IsDir() {
		r.addFile(path, info)
		return
	}
	err = filepath.WalkDir(path, func(at string, d fs.DirEntry, err error) error {
		if err != nil {
			r.result.Findings.Add(apps.Unreadable, at, 0, withoutPath(err))
			return nil
		}
		if d.IsDir() {
			if at != path && (strings.HasPrefix(d.Name(), ".") || isOutputFolder(at)) {
				return filepath.SkipDir
			}
			return nil
		}
		if filepath.Ext(at) != ".toml" || strings.HasPrefix(d.Name(), ".") {
			return nil
		}
		info, err := os.Stat(at)
		if err != nil {
			r.result.Findings.Add(apps.Unreadable, at, 0, withoutPath(err))
			return nil
		}
		if info.IsDir() {
			return nil
		}
		r.addFile(at, info)
		return nil
	})
	if err != nil {
		r.result.Findings.Add(apps.Unreadable, path, 0, withoutPath(err))
	}
}

// isOutput tells whether a folder is one that sets are written to.
func isOutputFolder(path string) bool {
	info, err := os.Lstat(filepath.Join(path, currentLinkName))
	if err != nil || info.Mode()&fs.ModeSymlink == 0 {
		return false
	}
	_, err = os.Stat(filepath.Join(path, setsFolderName))
	return err == nil
}

// note takes a file once, whatever its names.
func (r *descriptionReader) addFile(path string, info fs.FileInfo) {
	if r.foundByKey == nil {
		r.foundByKey = map[fileKey][]int{}
	}
	key := fileKey{info.Size(), info.ModTime().UnixNano()}
	for _, i := range r.foundByKey[key] {
		if os.SameFile(r.found[i].info, info) {
			if r.found[i].path != path {
				r.result.Findings.Add(apps.DuplicateFile, path, 0, "it is the same file as "+r.found[i].path)
			}
			return
		}
	}
	r.foundByKey[key] = append(r.foundByKey[key], len(r.found))
	r.found = append(r.found, foundFile{path, info})
	r.files = append(r.files, path)
}

// platform finds the shared file in a folder that is named, or beside a file.
func (r *descriptionReader) findPlatform(paths []string) string {
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
func (r *descriptionReader) read(path string) (sourceFile, bool) {
	text, info, err := readBounded(path, document.MaxFileSize)
	if err != nil {
		r.result.Findings.Add(apps.Unreadable, path, 0, withoutPath(err))
		return sourceFile{}, false
	}
	return sourceFile{path, info, text}, true
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
func withoutPath(err error) string {
	var p *fs.PathError
	if errors.As(err, &p) {
		return fmt.Sprintf("%s: %v", p.Op, p.Err)
	}
	return err.Error()
}

// unchanged finds files that are not any more what was read, and folders that
// hold other files than before: what was found is of a state that never was.
func (r *descriptionReader) reportChanges(inputs []sourceFile, paths []string) {
	for _, in := range inputs {
		text, info, err := readBounded(in.path, document.MaxFileSize)
		if err != nil || !os.SameFile(info, in.info) || !bytes.Equal(text, in.text) {
			r.result.Findings.Add(apps.ChangedDuringRead, in.path, 0, "the file changed, or went, while the check ran")
		}
	}
	var scratch Descriptions
	again := &descriptionReader{result: &scratch}
	for _, p := range paths {
		again.addPath(p, true)
	}
	for _, f := range again.files {
		if !slices.ContainsFunc(r.found, func(s foundFile) bool { return s.path == f }) {
			r.result.Findings.Add(apps.ChangedDuringRead, f, 0, "the file came while the check ran")
		}
	}
}
