package curlewring_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// CI passes over just the tests that KNOWN-RED.txt lists, prints them and the cases that it does not play, and fails on a line
// that names no test, or that lacks a field: else a line that has grown old would hide a test for good.
func TestKnownRed(t *testing.T) {
	const entry = "TestKnownRed | go test -run TestKnownRed . | it is red, for the test | 39\n"
	for name, c := range map[string]struct {
		text    string
		fails   bool
		pattern string
		says    string
	}{
		"one":          {text: entry, pattern: "^(TestKnownRed)$", says: "known red, passed over: " + entry},
		"two, no end":  {text: entry + "\nTestPolicyFiles | go test -run TestPolicyFiles . | b | 40", pattern: "^(TestKnownRed|TestPolicyFiles)$", says: "| b | 40"},
		"many":         {text: strings.Repeat(entry, 9), pattern: "^(TestKnownRed" + strings.Repeat("|TestKnownRed", 8) + ")$", says: entry},
		"a case":       {text: "a day | bench DAY --seed 4 | 2 of 9 plays | 43\n", says: "known red, not played here: a day | bench DAY --seed 4 | 2 of 9 plays | 43"},
		"no such test": {text: "TestThatIsNowhere | go test -run TestThatIsNowhere . | gone | 39\n", fails: true, says: "names no test: TestThatIsNowhere"},
		"no command":   {text: "TestKnownRed | red | 39\n", fails: true, says: "is not"},
		"another test": {text: "TestKnownRed | go test -run TestPolicyFiles . | red | 39\n", fails: true, says: "does not play TestKnownRed"},
		"no issue":     {text: "TestKnownRed | go test -run TestKnownRed . | red\n", fails: true, says: "is not"},
		"no number":    {text: "TestKnownRed | go test -run TestKnownRed . | red | soon\n", fails: true, says: "is not"},
		"a gap":        {text: "TestKnownRed | go test -run TestKnownRed . |  | 39\n", fails: true, says: "is not"},
		"the old form": {text: "TestKnownRed, red, 39\n", fails: true, says: "is not"},
		"no test":      {text: "something else\n", fails: true, says: "is not"},
		"a pattern":    {text: "Test.* | go test -run Test.* . | all of them | 39\n", fails: true, says: "names no test"},
		"a type":       {text: "Tester | go test -run Tester . | no test | 39\n", fails: true, says: "names no test"},
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
			if (err != nil) != c.fails || out.String() != c.pattern || !strings.Contains(errs.String(), c.says) {
				t.Errorf("%v, %q, %q", err, out.String(), errs.String())
			}
		})
	}
	out, err := exec.Command(".ci/known-red", filepath.Join(t.TempDir(), "none")).Output()
	if err != nil || len(out) > 0 {
		t.Errorf("without a file: %v, %q", err, out)
	}
}
