package appdir

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"curlewring/internal/operators/apps"
	"curlewring/internal/operators/document"
)

const (
	goodSet  = "one"
	platform = "platform.toml"
)

// root is this package's folder; the tests change to others.
var root string

func TestMain(m *testing.M) {
	var err error
	if root, err = os.Getwd(); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// unpackGood unpacks a good set and changes to its folder.
func unpackGood(t *testing.T, name string) {
	t.Helper()
	unpack(t, filepath.Join(root, "testdata/good", name+".txt"))
}

// write writes a file and creates its folder.
func write(t *testing.T, name, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// read returns the text of a file.
func read(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// codes returns the codes of findings.
func codes(findings apps.Findings) []string {
	var result []string
	for i := range findings {
		result = append(result, findings[i].Code)
	}
	return result
}

// mustWrite generates the set of the current folder and writes it to out.
func mustWrite(t *testing.T) []apps.GeneratedFile {
	t.Helper()
	loaded := LoadDescriptions("", []string{"."})
	if loaded.Findings.Worst() == 2 {
		t.Fatal(loaded.Findings)
	}
	files := loaded.Set.Generate(loaded.Sources)
	if _, _, err := Write("out", files); err != nil {
		t.Fatal(err)
	}
	return files
}

// checkedCodes checks the descriptions and the written set, and returns the codes of
// the findings.
func checkedCodes(t *testing.T) []string {
	t.Helper()
	loaded := LoadDescriptions("", []string{"."})
	findings := loaded.Findings
	if err := CheckGenerated("out", loaded.Set.Generate(loaded.Sources), &findings); err != nil {
		t.Fatal(err)
	}
	return slices.Compact(codes(findings))
}

// Files that can't be read, or should not be, must be reported as findings and not
// keep the others from being read.
func TestUnreadableFiles(t *testing.T) {
	for _, x := range []struct {
		name, code string
		make       func() error
	}{
		{"dangling link", "SC001", func() error { return os.Symlink("nowhere", "x.toml") }},
		{"link to itself", "SC001", func() error { return os.Symlink("x.toml", "x.toml") }},
		{"too large", "SC002", func() error { return os.WriteFile("x.toml", make([]byte, document.MaxFileSize+1), 0o644) }},
		{"link to a description", "SC015", func() error { return os.Symlink("leitstand.toml", "x.toml") }},
		{"hard link", "SC015", func() error { return os.Link("leitstand.toml", "x.toml") }},
		{"not UTF-8", "SC004", func() error { return os.WriteFile("x.toml", []byte("name = \"\xff\"\n"), 0o644) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			unpackGood(t, goodSet)
			if err := x.make(); err != nil {
				t.Fatal(err)
			}
			loaded := LoadDescriptions("", []string{"."})
			if got := codes(loaded.Findings); !slices.Contains(got, x.code) {
				t.Errorf("got %v, want %s", loaded.Findings, x.code)
			}
			if loaded.Set == nil || len(loaded.Set.Apps) == 0 {
				t.Error("the good description was not read")
			}
		})
	}
	t.Run("link to its own folder, and a folder called x.toml", func(t *testing.T) {
		unpackGood(t, goodSet)
		os.Symlink(".", "round")
		os.Mkdir("x.toml", 0o755)
		if loaded := LoadDescriptions("", []string{"."}); len(loaded.Findings) > 0 {
			t.Error(loaded.Findings)
		}
	})
	t.Run("file that does not exist", func(t *testing.T) {
		unpackGood(t, goodSet)
		if got := codes(LoadDescriptions("", []string{"leitstand.toml", "gone.toml"}).Findings); !slices.Equal(got, []string{"SC001"}) {
			t.Error(got)
		}
	})
}

// Changes in the folder during the check must be reported, since the findings may be
// of a mixture of old and new files.
func TestChangesDuringCheck(t *testing.T) {
	unpackGood(t, goodSet)
	for _, x := range []struct {
		name   string
		change func()
	}{
		{"text changed", func() { write(t, "leitstand.toml", read(t, "leitstand.toml")+"# more\n") }},
		{"file removed", func() { os.Remove("leitstand.toml") }},
		{"file added", func() { write(t, "neu.toml", "schema = 1\n") }},
	} {
		t.Run(x.name, func(t *testing.T) {
			loaded := &Descriptions{Sources: apps.Sources{}}
			r := &descriptionReader{result: loaded}
			r.addPath(".", true)
			var sourceFiles []sourceFile
			for _, f := range r.files {
				source, ok := r.read(f)
				if !ok {
					t.Fatal(loaded.Findings)
				}
				sourceFiles = append(sourceFiles, source)
			}
			r.reportChanges(sourceFiles, []string{"."})
			if len(loaded.Findings) > 0 {
				t.Fatal("findings before any change:", loaded.Findings)
			}
			x.change()
			r.reportChanges(sourceFiles, []string{"."})
			if got := codes(loaded.Findings); !slices.Equal(got, []string{string(apps.ChangedDuringRead)}) {
				t.Error(got)
			}
		})
	}
}

// The generated files must be those in testdata/golden, byte for byte.
func TestGolden(t *testing.T) {
	golden, err := filepath.Abs("testdata/golden")
	if err != nil {
		t.Fatal(err)
	}
	unpackGood(t, "routes-and-limits")
	files := mustWrite(t)
	for _, w := range files {
		path := filepath.Join(golden, strings.ReplaceAll(w.Path, "/", "_"))
		if os.Getenv("CURLEWRING_WRITE") != "" {
			write(t, path, string(w.Text))
			continue
		}
		if want := read(t, path); want != string(w.Text) {
			t.Errorf("%s is\n%s\nwant\n%s", w.Path, w.Text, want)
		}
	}
}

// The check must report edits to a written set, and changes of its descriptions
// since it was written.
func TestWrittenSets(t *testing.T) {
	nodeConfig := "out/current/zh-1/leitstand/node.json"
	for _, x := range []struct {
		name string
		want []string
		do   func(t *testing.T)
	}{
		{"no change", nil, func(t *testing.T) {}},
		{"number edited", []string{"SC060"}, func(t *testing.T) {
			write(t, nodeConfig, strings.Replace(read(t, nodeConfig), `"memory_mb": 32`, `"memory_mb": 33`, 1))
		}},
		{"line appended to a unit", []string{"SC060"}, func(t *testing.T) {
			unit := "out/current/zh-1/units/curlewring-leitstand.service"
			write(t, unit, read(t, unit)+"Nice=1\n")
		}},
		{"file added", []string{"SC060"}, func(t *testing.T) { write(t, "out/current/zh-1/leitstand/more.txt", "x\n") }},
		{"description changed", []string{"SC061"}, func(t *testing.T) { write(t, "leitstand.toml", read(t, "leitstand.toml")+"# more\n") }},
		{"platform changed", []string{"SC061"}, func(t *testing.T) { write(t, platform, read(t, platform)+"# more\n") }},
		{"description removed", []string{"SC062"}, func(t *testing.T) { os.Remove("leitstand.toml") }},
		{"description added", []string{"SC063"}, func(t *testing.T) {
			write(t, "zweit.toml", strings.NewReplacer(`"leitstand"`, `"zweit"`, "15001", "15003", "8080", "8083").Replace(read(t, "leitstand.toml")))
		}},
		{"listening on all addresses", []string{"SC060", "SC064"}, func(t *testing.T) {
			write(t, nodeConfig, strings.Replace(read(t, nodeConfig), "127.0.0.1:15001", "0.0.0.0:15001", 1))
		}},
		{"two schema steps ahead", []string{"SC060", "SC064", "SC066"}, func(t *testing.T) {
			write(t, nodeConfig, strings.Replace(read(t, nodeConfig), `"schema": 1`, `"schema": 3`, 1))
		}},
		{"without a schema version", []string{"SC060", "SC065"}, func(t *testing.T) {
			write(t, nodeConfig, strings.Replace(read(t, nodeConfig), "  \"schema\": 1,\n", "", 1))
		}},
		{"invalid JSON", []string{"SC061", "SC064"}, func(t *testing.T) { write(t, nodeConfig, "{\n") }},
	} {
		t.Run(x.name, func(t *testing.T) {
			unpackGood(t, goodSet)
			mustWrite(t)
			x.do(t)
			got := checkedCodes(t)
			slices.Sort(got)
			if got = slices.Compact(got); !slices.Equal(got, x.want) {
				t.Errorf("got %v, want %v", got, x.want)
			}
			// Writing the set again must repair all of it.
			if x.name != "description removed" {
				mustWrite(t)
				if got := checkedCodes(t); len(got) > 0 {
					t.Errorf("after writing again: %v", got)
				}
			}
		})
	}
}

// A reader of current must see one complete set at any time while sets are written,
// and an interrupted, failed or second writer must leave the current set as it is.
func TestSetsAreReplacedAtomically(t *testing.T) {
	dir := t.TempDir()
	set := func(n int) (all []apps.GeneratedFile) {
		for i := range 20 {
			all = append(all, apps.GeneratedFile{Path: fmt.Sprintf("h%d/f%d", i%4, i), Text: fmt.Appendf(nil, "set %d\n", n)})
		}
		return all
	}
	if _, _, err := Write(dir, set(0)); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var readers sync.WaitGroup
	reads := 0
	readers.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			// The set that current pointed to may be removed as too old while it is read,
			// but a mixture of two sets must never be seen.
			link, err := os.Readlink(filepath.Join(dir, "current"))
			if err != nil {
				t.Errorf("no current set: %v", err)
				return
			}
			all, err := ReadSet(filepath.Join(dir, link))
			if err != nil {
				continue
			}
			reads++
			var first []byte
			for _, text := range all {
				if first == nil {
					first = text
				}
				if !bytes.Equal(first, text) {
					t.Errorf("mixture of two sets: %q and %q", first, text)
				}
			}
		}
	})
	for n := 1; n <= 30; n++ {
		if _, changed, err := Write(dir, set(n)); err != nil || !changed {
			t.Fatal(changed, err)
		}
	}
	close(stop)
	readers.Wait()
	if reads == 0 {
		t.Error("no set was read")
	}
	if all, _ := os.ReadDir(filepath.Join(dir, "sets")); len(all) != keptSets {
		t.Errorf("%d sets are kept, want %d", len(all), keptSets)
	}
	if name, changed, err := Write(dir, set(30)); err != nil || changed || name == "" {
		t.Error("writing the same set again:", changed, err)
	}
	// What an interrupted writer has left must be removed.
	os.MkdirAll(filepath.Join(dir, "sets", ".0123456789abcdef", "h0"), 0o755)
	if _, _, err := Write(dir, set(31)); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(dir, "sets", ".0123456789abcdef")); !errors.Is(err, fs.ErrNotExist) {
		t.Error("a partial set was left")
	}
	// A set that can't be written, with a path that is both file and folder, must
	// change nothing.
	before, _ := ReadCurrentSet(dir)
	if _, _, err := Write(dir, []apps.GeneratedFile{{Path: "a", Text: []byte("x")}, {Path: "a/b", Text: []byte("y")}}); err == nil {
		t.Error("a set with a path that is both file and folder was written")
	}
	if after, _ := ReadCurrentSet(dir); len(after) != len(before) || len(after) == 0 {
		t.Error("the old set was removed or changed")
	}
	// A second writer must be rejected.
	unlock, err := lockFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Write(dir, set(32)); !errors.Is(err, errLocked) {
		t.Errorf("two writers: %v", err)
	}
	unlock()
}

// writeFleet writes n descriptions that form call chains of two sidecars.
func writeFleet(t *testing.T, n int) {
	t.Helper()
	text := strings.Replace(read(t, platform), "nodes = 16", "nodes = 5000", 1)
	text = strings.Replace(text, "nodes = 8", "nodes = 5000", 1)
	text = strings.ReplaceAll(text, "memory_mb = 128\ndescriptors = 2048\ncores = 2\n", "")
	write(t, platform, text)
	os.Remove("leitstand.toml")
	for i := range n {
		service, classes, serves := "liftdienst", `"stoerung"`, ""
		if i%10 == 0 {
			service, serves = "archiv", "serves = \"liftdienst\"\n"
		}
		write(t, fmt.Sprintf("apps/a%04d.toml", i), fmt.Sprintf("schema = 1\nname = \"a%04d\"\nsites = [\"zuerich\"]\nservice = %q\nclasses = [%s]\n%sport = %d\n[[route]]\nclass = \"stoerung\"\nattempts = 2\nattempt_timeout = \"1s\"\n",
			i, service, classes, serves, 2000+i))
	}
}

// The time of a check must be linear in the number of descriptions.
func TestManyDescriptions(t *testing.T) {
	sizes := []int{125, 250, 500, 1000}
	var secondsEach []float64
	for _, n := range sizes {
		unpackGood(t, goodSet)
		writeFleet(t, n)
		best := time.Hour
		for range 3 {
			start := time.Now()
			loaded := LoadDescriptions("", []string{"."})
			best = min(best, time.Since(start))
			if loaded.Findings.Worst() == 2 {
				t.Fatal(loaded.Findings[0])
			}
			if len(loaded.Set.Apps) != n {
				t.Fatalf("%d of %d descriptions", len(loaded.Set.Apps), n)
			}
		}
		start := time.Now()
		mustWrite(t)
		t.Logf("| %d descriptions | checked in %.0f ms, %.0f us each | written in %.0f ms |", n, best.Seconds()*1e3,
			best.Seconds()*1e6/float64(n), time.Since(start).Seconds()*1e3)
		secondsEach = append(secondsEach, best.Seconds()/float64(n))
	}
	if secondsEach[len(secondsEach)-1] > 4*secondsEach[0] {
		t.Errorf("%.0f us for each of %d descriptions, %.0f us for each of %d", secondsEach[0]*1e6, sizes[0], secondsEach[len(secondsEach)-1]*1e6, sizes[len(sizes)-1])
	}
}
