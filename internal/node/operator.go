package node

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"curlewring/internal/operators/routes"
)

// Files are the configuration files of a node.
type Files struct {
	Config   string // the platform's configuration
	Operator string // the operators' timing rules; "": none
	Local    string // the node's own settings; "": none
}

// Findings is the error that lists the faults of the operators' file.
type Findings struct {
	File string
	All  []routes.Finding
}

// maxLoggedFindings bounds the findings on one log line.
const maxLoggedFindings = 8

// Error returns the findings on one line: all, or the first ones and how many more there are.
func (f *Findings) Error() string {
	var lines []string
	for i := range f.All {
		if i == maxLoggedFindings {
			lines = append(lines, fmt.Sprintf("and %d more", len(f.All)-i))
			break
		}
		lines = append(lines, f.All[i].InFile(f.File))
	}
	return strings.Join(lines, "; ")
}

// Read reads and checks the files. The error is a *Findings if the operators' file has faults.
func (f Files) Read() (*Config, error) {
	c, err := ReadConfig(f.Config)
	if err == nil && f.Local != "" {
		var local LocalSettings
		local, err = readLocalSettings(f.Local)
		c.State, c.Members, c.Leases = local.State, local.Members, local.Leases
		if c.Leases != nil {
			c.Leases.Name, c.Leases.Site = c.Name, c.Settings.Zone
		}
		if c.Members != nil {
			c.Members.Name, c.Members.Site = c.Name, c.Settings.Zone
		}
	}
	if err != nil || f.Operator == "" {
		return c, err
	}
	text, err := readBounded(f.Operator, routes.MaxFileSize)
	if err != nil {
		return nil, &Findings{f.Operator, []routes.Finding{{Code: routes.Unreadable, Text: err.Error()}}}
	}
	file, findings := routes.Parse(text)
	c.operatorRules = &operatorFile{file: file, name: f.Operator}
	var checkFindings *Findings
	if c.Routes, err = c.operatorRules.check(c); errors.As(err, &checkFindings) {
		findings = append(findings, checkFindings.All...)
	}
	if len(findings) > 0 {
		routes.SortFindings(findings)
		return nil, &Findings{f.Operator, findings}
	}
	return c, nil
}

// operatorFile is the parsed operators' file.
type operatorFile struct {
	file *routes.File
	name string
}

// check validates the file against a configuration, which need not be the one that it was
// read with, and returns its route table.
func (o *operatorFile) check(c *Config) (*routes.Table, error) {
	if o == nil {
		return nil, nil
	}
	table, findings := routes.Check(o.file, routes.Env{Classes: c.Classes, Tenants: c.Tenants, Settings: c.Settings})
	if len(findings) > 0 {
		return nil, &Findings{o.name, findings}
	}
	return table, nil
}

// readBounded reads a regular file up to one byte over the limit, so that the parser can
// report a file that is too large.
func readBounded(path string, limit int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s is not a regular file", path)
	}
	text, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", path, err)
	}
	return text, nil
}
