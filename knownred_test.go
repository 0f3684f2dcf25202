package curlewring_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// CI skips exactly the tests listed in KNOWN-RED.txt. It prints them and the cases that it does not run,
// and fails on a line that names no test or lacks a field: otherwise an outdated line would hide a test for
// good.
func TestKnownRed(t *testing.T) {
	const entry = "TestKnownRed | go test -run TestKnownRed . | it is red, for the test | 39\n"
	for name, c := range map[string]struct {
		text    string
		fails   bool
		pattern string
		message string
	}{
		"one":                       {text: entry, pattern: "^(TestKnownRed)$", message: "known red, passed over: " + entry},
		"two, no final newline":     {text: entry + "\nTestPolicyFiles | go test -run TestPolicyFiles . | b | 40", pattern: "^(TestKnownRed|TestPolicyFiles)$", message: "| b | 40"},
		"many":                      {text: strings.Repeat(entry, 9), pattern: "^(TestKnownRed" + strings.Repeat("|TestKnownRed", 8) + ")$", message: entry},
		"case without a test":       {text: "a day | bench DAY --seed 4 | 2 of 9 plays | 43\n", message: "known red, not played here: a day | bench DAY --seed 4 | 2 of 9 plays | 43"},
		"no such test":              {text: "TestThatIsNowhere | go test -run TestThatIsNowhere . | gone | 39\n", fails: true, message: "names no test: TestThatIsNowhere"},
		"no command":                {text: "TestKnownRed | red | 39\n", fails: true, message: "is not"},
		"another test":              {text: "TestKnownRed | go test -run TestPolicyFiles . | red | 39\n", fails: true, message: "does not play TestKnownRed"},
		"no issue":                  {text: "TestKnownRed | go test -run TestKnownRed . | red\n", fails: true, message: "is not"},
		"no number":                 {text: "TestKnownRed | go test -run TestKnownRed . | red | soon\n", fails: true, message: "is not"},
		"empty field":               {text: "TestKnownRed | go test -run TestKnownRed . |  | 39\n", fails: true, message: "is not"},
		"old format":                {text: "TestKnownRed, red, 39\n", fails: true, message: "is not"},
		"unknown format":            {text: "something else\n", fails: true, message: "is not"},
		"pattern instead of a name": {text: "Test.* | go test -run Test.* . | all of them | 39\n", fails: true, message: "names no test"},
		"name of a type":            {text: "Tester | go test -run Tester . | no test | 39\n", fails: true, message: "names no test"},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			var out, errs strings.Builder
			cmd := exec.Command(".ci/known-red", file)
			cmd.Stdout, cmd.Stderr = &out, &errs
			err := cmd.Run()
			if (err != nil) != c.fails || out.String() != c.pattern || !strings.Contains(errs.String(), c.message) {
				t.Errorf("%v, %q, %q", err, out.String(), errs.String())
			}
		})
	}
	out, err := exec.Command(".ci/known-red", filepath.Join(t.TempDir(), "none")).Output()
	if err != nil || len(out) > 0 {
		t.Errorf("without a file: %v, %q", err, out)
	}
}
