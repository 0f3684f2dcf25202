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

// root is this package's folder: tests go elsewhere.
var root string

func TestMain(m *testing.M) {
	var err error
	if root, err = os.Getwd(); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// stand unpacks a good set and goes there.
func stand(t *testing.T, name string) {
	t.Helper()
	unpack(t, filepath.Join(root, "testdata/good", name+".txt"))
}

func write(t *testing.T, name, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

func read(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func codes(f apps.Findings) []string {
	var all []string
	for i := range f {
		all = append(all, f[i].Code)
	}
	return all
}

func mustWrite(t *testing.T) []apps.GeneratedFile {
	t.Helper()
	l := LoadDescriptions("", []string{"."})
	if l.Findings.Worst() == 2 {
		t.Fatal(l.Findings)
	}
	all := l.Set.Generate(l.Sources)
	if _, _, err := Write("out", all); err != nil {
		t.Fatal(err)
	}
	return all
}

// checked are the codes that a check of descriptions and written set gives.
func checked(t *testing.T) []string {
	t.Helper()
	l := LoadDescriptions("", []string{"."})
	findings := l.Findings
	if err := CheckGenerated("out", l.Set.Generate(l.Sources), &findings); err != nil {
		t.Fatal(err)
	}
	return slices.Compact(codes(findings))
}

// Files that cannot be read, or should not be, are findings and nothing worse.
func TestFilesThatCannotBeRead(t *testing.T) {
	for _, x := range []struct {
		name, code string
		make       func() error
	}{
		{"a link to nothing", "SC001", func() error { return os.Symlink("nowhere", "x.toml") }},
		{"a link to itself", "SC001", func() error { return os.Symlink("x.toml", "x.toml") }},
		{"too large", "SC002", func() error { return os.WriteFile("x.toml", make([]byte, document.MaxFileSize+1), 0o644) }},
		{"a link to a description", "SC015", func() error { return os.Symlink("leitstand.toml", "x.toml") }},
		{"a hard link", "SC015", func() error { return os.Link("leitstand.toml", "x.toml") }},
		{"not UTF-8", "SC004", func() error { return os.WriteFile("x.toml", []byte("name = \"\xff\"\n"), 0o644) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			stand(t, goodSet)
			if err := x.make(); err != nil {
				t.Fatal(err)
			}
			l := LoadDescriptions("", []string{"."})
			if got := codes(l.Findings); !slices.Contains(got, x.code) {
				t.Errorf("got %v, want %s", l.Findings, x.code)
			}
			if l.Set == nil || len(l.Set.Apps) == 0 {
				t.Error("the good description is lost")
			}
		})
	}
	t.Run("a folder in a circle, and a folder called x.toml", func(t *testing.T) {
		stand(t, goodSet)
		os.Symlink(".", "round")
		os.Mkdir("x.toml", 0o755)
		if l := LoadDescriptions("", []string{"."}); len(l.Findings) > 0 {
			t.Error(l.Findings)
		}
	})
	t.Run("a file that is not there", func(t *testing.T) {
		stand(t, goodSet)
		if got := codes(LoadDescriptions("", []string{"leitstand.toml", "gone.toml"}).Findings); !slices.Equal(got, []string{"SC001"}) {
			t.Error(got)
		}
	})
}

// A folder that changes during the check is told: what was found is of no state
// that ever was.
func TestFolderThatChanges(t *testing.T) {
	stand(t, goodSet)
	for _, x := range []struct {
		name   string
		change func()
	}{
		{"text", func() { write(t, "leitstand.toml", read(t, "leitstand.toml")+"# more\n") }},
		{"gone", func() { os.Remove("leitstand.toml") }},
		{"come", func() { write(t, "neu.toml", "schema = 1\n") }},
	} {
		t.Run(x.name, func(t *testing.T) {
			l := &Descriptions{Sources: apps.Sources{}}
			r := &descriptionReader{result: l}
			r.addPath(".", true)
			var inputs []sourceFile
			for _, f := range r.files {
				in, ok := r.read(f)
				if !ok {
					t.Fatal(l.Findings)
				}
				inputs = append(inputs, in)
			}
			r.reportChanges(inputs, []string{"."})
			if len(l.Findings) > 0 {
				t.Fatal("nothing has changed yet", l.Findings)
			}
			x.change()
			r.reportChanges(inputs, []string{"."})
			if got := codes(l.Findings); !slices.Equal(got, []string{string(apps.ChangedDuringRead)}) {
				t.Error(got)
			}
		})
	}
}

// What write makes is the text that is kept here, byte for byte.
func TestGolden(t *testing.T) {
	golden, err := filepath.Abs("testdata/golden")
	if err != nil {
		t.Fatal(err)
	}
	stand(t, "routes-and-limits")
	all := mustWrite(t)
	for _, w := range all {
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

// Whatever is done to a written set by hand, or to its descriptions, is found.
func TestWrittenSets(t *testing.T) {
	node := "out/current/zh-1/leitstand/node.json"
	for _, x := range []struct {
		name string
		want []string
		do   func(t *testing.T)
	}{
		{"nothing", nil, func(t *testing.T) {}},
		{"a number edited", []string{"SC060"}, func(t *testing.T) {
			write(t, node, strings.Replace(read(t, node), `"memory_mb": 32`, `"memory_mb": 33`, 1))
		}},
		{"a line appended to a unit", []string{"SC060"}, func(t *testing.T) {
			unit := "out/current/zh-1/units/curlewring-leitstand.service"
			write(t, unit, read(t, unit)+"Nice=1\n")
		}},
		{"a file added", []string{"SC060"}, func(t *testing.T) { write(t, "out/current/zh-1/leitstand/more.txt", "x\n") }},
		{"the description changed", []string{"SC061"}, func(t *testing.T) { write(t, "leitstand.toml", read(t, "leitstand.toml")+"# more\n") }},
		{"the platform changed", []string{"SC061"}, func(t *testing.T) { write(t, platform, read(t, platform)+"# more\n") }},
		{"the description gone", []string{"SC062"}, func(t *testing.T) { os.Remove("leitstand.toml") }},
		{"a description more", []string{"SC063"}, func(t *testing.T) {
			write(t, "zweit.toml", strings.NewReplacer(`"leitstand"`, `"zweit"`, "15001", "15003", "8080", "8083").Replace(read(t, "leitstand.toml")))
		}},
		{"listening for all", []string{"SC060", "SC064"}, func(t *testing.T) {
			write(t, node, strings.Replace(read(t, node), "127.0.0.1:15001", "0.0.0.0:15001", 1))
		}},
		{"two schema steps ahead", []string{"SC060", "SC064", "SC066"}, func(t *testing.T) {
			write(t, node, strings.Replace(read(t, node), `"schema": 1`, `"schema": 3`, 1))
		}},
		{"of before there were descriptions", []string{"SC060", "SC065"}, func(t *testing.T) {
			write(t, node, strings.Replace(read(t, node), "  \"schema\": 1,\n", "", 1))
		}},
		{"no JSON", []string{"SC061", "SC064"}, func(t *testing.T) { write(t, node, "{\n") }},
	} {
		t.Run(x.name, func(t *testing.T) {
			stand(t, goodSet)
			mustWrite(t)
			x.do(t)
			got := checked(t)
			slices.Sort(got)
			if got = slices.Compact(got); !slices.Equal(got, x.want) {
				t.Errorf("got %v, want %v", got, x.want)
			}
			// Writing again mends it all.
			if x.name != "the description gone" {
				mustWrite(t)
				if got := checked(t); len(got) > 0 {
					t.Errorf("after writing again: %v", got)
				}
			}
		})
	}
}

// A reader of current must see one whole set or the other, however often it is
// written over, and a writer that is stopped half-way must leave the old one.
func TestSetsAreReplacedAtOnce(t *testing.T) {
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
	end := make(chan struct{})
	var readers sync.WaitGroup
	reads := 0
	readers.Go(func() {
		for {
			select {
			case <-end:
				return
			default:
			}
			// The set behind current may be removed as too old while it is read; no
			// half of one may be seen.
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
					t.Errorf("two sets at once: %q and %q", first, text)
				}
			}
		}
	})
	for n := 1; n <= 30; n++ {
		if _, changed, err := Write(dir, set(n)); err != nil || !changed {
			t.Fatal(changed, err)
		}
	}
	close(end)
	readers.Wait()
	if reads == 0 {
		t.Error("nothing was read")
	}
	if all, _ := os.ReadDir(filepath.Join(dir, "sets")); len(all) != keptSets {
		t.Errorf("%d sets are kept, want %d", len(all), keptSets)
	}
	if name, changed, err := Write(dir, set(30)); err != nil || changed || name == "" {
		t.Error("the same set again:", changed, err)
	}
	// What a stopped writer left is cleared away, and never was current.
	os.MkdirAll(filepath.Join(dir, "sets", ".0123456789abcdef", "h0"), 0o755)
	if _, _, err := Write(dir, set(31)); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(dir, "sets", ".0123456789abcdef")); !errors.Is(err, fs.ErrNotExist) {
		t.Error("a half set was left")
	}
	// A file where the folder must go: nothing changes.
	before, _ := ReadCurrentSet(dir)
	if _, _, err := Write(dir, []apps.GeneratedFile{{Path: "a", Text: []byte("x")}, {Path: "a/b", Text: []byte("y")}}); err == nil {
		t.Error("an impossible set was written")
	}
	if after, _ := ReadCurrentSet(dir); len(after) != len(before) || len(after) == 0 {
		t.Error("the old set is gone")
	}
	// A second writer is turned away.
	unlock, err := lockFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Write(dir, set(32)); !errors.Is(err, errLocked) {
		t.Errorf("two writers: %v", err)
	}
	unlock()
}

// fleet writes so many descriptions, in chains of two.
func fleet(t *testing.T, n int) {
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

// The time of a check must grow with the number of descriptions and no faster.
func TestManyDescriptions(t *testing.T) {
	sizes := []int{125, 250, 500, 1000}
	var each []float64
	for _, n := range sizes {
		stand(t, goodSet)
		fleet(t, n)
		best := time.Hour
		for range 3 {
			begun := time.Now()
			l := LoadDescriptions("", []string{"."})
			best = min(best, time.Since(begun))
			if l.Findings.Worst() == 2 {
				t.Fatal(l.Findings[0])
			}
			if len(l.Set.Apps) != n {
				t.Fatalf("%d of %d descriptions", len(l.Set.Apps), n)
			}
		}
		begun := time.Now()
		mustWrite(t)
		t.Logf("| %d descriptions | checked in %.0f ms, %.0f us each | written in %.0f ms |", n, best.Seconds()*1e3,
			best.Seconds()*1e6/float64(n), time.Since(begun).Seconds()*1e3)
		each = append(each, best.Seconds()/float64(n))
	}
	if each[len(each)-1] > 4*each[0] {
		t.Errorf("a description takes %.0f us among %d and %.0f us among %d", each[0]*1e6, sizes[0], each[len(each)-1]*1e6, sizes[len(sizes)-1])
	}
}
