package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewring/internal/node/disk"
	"curlewring/internal/node/persist"
	"curlewring/internal/servers/serverdb"
)

// writeStateFolder writes a state folder as a node would have left it an hour ago.
func writeStateFolder(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	then := time.Now().Add(-time.Hour)
	var servers []serverdb.Server
	for id, state := range map[string]serverdb.State{"box-1": serverdb.Serving, "box-2": serverdb.Draining, "box-3": serverdb.Gone} {
		servers = append(servers, serverdb.Server{ID: id, Address: "127.0.0.1:1", Zone: "a", State: state, StateSince: then})
	}
	list := serverdb.List{Generation: 9, Discovery: "127.0.0.1:2", Confirmed: then, ServerRate: 3, ServingCount: 1}
	if err := persist.WriteFolder(folder, servers, list); err != nil {
		t.Fatal(err)
	}
	return folder
}

// Verify must report damage with the exit code of its severity, and repair must leave a folder with all undamaged rows.
// Show and verify must work while a node has locked the folder, and must not change it; repair must refuse.
func TestRecall(t *testing.T) {
	folder := writeStateFolder(t)
	owner, err := disk.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := (&recallShow{Folder: folder}).print(&out, time.Now()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"generation 9", "1h0m0s old, complete", "1 serving, 1 draining, 1 gone", "box-1", "box-2"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in the output\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "box-3") {
		t.Error("a server that is gone is shown without --gone")
	}
	if err := (&recallVerify{Folder: folder}).print(&out); err != nil {
		t.Errorf("verify of an undamaged folder: %v", err)
	}
	if err := (&recallRepair{Folder: folder}).print(&out); err == nil {
		t.Error("repair succeeded in a folder that a node has locked")
	}
	owner.Close()

	paths, err := filepath.Glob(filepath.Join(folder, "*-1"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("%v, %v", paths, err)
	}
	for _, path := range paths { // flip one bit in the middle of each file
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		data[len(data)/2] ^= 4
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var code exitCode
	if err := (&recallVerify{Folder: folder}).print(&out); !errors.As(err, &code) || code != 2 {
		t.Errorf("verify of a damaged folder: %v, want exit code 2", err)
	}
	if err := (&recallRepair{Folder: folder}).print(&out); err != nil {
		t.Fatal(err)
	}
	out.Reset()
	if err := (&recallVerify{Folder: folder}).print(&out); errors.As(err, &code) && code == 2 {
		t.Errorf("verify after the repair: %v\n%s", err, out.String())
	}
	out.Reset()
	if err := (&recallShow{Folder: folder, JSON: true, ShowGone: true}).print(&out, time.Now()); err != nil || !strings.Contains(out.String(), `"servers"`) {
		t.Errorf("show after the repair: %v\n%s", err, out.String())
	}
}

// The keys of the output of recall show --json are read by operators' scripts. A field that is renamed in serverdb
// without a tag would change them.
func TestRecallShowJSONKeys(t *testing.T) {
	var out bytes.Buffer
	if err := (&recallShow{Folder: writeStateFolder(t), JSON: true, ShowGone: true}).print(&out, time.Now()); err != nil {
		t.Fatal(err)
	}
	var shown struct {
		List    map[string]json.RawMessage   `json:"list"`
		Servers []map[string]json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(out.Bytes(), &shown); err != nil {
		t.Fatalf("%v\n%s", err, &out)
	}
	if len(shown.Servers) != 3 {
		t.Errorf("%d servers shown, want 3\n%s", len(shown.Servers), &out)
	}
	check := func(name string, object map[string]json.RawMessage, want ...string) {
		t.Helper()
		slices.Sort(want)
		if keys := slices.Sorted(maps.Keys(object)); !slices.Equal(keys, want) {
			t.Errorf("keys of %s: %q, want %q", name, keys, want)
		}
	}
	check("list", shown.List, "Generation", "Discovery", "Confirmed", "Rate", "Servers", "Digest", "Sound")
	for _, server := range shown.Servers {
		check("a server", server, "ID", "Address", "Zone", "Cell", "Weight", "State", "Started", "Changed", "Served")
	}
}
