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

// unpack writes an archive's files to a temporary folder and changes to it, so that
// findings have relative file names.
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

// wantedFindings returns the findings that an archive expects, as "file:line code",
// and the rules that it names for them. A finding of a line is expected by a comment
// "# want CODE (rule N)" in that line, one of a whole file by "want FILE:0 CODE" in
// the archive's comment.
func wantedFindings(a *txtar.Archive) (keys []string, rules map[string]string) {
	rules = map[string]string{}
	fileFinding := regexp.MustCompile(`(?m)^want (\S+):0 (\w+)$`)
	for _, match := range fileFinding.FindAllStringSubmatch(string(a.Comment), -1) {
		keys = append(keys, match[1]+":0 "+match[2])
	}
	lineFinding := regexp.MustCompile(`# want (\w+)(?: \((rule \d)\))?\s*$`)
	for _, f := range a.Files {
		for i, line := range strings.Split(string(f.Data), "\n") {
			if match := lineFinding.FindStringSubmatch(line); match != nil {
				key := fmt.Sprintf("%s:%d %s", f.Name, i+1, match[1])
				keys = append(keys, key)
				rules[key] = match[2]
			}
		}
	}
	slices.Sort(keys)
	return keys, rules
}

// archives returns the paths of the archives of a kind.
func archives(t *testing.T, kind string) []string {
	t.Helper()
	paths, err := filepath.Glob("testdata/" + kind + "/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatal("no archives", err)
	}
	for i := range paths {
		if paths[i], err = filepath.Abs(paths[i]); err != nil {
			t.Fatal(err)
		}
	}
	return paths
}

// Each broken set must give exactly the findings that it expects, with line and
// rule, and each finding must have a text and a remedy.
func TestBrokenSets(t *testing.T) {
	paths := archives(t, "broken")
	if len(paths) < 80 {
		t.Errorf("only %d broken sets", len(paths))
	}
	seen := map[string]bool{}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			a := unpack(t, path)
			want, rules := wantedFindings(a)
			if len(want) == 0 {
				t.Fatal("the archive expects no finding")
			}
			loaded := LoadDescriptions("", []string{"."})
			var got []string
			for _, f := range loaded.Findings {
				key := fmt.Sprintf("%s:%d %s", f.File, f.Line, f.Code)
				got = append(got, key)
				seen[f.Code] = true
				if rule := rules[key]; rule != "" && rule != f.Rule {
					t.Errorf("%s: %q, want %q", key, f.Rule, rule)
				}
				if strings.HasPrefix(f.Code, "SC") && f.Remedy == "" || f.Text == "" {
					t.Errorf("text or remedy is missing: %+v", f)
				}
			}
			slices.Sort(got)
			if !slices.Equal(got, want) {
				t.Errorf("got  %v\nwant %v\n%v", got, want, loaded.Findings)
			}
		})
	}
	// These depend on the file system or on generated files and have their own tests.
	testedElsewhere := []apps.Code{apps.Unreadable, apps.TooLarge, apps.ChangedDuringRead, apps.HandEdited, apps.OutdatedFile, apps.OrphanFile,
		apps.NotWritten, apps.NodeRefuses, apps.SchemaTooOld, apps.SchemaTooNew}
	for _, info := range apps.Codes() {
		if !seen[string(info.Code)] && !slices.Contains(testedElsewhere, info.Code) {
			t.Errorf("no broken set gives %s", info.Code)
		}
	}
}

// Good sets must give no finding. The files generated from them must be the same
// each time, be accepted by the node's own reader, and pass the check.
func TestGoodSets(t *testing.T) {
	for _, path := range archives(t, "good") {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			unpack(t, path)
			loaded := LoadDescriptions("", []string{"."})
			if len(loaded.Findings) > 0 {
				t.Fatal(loaded.Findings)
			}
			files := loaded.Set.Generate(loaded.Sources)
			again := LoadDescriptions("", []string{"."})
			if !slices.EqualFunc(files, again.Set.Generate(again.Sources), func(x, y apps.GeneratedFile) bool {
				return x.Path == y.Path && string(x.Text) == string(y.Text)
			}) {
				t.Error("generated differently the second time")
			}
			if _, changed, err := Write("out", files); err != nil || !changed {
				t.Fatal(changed, err)
			}
			var findings apps.Findings
			if err := CheckGenerated("out", files, &findings); err != nil || len(findings) > 0 {
				t.Error(err, findings)
			}
			for _, w := range files {
				if valid, present := apps.VerifyChecksum(w.Text); !valid || !present {
					t.Errorf("%s has no valid checksum", w.Path)
				}
			}
		})
	}
}

// The page of findings must be the one that is generated from the codes.
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

// The schemas in docs must be those that are generated from the keys.
func TestSchemas(t *testing.T) {
	for name, generate := range map[string]func() ([]byte, error){"app": apps.AppSchema, "platform": apps.PlatformSchema} {
		want, err := generate()
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
