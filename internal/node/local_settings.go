package node

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"curlewring/internal/node/disk"
	"curlewring/internal/node/leases"
	"curlewring/internal/node/members"
	"curlewring/internal/operators/document"
	"curlewring/internal/store"
)

// LocalSettings are the settings that differ between nodes and are not part of the
// platform's configuration.
type LocalSettings struct {
	State       State
	Members     *members.Settings // nil: the node takes no part in the membership
	Leases      *leases.Settings  // nil: the node takes no part in the leases
	FaultFolder string            // directory with files that inject faults, for tests; "": none
}

// State says where a node keeps state over restarts.
type State struct {
	Folder string   // "": no state is kept
	MaxMB  int      // limit for the rows of the store
	fs     store.FS // replaces Folder in tests; nil: not replaced
}

const (
	minStateMB, defaultStateMB, maxStateMB = 1, 16, 64
)

// readLocalSettings reads a node's local settings. The error names the file, line, key, value
// and bound of each fault.
func readLocalSettings(path string) (LocalSettings, error) {
	text, err := readBounded(path, document.MaxFileSize)
	if err != nil {
		return LocalSettings{}, fmt.Errorf("the node's own settings: %w", err)
	}
	s, faults := parseLocalSettings(text)
	if len(faults) > 0 {
		return LocalSettings{}, errors.New(path + ":" + strings.Join(faults, "; "+path+":"))
	}
	return s, nil
}

// localSettingsReader reads the tables of the local settings and collects their faults.
type localSettingsReader struct{ faults []string }

func (r *localSettingsReader) fault(v document.Value, key, format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf("%d: %s = %s: ", v.Line, key, v.Text)+fmt.Sprintf(format, args...))
}

func (r *localSettingsReader) missing(v document.Value, key string) {
	r.faults = append(r.faults, fmt.Sprintf("%d: %s: it is missing", max(1, v.Line), key))
}

// parseLocalSettings reads local settings from TOML text. Each fault begins with its line.
func parseLocalSettings(text []byte) (LocalSettings, []string) {
	top, syntaxFaults := document.Parse(text)
	r := &localSettingsReader{}
	for _, f := range syntaxFaults {
		r.faults = append(r.faults, fmt.Sprintf("%d: %s: %s", f.Line, cmp.Or(f.Key, "form"), f.Text))
	}
	var local LocalSettings
	for _, key := range top.KeyOrder {
		v := top.Values[key]
		t, ok := v.V.(*document.Table)
		switch {
		case ok && key == "state":
			local.State = r.state(v, t)
		case ok && key == "members":
			local.Members = r.members(v, t)
		case ok && key == "leases":
			local.Leases = r.leases(t)
		case ok && key == "trial":
			local.FaultFolder = r.trial(v, t, os.Getenv(faultInjectionEnv) == faultInjectionValue)
		default:
			r.fault(v, key, "unknown table; known are [state], [members] and [leases]")
		}
	}
	if v, ok := top.Values["leases"]; ok && (local.Members == nil || local.State.Folder == "") {
		r.fault(v, "leases", "it needs the tables [state] and [members]")
	}
	if len(r.faults) > 0 {
		return LocalSettings{}, r.faults
	}
	if local.Members != nil {
		local.Members.Folder = local.State.Folder
	}
	if local.Leases != nil {
		local.Leases.Folder = local.State.Folder
		if local.FaultFolder != "" {
			local.Leases.WrapFS = func(fs store.FS) store.FS { return disk.WithFaults(fs, local.FaultFolder) }
		}
	}
	return local, nil
}

func (r *localSettingsReader) state(v document.Value, t *document.Table) State {
	s := State{MaxMB: defaultStateMB}
	for _, key := range t.KeyOrder {
		v := t.Values[key]
		switch key {
		case "folder":
			folder, ok := v.V.(string)
			if !ok || !filepath.IsAbs(folder) || strings.ContainsRune(folder, 0) {
				r.fault(v, "state.folder", "want an absolute path as text")
			}
			s.Folder = folder
		case "most_mb":
			n, ok := v.V.(int64)
			if !ok || n < minStateMB || n > maxStateMB {
				r.fault(v, "state.most_mb", "want a whole number from %d to %d", minStateMB, maxStateMB)
			}
			s.MaxMB = int(n)
		default:
			r.fault(v, "state."+key, "unknown key; known are folder and most_mb")
		}
	}
	if _, ok := t.Values["folder"]; !ok {
		r.missing(v, "state.folder")
	}
	return s
}
