package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pmezard/go-difflib/difflib"

	"curlewring/internal/operators/appdir"
	"curlewring/internal/operators/apps"
)

// descriptions are the files that a command reads.
type descriptions struct {
	Paths    []string `arg:"" optional:"" type:"path" help:"Descriptions, or folders of them."`
	Dir      []string `type:"path" placeholder:"DIR" help:"A folder of descriptions: a whole host or fleet."`
	Platform string   `type:"path" placeholder:"FILE" help:"The shared file; by default platform.toml beside the descriptions."`
}

func (d *descriptions) load() (*appdir.Descriptions, error) {
	paths := append(slices.Clone(d.Paths), d.Dir...)
	if len(paths) == 0 {
		return nil, errors.New("name a description, or a folder by --dir")
	}
	return appdir.LoadDescriptions(d.Platform, relative(paths)), nil
}

// relative names files as somebody who stands in this folder would: what is
// printed and written must not hold where that lies.
func relative(paths []string) []string {
	here, err := os.Getwd()
	for i, p := range paths {
		if rel, err2 := filepath.Rel(here, p); err == nil && err2 == nil && !strings.HasPrefix(rel, "..") {
			paths[i] = rel
		}
	}
	return paths
}

// found is the exit code of a command: 1 for warnings, 2 for errors.
type found int

func (f found) Error() string { return fmt.Sprintf("findings (%d)", int(f)) }

func verdict(f apps.Findings) error {
	if worst := f.Worst(); worst > 0 {
		return found(worst)
	}
	return nil
}

// tell prints findings one a line, and how many.
func tell(w io.Writer, f apps.Findings) {
	errs := 0
	for i := range f {
		fmt.Fprintln(w, f[i])
		if f[i].Level == "error" {
			errs++
		}
	}
	fmt.Fprintf(w, "%d errors, %d warnings\n", errs, len(f)-errs)
}

// writeCommand writes node configurations from descriptions.
type writeCommand struct {
	descriptions
	Out  string `required:"" type:"path" placeholder:"DIR" help:"The folder of the sets; current in it is the one that holds."`
	Diff bool   `help:"Show what would change, and write nothing."`
}

func (c *writeCommand) Run() error { return c.run(os.Stdout, os.Stderr) }

func (c *writeCommand) run(out, errs io.Writer) error {
	l, err := c.load()
	if err != nil {
		return err
	}
	if l.Findings.Worst() == 2 {
		tell(errs, l.Findings)
		return found(2)
	}
	all := l.Set.Generate(l.Sources)
	if c.Diff {
		return c.diff(out, all)
	}
	name, changed, err := appdir.Write(c.Out, all)
	if err != nil {
		return err
	}
	if changed {
		fmt.Fprintf(out, "%d files written for %d sidecars, set %s\n", len(all), len(l.Set.Apps), name)
	} else {
		fmt.Fprintf(out, "nothing changed, set %s\n", name)
	}
	if len(l.Findings) > 0 {
		tell(errs, l.Findings)
	}
	return nil
}

// diff prints what writing would change (unified, as diff -u does).
func (c *writeCommand) diff(out io.Writer, all []apps.GeneratedFile) error {
	current, err := appdir.ReadCurrentSet(c.Out)
	if err != nil {
		return err
	}
	names := map[string][]byte{}
	var order []string
	for _, w := range all {
		names[w.Path] = w.Text
		order = append(order, w.Path)
	}
	for name := range current {
		if names[name] == nil {
			order = append(order, name)
		}
	}
	slices.Sort(order)
	changed := 0
	for _, name := range order {
		if string(current[name]) == string(names[name]) {
			continue
		}
		changed++
		from, to := "current/"+name, "new/"+name
		if current[name] == nil {
			from = os.DevNull
		}
		if names[name] == nil {
			to = os.DevNull
		}
		d := difflib.UnifiedDiff{A: lines(current[name]), B: lines(names[name]), FromFile: from, ToFile: to, Context: 2}
		if err := difflib.WriteUnifiedDiff(out, d); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%d of %d files would change\n", changed, len(order))
	return nil
}

func lines(text []byte) []string {
	if len(text) == 0 {
		return nil
	}
	all := strings.SplitAfter(string(text), "\n")
	if all[len(all)-1] == "" {
		all = all[:len(all)-1]
	}
	return all
}

// checkCommand checks descriptions, and what was written of them.
type checkCommand struct {
	descriptions
	Written string `type:"path" placeholder:"DIR" help:"A folder that write wrote to: checked too, against the descriptions if any are named."`
	JSON    bool   `name:"json" xor:"form" help:"Print findings as JSON."`
	SARIF   bool   `name:"sarif" xor:"form" help:"Print findings as SARIF 2.1.0, for continuous integration."`
}

func (c *checkCommand) Run() error { return c.run(os.Stdout) }

func (c *checkCommand) run(out io.Writer) error {
	var findings apps.Findings
	var want []apps.GeneratedFile
	if len(c.Paths)+len(c.Dir) > 0 || c.Written == "" {
		// A node's configuration may be named as it is.
		var nodes []string
		c.Paths = slices.DeleteFunc(c.Paths, func(p string) bool {
			if filepath.Ext(p) != ".json" {
				return false
			}
			nodes = append(nodes, p)
			return true
		})
		for _, p := range relative(nodes) {
			checkNode(p, &findings)
		}
		if len(c.Paths)+len(c.Dir) > 0 || len(nodes) == 0 {
			l, err := c.load()
			if err != nil {
				return err
			}
			findings = append(findings, l.Findings...)
			if l.Set != nil && l.Findings.Worst() < 2 {
				want = l.Set.Generate(l.Sources)
			}
		}
	}
	if c.Written != "" {
		if err := appdir.CheckGenerated(relative([]string{c.Written})[0], want, &findings); err != nil {
			return err
		}
	}
	findings.Sort()
	var err error
	switch {
	case c.JSON:
		if findings == nil {
			findings = apps.Findings{} // an empty list, not none
		}
		err = printJSON(out, findings)
	case c.SARIF:
		err = printSARIF(out, findings)
	default:
		tell(out, findings)
	}
	if err != nil {
		return err
	}
	return verdict(findings)
}

func checkNode(path string, findings *apps.Findings) {
	text, err := os.ReadFile(path)
	if err != nil {
		findings.Add(apps.Unreadable, path, 0, err.Error())
		return
	}
	if sealed, marked := apps.VerifyChecksum(text); marked && !sealed {
		findings.Add(apps.HandEdited, path, 0, "its sum is not that of its text")
	}
	_, err = os.Stat(filepath.Join(filepath.Dir(path), "operator.toml"))
	appdir.CheckNode(path, text, err == nil, findings)
}

// explainCommand says what becomes of a request, and why.
type explainCommand struct {
	Sidecar string `arg:"" help:"The sidecar's name."`
	Class   string `arg:"" help:"The request's class."`
	Path    string `arg:"" optional:"" help:"The request's path; by default that of the class."`

	Dir      []string `required:"" type:"path" placeholder:"DIR" help:"A folder of descriptions, or one description."`
	Platform string   `type:"path" placeholder:"FILE" help:"The shared file; by default platform.toml beside the descriptions."`
}

func (c *explainCommand) Run() error { return c.run(os.Stdout, os.Stderr) }

func (c *explainCommand) run(out, errs io.Writer) error {
	l := appdir.LoadDescriptions(c.Platform, relative(c.Dir))
	if l.Findings.Worst() == 2 {
		tell(errs, l.Findings)
		return found(2)
	}
	e, err := l.Set.Explain(c.Sidecar, c.Class, c.Path)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s, class %s, path %s\n", e.Sidecar, e.Class, e.Path)
	if e.Route != "" {
		fmt.Fprintf(out, "route: %s\n", e.Route)
	} else {
		fmt.Fprintln(out, "route: none; the platform's settings hold")
	}
	fmt.Fprintln(out)
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "key\tvalue\tfrom")
	for _, r := range e.Rows {
		fmt.Fprintf(t, "%s\t%s\t%s\n", r.Key, r.Value, r.From)
	}
	t.Flush()
	fmt.Fprintln(out, "\nat the worst, along the chain:")
	t = tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "sidecar\tclass\troute\tattempts\tin all\tone lasts\ttogether\tcomes with\tcopies at once")
	for _, s := range e.Chain {
		copies := 1
		if s.SecondCopies {
			copies = 2
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%v\t%v\t%v\t%d\n", s.Sidecar, s.Class, or(s.Route, "-"), s.Attempts, s.CumulativeAttempts, s.MaxAttemptTime, s.MaxTotalTime,
			s.MinTimeLeft, copies)
	}
	return t.Flush()
}

func or(s, other string) string {
	if s != "" {
		return s
	}
	return other
}

// schemaCommand prints the schemas, for editors.
type schemaCommand struct {
	Of string `arg:"" enum:"app,platform" help:"Of which file: app or platform."`
}

func (c *schemaCommand) Run() error {
	schema := apps.AppSchema
	if c.Of == "platform" {
		schema = apps.PlatformSchema
	}
	text, err := schema()
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(text)
	return err
}
