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

// CheckGenerated checks the current set of a folder: it reports files that were
// edited by hand, that are older than their description, or that the node refuses.
// want is the set that would be written now; nil if that is unknown.
func CheckGenerated(dir string, want []apps.GeneratedFile, findings *apps.Findings) error {
	current, err := ReadCurrentSet(dir)
	if err != nil {
		return err
	}
	currentDir := filepath.Join(dir, currentLinkName)
	wanted := map[string][]byte{}
	for _, w := range want {
		wanted[w.Path] = w.Text
		if _, exists := current[w.Path]; !exists {
			findings.Add(apps.NotWritten, filepath.Join(currentDir, filepath.FromSlash(w.Path)), 0, "it would be written now")
		}
	}
	var names []string
	for name := range current {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		text, file := current[name], filepath.Join(currentDir, filepath.FromSlash(name))
		valid, present := apps.VerifyChecksum(text)
		wantedText, exists := wanted[name]
		switch {
		case present && !valid:
			findings.Add(apps.HandEdited, file, 0, "its sum is not that of its text")
		case !present && path.Base(name) != "node.json":
			findings.Add(apps.HandEdited, file, 0, "it bears no sum: "+apps.GeneratorName+" did not write it")
		case want != nil && !exists:
			findings.Add(apps.OrphanFile, file, 0, "no description makes this file")
		case want != nil && string(wantedText) != string(text):
			findings.Add(apps.OutdatedFile, file, 0, "its description, or the platform, has changed since")
		}
		if path.Base(name) == "node.json" {
			CheckNode(file, text, current[path.Join(path.Dir(name), "operator.toml")] != nil, findings)
		}
	}
	findings.Sort()
	return nil
}

// CheckNode checks a node's configuration with the node's own reader. operator says
// whether there is a file of route tables beside it.
func CheckNode(file string, text []byte, operator bool, findings *apps.Findings) {
	var header struct {
		Schema *int `json:"schema"`
	}
	if json.Unmarshal(text, &header) == nil {
		switch {
		case header.Schema == nil:
			findings.Add(apps.SchemaTooOld, file, 0, "it has no schema: it is of version 0, of before there were descriptions")
		case *header.Schema > apps.Schema+1:
			findings.Add(apps.SchemaTooNew, file, 0, fmt.Sprintf("schema %d, and this program writes %d", *header.Schema, apps.Schema))
		}
	}
	files := node.Files{Config: file}
	if operator {
		files.Operator = filepath.Join(filepath.Dir(file), "operator.toml")
	}
	_, err := files.Read()
	var routeFindings *node.Findings
	switch {
	case errors.As(err, &routeFindings):
		for _, f := range routeFindings.All {
			findings.Add(apps.NodeRefuses, routeFindings.File, f.Line, f.String())
		}
	case err != nil:
		findings.Add(apps.NodeRefuses, file, 0, strings.TrimPrefix(err.Error(), "configuration "+file+": "))
	}
}
