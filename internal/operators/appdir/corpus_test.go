package appdir

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"

	"curlewring/internal/operators/apps"
)

// unpack writes an archive's files to a folder, and goes there: findings name
// files as somebody who stands there would.
func unpack(t *testing.T, archive string) *txtar.Archive {
	t.Helper()
	a, err := txtar.ParseFile(archive)
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir())
	for _, f := range a.Files {
		if err := os.WriteFile(f.Name, f.Data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return a
}

// wants are the findings that an archive says it must give: "file:line code", with the
// rule where it names one. A line says so itself, a whole file in the head.
func wants(a *txtar.Archive) (all []string, rules map[string]string) {
	rules = map[string]string{}
	head := regexp.MustCompile(`(?m)^want (\S+):0 (\w+)$`)
	for _, m := range head.FindAllStringSubmatch(string(a.Comment), -1) {
		all = append(all, m[1]+":0 "+m[2])
	}
	mark := regexp.MustCompile(`# want (\w+)(?: \((rule \d)\))?\s*$`)
	for _, f := range a.Files {
		for i, line := range strings.Split(string(f.Data), "\n") {
			if m := mark.FindStringSubmatch(line); m != nil {
				w := fmt.Sprintf("%s:%d %s", f.Name, i+1, m[1])
				all = append(all, w)
				rules[w] = m[2]
			}
		}
	}
	slices.Sort(all)
	return all, rules
}

func archives(t *testing.T, kind string) []string {
	t.Helper()
	all, err := filepath.Glob("testdata/" + kind + "/*.txt")
	if err != nil || len(all) == 0 {
		t.Fatal("no archives", err)
	}
	for i := range all {
		if all[i], err = filepath.Abs(all[i]); err != nil {
			t.Fatal(err)
		}
	}
	return all
}

// Each broken set must give exactly the findings that it names, with line and
// rule, and each finding must say what to do.
func TestBrokenSets(t *testing.T) {
	all := archives(t, "broken")
	if len(all) < 80 {
		t.Errorf("only %d broken sets", len(all))
	}
	seen := map[string]bool{}
	for _, path := range all {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			a := unpack(t, path)
			want, rules := wants(a)
			if len(want) == 0 {
				t.Fatal("the set names no finding")
			}
			l := LoadDescriptions("", []string{"."})
			var got []string
			for _, f := range l.Findings {
				w := fmt.Sprintf("%s:%d %s", f.File, f.Line, f.Code)
				got = append(got, w)
				seen[f.Code] = true
				if rule := rules[w]; rule != "" && rule != f.Rule {
					t.Errorf("%s: %q, want %q", w, f.Rule, rule)
				}
				if strings.HasPrefix(f.Code, "SC") && f.Remedy == "" || f.Text == "" {
					t.Errorf("it says too little: %+v", f)
				}
			}
			slices.Sort(got)
			if !slices.Equal(got, want) {
				t.Errorf("got  %v\nwant %v\n%v", got, want, l.Findings)
			}
		})
	}
	// The others are provoked by tests of their own.
	elsewhere := []apps.Code{apps.Unreadable, apps.TooLarge, apps.ChangedDuringRead, apps.HandEdited, apps.OutdatedFile, apps.OrphanFile,
		apps.NotWritten, apps.NodeRefuses, apps.SchemaTooOld, apps.SchemaTooNew}
	for _, c := range apps.Codes() {
		if !seen[string(c.Code)] && !slices.Contains(elsewhere, c.Code) {
			t.Errorf("no broken set gives %s", c.Code)
		}
	}
}

// Good sets must give no finding, and what is written of them must be accepted by
// the node's own reader, be the same for the same input, and check clean.
func TestGoodSets(t *testing.T) {
	for _, path := range archives(t, "good") {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			unpack(t, path)
			l := LoadDescriptions("", []string{"."})
			if len(l.Findings) > 0 {
				t.Fatal(l.Findings)
			}
			all := l.Set.Generate(l.Sources)
			again := LoadDescriptions("", []string{"."})
			if !slices.EqualFunc(all, again.Set.Generate(again.Sources), func(x, y apps.GeneratedFile) bool {
				return x.Path == y.Path && string(x.Text) == string(y.Text)
			}) {
				t.Error("written differently the second time")
			}
			if _, changed, err := Write("out", all); err != nil || !changed {
				t.Fatal(changed, err)
			}
			var findings apps.Findings
			if err := CheckGenerated("out", all, &findings); err != nil || len(findings) > 0 {
				t.Error(err, findings)
			}
			for _, w := range all {
				if sealed, marked := apps.VerifyChecksum(w.Text); !sealed || !marked {
					t.Errorf("%s does not bear its sum", w.Path)
				}
			}
		})
	}
}

// Every code is documented once, under the level and rule that findings have.
func TestFindingsPage(t *testing.T) {
	text, err := os.ReadFile("../../../docs/operators/findings.md")
	if err != nil && os.Getenv("CURLEWRING_WRITE") == "" {
		t.Fatal(err)
	}
	if want := apps.FindingsPage(); string(text) != want {
		if os.Getenv("CURLEWRING_WRITE") != "" {
			if err := os.WriteFile("../../../docs/operators/findings.md", []byte(want), 0o644); err != nil {
				t.Fatal(err)
			}
			return
		}
		t.Error("docs/operators/findings.md is not current: CURLEWRING_WRITE=1 go test ./internal/operators/appdir -run FindingsPage")
	}
}

// The schemas in docs are those of the code, and name the keys that are read.
func TestSchemas(t *testing.T) {
	for name, make := range map[string]func() ([]byte, error){"app": apps.AppSchema, "platform": apps.PlatformSchema} {
		want, err := make()
		if err != nil {
			t.Fatal(err)
		}
		var object map[string]any
		if err := json.Unmarshal(want, &object); err != nil || object["properties"] == nil {
			t.Fatal(err, object)
		}
		path := "../../../docs/schema/" + name + ".json"
		text, err := os.ReadFile(path)
		if os.Getenv("CURLEWRING_WRITE") != "" {
			os.MkdirAll(filepath.Dir(path), 0o755)
			if err := os.WriteFile(path, want, 0o644); err != nil {
				t.Fatal(err)
			}
		} else if err != nil || string(text) != string(want) {
			t.Errorf("%s is not current: CURLEWRING_WRITE=1 go test ./internal/operators/appdir -run Schemas (%v)", path, err)
		}
	}
}
