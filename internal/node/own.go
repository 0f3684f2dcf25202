package node

import (
	"cmp"
	"errors"
	"fmt"
	"path/filepath"
	"strings"

	"curlewring/internal/operators/document"
	"curlewring/internal/store"
)

// State says what a node keeps over its restarts.
type State struct {
	Folder string   // "": nothing
	MostMB int      // of rows
	fs     store.FS // in the place of the folder, for tests; nil: none
}

const (
	leastStateMB, usualStateMB, mostStateMB = 1, 16, 64
)

// readOwn reads the node's own settings. The error names file, line, key, value and bound of each fault.
func readOwn(path string) (State, error) {
	text, err := readBounded(path, document.MostBytes)
	if err != nil {
		return State{}, fmt.Errorf("the node's own settings: %w", err)
	}
	s, faults := parseOwn(text)
	if len(faults) > 0 {
		return State{}, errors.New(path + ":" + strings.Join(faults, "; "+path+":"))
	}
	return s, nil
}

// parseOwn reads them from the text. Faults begin with their line.
func parseOwn(text []byte) (s State, faults []string) {
	top, wrong := document.Parse(text)
	for _, f := range wrong {
		faults = append(faults, fmt.Sprintf("%d: %s: %s", f.Line, cmp.Or(f.Key, "form"), f.Text))
	}
	fault := func(v document.Value, key, format string, args ...any) {
		faults = append(faults, fmt.Sprintf("%d: %s = %s: ", v.Line, key, v.Text)+fmt.Sprintf(format, args...))
	}
	for _, key := range top.Order {
		v := top.Keys[key]
		t, ok := v.V.(*document.Table)
		if key != "state" || !ok {
			fault(v, key, "there is only a table [state]")
			continue
		}
		s.MostMB = usualStateMB
		for _, key := range t.Order {
			v := t.Keys[key]
			switch key {
			case "folder":
				folder, ok := v.V.(string)
				if !ok || !filepath.IsAbs(folder) || strings.ContainsRune(folder, 0) {
					fault(v, "state.folder", "want an absolute path as text")
				}
				s.Folder = folder
			case "most_mb":
				n, ok := v.V.(int64)
				if !ok || n < leastStateMB || n > mostStateMB {
					fault(v, "state.most_mb", "want a whole number from %d to %d", leastStateMB, mostStateMB)
				}
				s.MostMB = int(n)
			default:
				fault(v, "state."+key, "there are folder and most_mb")
			}
		}
		if _, ok := t.Keys["folder"]; !ok {
			faults = append(faults, fmt.Sprintf("%d: state.folder: it is missing", max(1, v.Line)))
		}
	}
	if len(faults) > 0 {
		return State{}, faults
	}
	return s, nil
}
