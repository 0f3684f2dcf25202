package node

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"curlewring/internal/operators/routes"
)

// Files are the files that a node goes by.
type Files struct {
	Config   string // the platform's configuration
	Operator string // the operators' timing rules; "": none
	Local    string // the node's own settings; "": none
}

// Findings are the faults of the operators' file.
type Findings struct {
	File string
	All  []routes.Finding
}

// mostTold is how many findings a log line holds.
const maxLoggedFindings = 8

// Error tells all findings, or the first and how many more, on one line.
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

// Read reads and checks both files. The error is *Findings where the operators'
// file is at fault.
func (f Files) Read() (*Config, error) {
	c, err := ReadConfig(f.Config)
	if err == nil && f.Local != "" {
		var own LocalSettings
		own, err = readLocalSettings(f.Local)
		c.State, c.Members, c.Leases = own.State, own.Members, own.Leases
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
	var more *Findings
	if c.Routes, err = c.operatorRules.check(c); errors.As(err, &more) {
		findings = append(findings, more.All...)
	}
	if len(findings) > 0 {
		routes.SortFindings(findings)
		return nil, &Findings{f.Operator, findings}
	}
	return c, nil
}

// operator is the operators' file as it was read.
type operatorFile struct {
	file *routes.File
	name string
}

// check checks the file against a configuration, which need not be the one that
// it came with.
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

// readBounded reads a regular file, and one byte over the bound if there is
// more: whoever parses it finds it too large.
func readBounded(path string, most int64) ([]byte, error) {
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
		return nil, fmt.Errorf("%s is no regular file", path)
	}
	text, err := io.ReadAll(io.LimitReader(f, most+1))
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", path, err)
	}
	return text, nil
}
