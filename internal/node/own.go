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

// Own is a node's own settings.
type LocalSettings struct {
	State       State
	Members     *members.Settings // nil: this node knows nothing of the others
	Leases      *leases.Settings  // nil: it takes no part in the fleet's leases
	FaultFolder string            // the folder that says how this node fails on purpose; "": it does not
}

// State says what a node keeps over its restarts.
type State struct {
	Folder string   // "": nothing
	MaxMB  int      // of rows
	fs     store.FS // in the place of the folder, for tests; nil: none
}

const (
	minStateMB, defaultStateMB, maxStateMB = 1, 16, 64
)

// readOwn reads the node's own settings. The error names file, line, key, value and bound of each fault.
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

// ownReader reads the tables of a node's own settings.
type localSettingsReader struct{ faults []string }

func (r *localSettingsReader) fault(v document.Value, key, format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf("%d: %s = %s: ", v.Line, key, v.Text)+fmt.Sprintf(format, args...))
}

func (r *localSettingsReader) missing(v document.Value, key string) {
	r.faults = append(r.faults, fmt.Sprintf("%d: %s: it is missing", max(1, v.Line), key))
}

// parseOwn reads them from the text. Faults begin with their line.
func parseLocalSettings(text []byte) (LocalSettings, []string) {
	top, wrong := document.Parse(text)
	r := &localSettingsReader{}
	for _, f := range wrong {
		r.faults = append(r.faults, fmt.Sprintf("%d: %s: %s", f.Line, cmp.Or(f.Key, "form"), f.Text))
	}
	var own LocalSettings
	for _, key := range top.KeyOrder {
		v := top.Values[key]
		t, ok := v.V.(*document.Table)
		switch {
		case ok && key == "state":
			own.State = r.state(v, t)
		case ok && key == "members":
			own.Members = r.members(v, t)
		case ok && key == "leases":
			own.Leases = r.leases(t)
		case ok && key == "trial":
			own.FaultFolder = r.trial(v, t, os.Getenv(faultInjectionEnv) == faultInjectionValue)
		default:
			r.fault(v, key, "there are only the tables [state], [members] and [leases]")
		}
	}
	if v, ok := top.Values["leases"]; ok && (own.Members == nil || own.State.Folder == "") {
		r.fault(v, "leases", "they need [state] and [members]")
	}
	if len(r.faults) > 0 {
		return LocalSettings{}, r.faults
	}
	if own.Members != nil {
		own.Members.Folder = own.State.Folder
	}
	if own.Leases != nil {
		own.Leases.Folder = own.State.Folder
		if own.FaultFolder != "" {
			own.Leases.WrapFS = func(fs store.FS) store.FS { return disk.WithFaults(fs, own.FaultFolder) }
		}
	}
	return own, nil
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
			r.fault(v, "state."+key, "there are folder and most_mb")
		}
	}
	if _, ok := t.Values["folder"]; !ok {
		r.missing(v, "state.folder")
	}
	return s
}
