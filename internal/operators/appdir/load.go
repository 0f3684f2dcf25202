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

// PlatformName is the platform file's name unless another one is given.
const PlatformName = "platform.toml"

// Descriptions is the result of reading descriptions. Platform and Set are nil if
// the platform file could not be read.
type Descriptions struct {
	Platform *apps.Platform
	Set      *apps.Set
	Sources  apps.Sources
	Findings apps.Findings
}

// sourceFile is a file with the text that was read from it.
type sourceFile struct {
	path string
	info fs.FileInfo // of the file itself, not of a link to it
	text []byte
}

// LoadDescriptions reads the platform file and all descriptions that the paths name:
// files, or folders with *.toml files below them. All faults are findings. Unless a
// platform file is given, it is the first platform.toml in a named folder or beside
// a named file.
func LoadDescriptions(platform string, paths []string) *Descriptions {
	result := &Descriptions{Sources: apps.Sources{}}
	r := &descriptionReader{result: result}
	for _, p := range paths {
		r.addPath(p, true)
	}
	if platform == "" {
		platform = r.findPlatform(paths)
	}
	r.files = slices.DeleteFunc(r.files, func(f string) bool { return isSameFile(f, platform) })
	if platform == "" {
		result.Findings.Add(apps.NoPlatform, firstOrDot(paths), 0, "no "+PlatformName+" beside the descriptions")
		return result
	}
	in, ok := r.read(platform)
	if !ok {
		return result
	}
	result.Sources[platform] = in.text
	result.Platform = apps.ReadPlatform(platform, in.text, &result.Findings)
	var applications []*apps.App
	byText := map[string]string{}
	var sourceFiles []sourceFile
	for _, f := range r.files {
		in, ok := r.read(f)
		if !ok {
			continue
		}
		if other := byText[string(in.text)]; other != "" {
			result.Findings.Add(apps.DuplicateFile, f, 0, "it holds the same as "+other)
			continue
		}
		byText[string(in.text)] = f
		sourceFiles = append(sourceFiles, in)
		result.Sources[f] = in.text
		applications = append(applications, apps.ReadApp(f, in.text, result.Platform, &result.Findings))
	}
	result.Set = apps.NewSet(result.Platform, applications, &result.Findings)
	r.reportChanges(append(sourceFiles, in), paths)
	result.Findings.Sort()
	return result
}

// firstOrDot returns the first element, or "." of an empty list.
func firstOrDot(list []string) string {
	if len(list) > 0 {
		return list[0]
	}
	return "."
}

// isSameFile reports whether two paths lead to the same file.
func isSameFile(path1, path2 string) bool {
	info1, err1 := os.Stat(path1)
	info2, err2 := os.Stat(path2)
	return err1 == nil && err2 == nil && os.SameFile(info1, info2)
}

// descriptionReader finds and reads files, each once, and collects findings.
type descriptionReader struct {
	result     *Descriptions
	files      []string
	found      []foundFile
	foundByKey map[fileKey][]int // indexes of found
}

// foundFile is a file with the path under which it was found first.
type foundFile struct {
	path string
	info fs.FileInfo
}

// fileKey narrows down the files that os.SameFile has to compare.
type fileKey struct {
	size    int64
	modTime int64
}

// addPath adds a file, or all descriptions below a folder. Links to files are
// followed. Links to folders are not, since they may form a cycle.
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

// isOutputFolder reports whether sets are written to a folder.
func isOutputFolder(path string) bool {
	info, err := os.Lstat(filepath.Join(path, currentLinkName))
	if err != nil || info.Mode()&fs.ModeSymlink == 0 {
		return false
	}
	_, err = os.Stat(filepath.Join(path, setsFolderName))
	return err == nil
}

// addFile adds a file, and reports one that was found under another path before.
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

// findPlatform returns the first platform file in a named folder or beside a named
// file; "" if there is none.
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

// read reads a file, up to one byte more than the maximum size, so that a larger one
// is detected.
func (r *descriptionReader) read(path string) (sourceFile, bool) {
	text, info, err := readBounded(path, document.MaxFileSize)
	if err != nil {
		r.result.Findings.Add(apps.Unreadable, path, 0, withoutPath(err))
		return sourceFile{}, false
	}
	return sourceFile{path, info, text}, true
}

// readBounded reads up to maxSize+1 bytes of a regular file.
func readBounded(path string, maxSize int64) ([]byte, fs.FileInfo, error) {
	// Checked before opening, since opening a pipe would block.
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
	text, err := io.ReadAll(io.LimitReader(f, maxSize+1))
	return text, info, err
}

// withoutPath formats an error without its path, which the finding has already.
func withoutPath(err error) string {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return fmt.Sprintf("%s: %v", pathError.Op, pathError.Err)
	}
	return err.Error()
}

// reportChanges reports files that have changed, disappeared or appeared since they
// were read: the findings may then be of a mixture of old and new files.
func (r *descriptionReader) reportChanges(sourceFiles []sourceFile, paths []string) {
	for _, source := range sourceFiles {
		text, info, err := readBounded(source.path, document.MaxFileSize)
		if err != nil || !os.SameFile(info, source.info) || !bytes.Equal(text, source.text) {
			r.result.Findings.Add(apps.ChangedDuringRead, source.path, 0, "the file changed, or went, while the check ran")
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
