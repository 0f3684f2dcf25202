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

// unpack writes the files of a test set to a temporary folder and makes it the working directory.
func unpack(t *testing.T, name string) {
	t.Helper()
	path, err := filepath.Abs("../../internal/operators/appdir/testdata/" + name + ".txt")
	if err != nil {
		t.Fatal(err)
	}
	archive, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir())
	for _, file := range archive.Files {
		if err := os.WriteFile(file.Name, file.Data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// exitCodeOf returns the exit code of a command that returns the error; -1 if it is not an exitCode.
func exitCodeOf(err error) int {
	var code exitCode
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	}
	return -1
}

// workingDir names the descriptions in the working directory.
func workingDir() descriptionFiles { return descriptionFiles{Dirs: []string{"."}} }

// The exit code must be 0 without findings, 1 with warnings only and 2 with errors in each output format, and JSON and
// SARIF must contain every finding.
func TestCheckCommand(t *testing.T) {
	for name, want := range map[string]int{"good/one": 0, "broken/host-cores": 1, "broken/port-twice": 2} {
		t.Run(name, func(t *testing.T) {
			unpack(t, name)
			var textOut, jsonOut, sarifOut bytes.Buffer
			if got := exitCodeOf((&checkCommand{descriptionFiles: workingDir()}).run(&textOut)); got != want {
				t.Errorf("exit code %d, want %d\n%s", got, want, &textOut)
			}
			if got := exitCodeOf((&checkCommand{descriptionFiles: workingDir(), JSON: true}).run(&jsonOut)); got != want {
				t.Errorf("exit code with --json %d, want %d", got, want)
			}
			if got := exitCodeOf((&checkCommand{descriptionFiles: workingDir(), SARIF: true}).run(&sarifOut)); got != want {
				t.Errorf("exit code with --sarif %d, want %d", got, want)
			}
			var findings []apps.Finding
			if err := json.Unmarshal(jsonOut.Bytes(), &findings); err != nil || findings == nil {
				t.Fatal(err, jsonOut.String())
			}
			if (want == 0) != (len(findings) == 0) || strings.Count(textOut.String(), "\n") != len(findings)+1 {
				t.Errorf("%d findings in JSON, but the text is\n%s", len(findings), &textOut)
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
			if err := json.Unmarshal(sarifOut.Bytes(), &log); err != nil || log.Version != "2.1.0" || len(log.Runs) != 1 {
				t.Fatal(err, sarifOut.String())
			}
			run := log.Runs[0]
			if len(run.Results) != len(findings) || len(run.Tool.Driver.Rules) != len(apps.Codes()) {
				t.Errorf("SARIF has %d results for %d findings, and %d rules", len(run.Results), len(findings), len(run.Tool.Driver.Rules))
			}
			for i, result := range run.Results {
				location := result.Locations[0].PhysicalLocation
				if result.RuleID != findings[i].Code || result.Level != findings[i].Level || location.ArtifactLocation.URI != findings[i].File ||
					location.Region.StartLine != findings[i].Line {
					t.Errorf("SARIF result %+v differs from finding %+v", result, findings[i])
				}
			}
		})
	}
}

// Write must generate the files, print with --diff what would change without writing, and leave the current set
// unchanged if the descriptions have errors.
func TestWriteCommand(t *testing.T) {
	unpack(t, "good/one")
	var out, errs bytes.Buffer
	write := &writeCommand{descriptionFiles: workingDir(), OutDir: "out"}
	diff := &writeCommand{descriptionFiles: workingDir(), OutDir: "out", Diff: true}
	if err := diff.run(&out, &errs); err != nil || !strings.Contains(out.String(), "2 of 2 files would change") ||
		!strings.Contains(out.String(), `+  "listen": "127.0.0.1:15001",`) {
		t.Errorf("%v\n%s", err, &out)
	}
	if _, err := os.Stat("out"); !os.IsNotExist(err) {
		t.Fatal("write --diff has written files")
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
	if got := exitCodeOf(write.run(io.Discard, &errs)); got != 2 || !strings.Contains(errs.String(), "SC029") {
		t.Errorf("exit code %d, want 2 and SC029\n%s", got, &errs)
	}
	if after, _ := os.Readlink("out/current"); after != before || before == "" {
		t.Error("write has changed the current set in spite of errors")
	}
	if got := exitCodeOf((&checkCommand{descriptionFiles: descriptionFiles{Paths: []string{"out/current/zh-1/leitstand/node.json"}}}).run(&out)); got != 0 {
		t.Errorf("check of a generated configuration by itself: exit code %d\n%s", got, &out)
	}
}

// Explain must name the lines that set the values, and the worst case along the chain.
func TestExplainCommand(t *testing.T) {
	unpack(t, "good/chain")
	var out bytes.Buffer
	c := &explainCommand{Sidecar: "leitstand", Class: "stoerung", Dirs: []string{"."}}
	if err := c.run(&out, io.Discard); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"leitstand.toml:8", "attempts", "platform.toml:24", "archivar", "at the worst"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("%q is missing in the output\n%s", part, &out)
		}
	}
}
