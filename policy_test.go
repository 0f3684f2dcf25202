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

// policyData are the files of decide/ that decide nothing.
func policyData() []string { return []string{"decide/api.go", "decide/grants.go", "decide/state.go"} }

// The files that hold decisions are read by auditors: all of them are named in the deploy file, and each is short enough to
// be read at once.
func TestPolicyFiles(t *testing.T) {
	const mostLines, mostColumns = 400, 110
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^policy = (\[.*?\])`).FindSubmatch(deploy)
	if found == nil {
		t.Fatal("deploy/balancer.toml names no policy files")
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
			t.Errorf("%s is not among the policy files", name)
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
			if n := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); n > mostColumns {
				t.Errorf("%s:%d has %d columns, at most %d are allowed", name, i+1, n, mostColumns)
			}
		}
		if lines > mostLines {
			t.Errorf("%s has %d lines, at most %d are allowed", name, lines, mostLines)
		}
	}
}
