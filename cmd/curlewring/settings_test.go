package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"curlewring/internal/node"
)

// The example in deploy must be valid, and --check must print the faults of a settings
// file with their lines.
func TestCheckOfNodeSettings(t *testing.T) {
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, []byte(minimalConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if code := check(node.Files{Config: config, Local: "../../deploy/node.toml"}, &out); code != 0 {
		t.Errorf("example: %d, %s", code, out.String())
	}
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("[state]\nfolder = \"here\"\nmost_mb = 900\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	out.Reset()
	if code := check(node.Files{Config: config, Local: bad}, &out); code != 2 {
		t.Errorf("invalid file: %d", code)
	}
	for _, want := range []string{"bad.toml:2: state.folder", "bad.toml:3: state.most_mb = 900", "from 1 to 64"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in %q", want, out.String())
		}
	}
}

// minimalConfig is a valid configuration of a node.
const minimalConfig = `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","limits":{"cores":1,"memory_mb":64,"sockets":256},
"settings":{"categories":[{"name":"a","semantics":"repeatable","group":"all","aim_ns":1000000000,"deadline_ns":2000000000,"worth":1}],
"limits":{"most_tries":2,"streams_per_conn":1},"n_instances":1,"registry_mode":"subscribe","tiers":["front"],"zone":"z"}}`
