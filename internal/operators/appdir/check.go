package appdir

import (
	"encoding/json"
	"errors"
	"fmt"
	"path"
	"path/filepath"
	"slices"
	"strings"

	"curlewring/internal/node"
	"curlewring/internal/operators/apps"
)

// CheckWritten finds what is wrong with the set that holds in a folder: what was
// edited by hand, what is older than its description, and what the node itself
// refuses. want is what would be written now; nil: that is not known.
func CheckGenerated(dir string, want []apps.GeneratedFile, findings *apps.Findings) error {
	current, err := ReadCurrentSet(dir)
	if err != nil {
		return err
	}
	at := filepath.Join(dir, currentLinkName)
	wanted := map[string][]byte{}
	for _, w := range want {
		wanted[w.Path] = w.Text
		if _, there := current[w.Path]; !there {
			findings.Add(apps.NotWritten, filepath.Join(at, filepath.FromSlash(w.Path)), 0, "it would be written now")
		}
	}
	var names []string
	for name := range current {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		text, file := current[name], filepath.Join(at, filepath.FromSlash(name))
		sealed, marked := apps.VerifyChecksum(text)
		now, there := wanted[name]
		switch {
		case marked && !sealed:
			findings.Add(apps.HandEdited, file, 0, "its sum is not that of its text")
		case !marked && path.Base(name) != "node.json":
			findings.Add(apps.HandEdited, file, 0, "it bears no sum: "+apps.GeneratorName+" did not write it")
		case want != nil && !there:
			findings.Add(apps.OrphanFile, file, 0, "no description makes this file")
		case want != nil && string(now) != string(text):
			findings.Add(apps.OutdatedFile, file, 0, "its description, or the platform, has changed since")
		}
		if path.Base(name) == "node.json" {
			CheckNode(file, text, current[path.Join(path.Dir(name), "operator.toml")] != nil, findings)
		}
	}
	findings.Sort()
	return nil
}

// CheckNode asks the node's own reader what it makes of a configuration.
func CheckNode(file string, text []byte, operator bool, findings *apps.Findings) {
	var head struct {
		Schema *int `json:"schema"`
	}
	if json.Unmarshal(text, &head) == nil {
		switch {
		case head.Schema == nil:
			findings.Add(apps.SchemaTooOld, file, 0, "it has no schema: it is of version 0, of before there were descriptions")
		case *head.Schema > apps.Schema+1:
			findings.Add(apps.SchemaTooNew, file, 0, fmt.Sprintf("schema %d, and this program writes %d", *head.Schema, apps.Schema))
		}
	}
	files := node.Files{Config: file}
	if operator {
		files.Operator = filepath.Join(filepath.Dir(file), "operator.toml")
	}
	_, err := files.Read()
	var routes *node.Findings
	switch {
	case errors.As(err, &routes):
		for _, f := range routes.All {
			findings.Add(apps.NodeRefuses, routes.File, f.Line, f.String())
		}
	case err != nil:
		findings.Add(apps.NodeRefuses, file, 0, strings.TrimPrefix(err.Error(), "configuration "+file+": "))
	}
}
