package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"

	"curlewring/internal/operators/apps"
)

// unpack writes a set of the corpus to a folder and goes there.
func unpack(t *testing.T, name string) {
	t.Helper()
	path, err := filepath.Abs("../../internal/operators/appdir/testdata/" + name + ".txt")
	if err != nil {
		t.Fatal(err)
	}
	a, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir())
	for _, f := range a.Files {
		if err := os.WriteFile(f.Name, f.Data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// code is what a command would end with.
func code(err error) int {
	var f found
	switch {
	case err == nil:
		return 0
	case errors.As(err, &f):
		return int(f)
	}
	return -1
}

func here() descriptions { return descriptions{Dir: []string{"."}} }

// The exit code must be 0 without findings, 1 with warnings only, 2 with errors,
// in each form, and the forms for programs must hold every finding.
func TestCheckCommand(t *testing.T) {
	for name, want := range map[string]int{"good/one": 0, "broken/host-cores": 1, "broken/port-twice": 2} {
		t.Run(name, func(t *testing.T) {
			unpack(t, name)
			var text, object, sarif bytes.Buffer
			if got := code((&checkCommand{descriptions: here()}).run(&text)); got != want {
				t.Errorf("ends with %d, want %d\n%s", got, want, &text)
			}
			if got := code((&checkCommand{descriptions: here(), JSON: true}).run(&object)); got != want {
				t.Errorf("--json ends with %d, want %d", got, want)
			}
			if got := code((&checkCommand{descriptions: here(), SARIF: true}).run(&sarif)); got != want {
				t.Errorf("--sarif ends with %d, want %d", got, want)
			}
			var all []apps.Finding
			if err := json.Unmarshal(object.Bytes(), &all); err != nil || all == nil {
				t.Fatal(err, object.String())
			}
			if (want == 0) != (len(all) == 0) || strings.Count(text.String(), "\n") != len(all)+1 {
				t.Errorf("%d findings, and the text is\n%s", len(all), &text)
			}
			var log struct {
				Version string
				Runs    []struct {
					Tool struct {
						Driver struct{ Rules []struct{ ID string } }
					}
					Results []struct {
						RuleID, Level string
						Locations     []struct {
							PhysicalLocation struct {
								ArtifactLocation struct{ URI string }
								Region           struct{ StartLine int }
							}
						}
					}
				}
			}
			if err := json.Unmarshal(sarif.Bytes(), &log); err != nil || log.Version != "2.1.0" || len(log.Runs) != 1 {
				t.Fatal(err, sarif.String())
			}
			run := log.Runs[0]
			if len(run.Results) != len(all) || len(run.Tool.Driver.Rules) != len(apps.Codes()) {
				t.Errorf("SARIF has %d results of %d, %d rules", len(run.Results), len(all), len(run.Tool.Driver.Rules))
			}
			for i, r := range run.Results {
				at := r.Locations[0].PhysicalLocation
				if r.RuleID != all[i].Code || r.Level != all[i].Level || at.ArtifactLocation.URI != all[i].File || at.Region.StartLine != all[i].Line {
					t.Errorf("%+v, and the finding is %+v", r, all[i])
				}
			}
		})
	}
}

// Write must write what is right, tell what would change before it does, and
// leave everything as it is where there are errors.
func TestWriteCommand(t *testing.T) {
	unpack(t, "good/one")
	var out, errs bytes.Buffer
	write := &writeCommand{descriptions: here(), Out: "out"}
	diff := &writeCommand{descriptions: here(), Out: "out", Diff: true}
	if err := diff.run(&out, &errs); err != nil || !strings.Contains(out.String(), "2 of 2 files would change") ||
		!strings.Contains(out.String(), `+  "listen": "127.0.0.1:15001",`) {
		t.Errorf("%v\n%s", err, &out)
	}
	if _, err := os.Stat("out"); !os.IsNotExist(err) {
		t.Fatal("--diff has written")
	}
	if err := write.run(io.Discard, &errs); err != nil {
		t.Fatal(err, errs.String())
	}
	out.Reset()
	if err := diff.run(&out, &errs); err != nil || out.String() != "0 of 2 files would change\n" {
		t.Errorf("%v\n%s", err, &out)
	}
	text, _ := os.ReadFile("leitstand.toml")
	os.WriteFile("leitstand.toml", bytes.Replace(text, []byte("15001"), []byte("15009"), 1), 0o644)
	out.Reset()
	if err := diff.run(&out, &errs); err != nil || !strings.Contains(out.String(), "-  \"listen\": \"127.0.0.1:15001\",\n+  \"listen\": \"127.0.0.1:15009\",\n") {
		t.Errorf("%v\n%s", err, &out)
	}
	before, _ := os.Readlink("out/current")
	os.WriteFile("leitstand.toml", bytes.Replace(text, []byte("15001"), []byte("40000"), 1), 0o644)
	if got := code(write.run(io.Discard, &errs)); got != 2 || !strings.Contains(errs.String(), "SC029") {
		t.Errorf("ends with %d\n%s", got, &errs)
	}
	if after, _ := os.Readlink("out/current"); after != before || before == "" {
		t.Error("a set with errors was written")
	}
	if got := code((&checkCommand{descriptions: descriptions{Paths: []string{"out/current/zh-1/leitstand/node.json"}}}).run(&out)); got != 0 {
		t.Errorf("a written configuration by itself: %d\n%s", got, &out)
	}
}

func TestExplainCommand(t *testing.T) {
	unpack(t, "good/chain")
	var out bytes.Buffer
	c := &explainCommand{Sidecar: "leitstand", Class: "stoerung", Dir: []string{"."}}
	if err := c.run(&out, io.Discard); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"leitstand.toml:8", "attempts", "platform.toml:24", "archivar", "at the worst"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("%q is missing in\n%s", part, &out)
		}
	}
}
