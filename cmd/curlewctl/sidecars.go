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

// descriptionFiles are the arguments and flags that name the descriptions of applications.
type descriptionFiles struct {
	Paths        []string `arg:"" optional:"" type:"path" help:"Descriptions, or folders of them."`
	Dirs         []string `name:"dir" type:"path" placeholder:"DIR" help:"A folder of descriptions: a whole host or fleet."`
	PlatformFile string   `name:"platform" type:"path" placeholder:"FILE" help:"The shared file; by default platform.toml beside the descriptions."`
}

// load reads the descriptions. Their faults are findings; an error says that none were named.
func (d *descriptionFiles) load() (*appdir.Descriptions, error) {
	paths := append(slices.Clone(d.Paths), d.Dirs...)
	if len(paths) == 0 {
		return nil, errors.New("name a description, or a folder by --dir")
	}
	return appdir.LoadDescriptions(d.PlatformFile, relativePaths(paths)), nil
}

// relativePaths makes paths below the working directory relative to it, in place: findings and generated files must not
// depend on where that directory is.
func relativePaths(paths []string) []string {
	workingDir, err := os.Getwd()
	for i, path := range paths {
		if rel, relErr := filepath.Rel(workingDir, path); err == nil && relErr == nil && !strings.HasPrefix(rel, "..") {
			paths[i] = rel
		}
	}
	return paths
}

// exitCode is an error that ends the program with this exit code and without a message.
type exitCode int

func (c exitCode) Error() string { return fmt.Sprintf("exit code %d", int(c)) }

// findingsExitCode returns exit code 1 if there are only warnings, 2 if there are errors, and nil if there are no
// findings.
func findingsExitCode(findings apps.Findings) error {
	if worst := findings.Worst(); worst > 0 {
		return exitCode(worst)
	}
	return nil
}

// printFindings prints one finding a line, then the numbers of errors and warnings.
func printFindings(w io.Writer, findings apps.Findings) {
	errorCount := 0
	for i := range findings {
		fmt.Fprintln(w, findings[i])
		if findings[i].Level == "error" {
			errorCount++
		}
	}
	fmt.Fprintf(w, "%d errors, %d warnings\n", errorCount, len(findings)-errorCount)
}

// writeCommand generates node configurations from descriptions.
type writeCommand struct {
	descriptionFiles
	OutDir string `name:"out" required:"" type:"path" placeholder:"DIR" help:"The folder of the generated sets; current in it links to the set in use."`
	Diff   bool   `help:"Print what would change, and write nothing."`
}

func (c *writeCommand) Run() error { return c.run(os.Stdout, os.Stderr) }

// run writes results to out and findings to errs. It writes no files if there are errors.
func (c *writeCommand) run(out, errs io.Writer) error {
	loaded, err := c.load()
	if err != nil {
		return err
	}
	if loaded.Findings.Worst() == 2 {
		printFindings(errs, loaded.Findings)
		return exitCode(2)
	}
	files := loaded.Set.Generate(loaded.Sources)
	if c.Diff {
		return c.diff(out, files)
	}
	name, changed, err := appdir.Write(c.OutDir, files)
	if err != nil {
		return err
	}
	if changed {
		fmt.Fprintf(out, "%d files written for %d sidecars, set %s\n", len(files), len(loaded.Set.Apps), name)
	} else {
		fmt.Fprintf(out, "nothing changed, set %s\n", name)
	}
	if len(loaded.Findings) > 0 {
		printFindings(errs, loaded.Findings)
	}
	return nil
}

// diff prints the changes to the current set as unified diffs, as diff -u does.
func (c *writeCommand) diff(out io.Writer, files []apps.GeneratedFile) error {
	current, err := appdir.ReadCurrentSet(c.OutDir)
	if err != nil {
		return err
	}
	generated := map[string][]byte{}
	var names []string
	for _, file := range files {
		generated[file.Path] = file.Text
		names = append(names, file.Path)
	}
	for name := range current {
		if generated[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	changed := 0
	for _, name := range names {
		if string(current[name]) == string(generated[name]) {
			continue
		}
		changed++
		from, to := "current/"+name, "new/"+name
		if current[name] == nil {
			from = os.DevNull
		}
		if generated[name] == nil {
			to = os.DevNull
		}
		unified := difflib.UnifiedDiff{A: splitLines(current[name]), B: splitLines(generated[name]), FromFile: from, ToFile: to, Context: 2}
		if err := difflib.WriteUnifiedDiff(out, unified); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%d of %d files would change\n", changed, len(names))
	return nil
}

// splitLines splits a text into lines, each with its line break. An empty text has none.
func splitLines(text []byte) []string {
	if len(text) == 0 {
		return nil
	}
	lines := strings.SplitAfter(string(text), "\n")
	if lines[len(lines)-1] == "" {
		lines = lines[:len(lines)-1]
	}
	return lines
}

// checkCommand checks descriptions, node configurations, and the files generated from descriptions.
type checkCommand struct {
	descriptionFiles
	GeneratedDir string `name:"written" type:"path" placeholder:"DIR" help:"An output folder of write to check as well, against the descriptions if any are named."`
	JSON         bool   `name:"json" xor:"form" help:"Print findings as JSON."`
	SARIF        bool   `name:"sarif" xor:"form" help:"Print findings as SARIF 2.1.0, for continuous integration."`
}

func (c *checkCommand) Run() error { return c.run(os.Stdout) }

// run writes the findings to out in the chosen format, and returns an exitCode error if there are any.
func (c *checkCommand) run(out io.Writer) error {
	var findings apps.Findings
	var expected []apps.GeneratedFile
	if len(c.Paths)+len(c.Dirs) > 0 || c.GeneratedDir == "" {
		// Paths to *.json are node configurations, which are checked by themselves.
		var nodes []string
		c.Paths = slices.DeleteFunc(c.Paths, func(path string) bool {
			if filepath.Ext(path) != ".json" {
				return false
			}
			nodes = append(nodes, path)
			return true
		})
		for _, path := range relativePaths(nodes) {
			checkNode(path, &findings)
		}
		if len(c.Paths)+len(c.Dirs) > 0 || len(nodes) == 0 {
			loaded, err := c.load()
			if err != nil {
				return err
			}
			findings = append(findings, loaded.Findings...)
			if loaded.Set != nil && loaded.Findings.Worst() < 2 {
				expected = loaded.Set.Generate(loaded.Sources)
			}
		}
	}
	if c.GeneratedDir != "" {
		if err := appdir.CheckGenerated(relativePaths([]string{c.GeneratedDir})[0], expected, &findings); err != nil {
			return err
		}
	}
	findings.Sort()
	var err error
	switch {
	case c.JSON:
		if findings == nil {
			findings = apps.Findings{} // encoded as [] instead of null
		}
		err = printJSON(out, findings)
	case c.SARIF:
		err = printSARIF(out, findings)
	default:
		printFindings(out, findings)
	}
	if err != nil {
		return err
	}
	return findingsExitCode(findings)
}

// checkNode checks a node configuration, and that it was not edited by hand if it was generated.
func checkNode(path string, findings *apps.Findings) {
	text, err := os.ReadFile(path)
	if err != nil {
		findings.Add(apps.Unreadable, path, 0, err.Error())
		return
	}
	if valid, generated := apps.VerifyChecksum(text); generated && !valid {
		findings.Add(apps.HandEdited, path, 0, "its sum is not that of its text")
	}
	_, err = os.Stat(filepath.Join(filepath.Dir(path), "operator.toml"))
	appdir.CheckNode(path, text, err == nil, findings)
}

// explainCommand shows how a sidecar handles requests of a class, and where each value is set.
type explainCommand struct {
	Sidecar string `arg:"" help:"The sidecar's name."`
	Class   string `arg:"" help:"The request's class."`
	Path    string `arg:"" optional:"" help:"The request's path; by default that of the class."`

	Dirs         []string `name:"dir" required:"" type:"path" placeholder:"DIR" help:"A folder of descriptions, or one description."`
	PlatformFile string   `name:"platform" type:"path" placeholder:"FILE" help:"The shared file; by default platform.toml beside the descriptions."`
}

func (c *explainCommand) Run() error { return c.run(os.Stdout, os.Stderr) }

// run writes the explanation to out, and findings to errs if the descriptions have errors.
func (c *explainCommand) run(out, errs io.Writer) error {
	loaded := appdir.LoadDescriptions(c.PlatformFile, relativePaths(c.Dirs))
	if loaded.Findings.Worst() == 2 {
		printFindings(errs, loaded.Findings)
		return exitCode(2)
	}
	explanation, err := loaded.Set.Explain(c.Sidecar, c.Class, c.Path)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s, class %s, path %s\n", explanation.Sidecar, explanation.Class, explanation.Path)
	if explanation.Route != "" {
		fmt.Fprintf(out, "route: %s\n", explanation.Route)
	} else {
		fmt.Fprintln(out, "route: none; the platform's settings hold")
	}
	fmt.Fprintln(out)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "key\tvalue\tfrom")
	for _, row := range explanation.Rows {
		fmt.Fprintf(table, "%s\t%s\t%s\n", row.Key, row.Value, row.From)
	}
	table.Flush()
	fmt.Fprintln(out, "\nat the worst, along the chain:")
	table = tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "sidecar\tclass\troute\tattempts\tin all\tone lasts\ttogether\tcomes with\tcopies at once")
	for _, step := range explanation.Chain {
		concurrentCopies := 1
		if step.SecondCopies {
			concurrentCopies = 2
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%v\t%v\t%v\t%d\n", step.Sidecar, step.Class, orDefault(step.Route, "-"), step.Attempts,
			step.CumulativeAttempts, step.MaxAttemptTime, step.MaxTotalTime, step.MinTimeLeft, concurrentCopies)
	}
	return table.Flush()
}

// orDefault returns the value, or the default if the value is empty.
func orDefault(value, defaultValue string) string {
	if value != "" {
		return value
	}
	return defaultValue
}

// schemaCommand prints the JSON schema of a kind of description file, for editors.
type schemaCommand struct {
	Kind string `arg:"" name:"of" enum:"app,platform" help:"The kind of file: app or platform."`
}

func (c *schemaCommand) Run() error {
	schema := apps.AppSchema
	if c.Kind == "platform" {
		schema = apps.PlatformSchema
	}
	text, err := schema()
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(text)
	return err
}
