package curlewring_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

// policyData returns the files of decide/ that contain no decisions.
func policyData() []string { return []string{"decide/api.go", "decide/grants.go", "decide/state.go"} }

// Auditors read the files that contain decisions: all of them must be listed in deploy/balancer.toml, and
// each must be short enough to be read at once.
func TestPolicyFiles(t *testing.T) {
	const maxLines, maxColumns = 400, 110
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^policy = (\[.*?\])`).FindSubmatch(deploy)
	if found == nil {
		t.Fatal("deploy/balancer.toml has no list of policy files")
	}
	var files []string
	if err := json.Unmarshal(found[1], &files); err != nil || len(files) == 0 {
		t.Fatalf("policy files %q: %v", found[1], err)
	}
	all, err := filepath.Glob("decide/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range all {
		if !strings.HasSuffix(name, "_test.go") && !slices.Contains(policyData(), name) && !slices.Contains(files, name) {
			t.Errorf("%s is not listed among the policy files", name)
		}
	}
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if n := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); n > maxColumns {
				t.Errorf("%s:%d has %d columns, at most %d are allowed", name, i+1, n, maxColumns)
			}
		}
		if lines > maxLines {
			t.Errorf("%s has %d lines, at most %d are allowed", name, lines, maxLines)
		}
	}
}
