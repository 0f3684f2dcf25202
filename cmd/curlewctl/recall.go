package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"curlewring/internal/node/disk"
	"curlewring/internal/servers/serverdb"
	"curlewring/internal/store"
)

// recallCommand looks into what a node keeps over its restarts.
type recallCommand struct {
	Show   recallShow   `cmd:"" help:"Print what a node remembers."`
	Verify recallVerify `cmd:"" help:"Tell what is damaged. Exit code 0, 1 with damage of which nothing was lost for sure, 2 with rows lost."`
	Repair recallRepair `cmd:"" help:"Write what is sound as a new generation. The node must not run."`
}

type recallShow struct {
	Folder string `arg:"" type:"existingdir" help:"The folder that [state] names."`
	Gone   bool   `help:"Those that are gone as well."`
	JSON   bool   `help:"Print as JSON."`
}

type recallVerify struct {
	Folder string `arg:"" type:"existingdir" help:"The folder that [state] names."`
}

type recallRepair struct {
	Folder string `arg:"" type:"existingdir" help:"The folder that [state] names."`
}

// readOnly is a folder that is looked at, also while a node holds it.
type readOnly struct{ store.FS }

var errReadOnly = errors.New("the folder is only looked at")

func (readOnly) Create(string) (store.File, error) { return nil, errReadOnly }
func (readOnly) Rename(string, string) error       { return errReadOnly }
func (readOnly) Remove(string) error               { return errReadOnly }
func (readOnly) SyncDir() error                    { return errReadOnly }

// look reads a folder without holding it.
func look(folder string) (*serverdb.DB, store.Report, []string) {
	s, report := store.Open(readOnly{disk.OpenReadOnly(folder)}, store.Settings{})
	m, notes := serverdb.Open(s, serverdb.Settings{}, 0)
	return m, report, notes
}

func (c *recallShow) Run() error { return c.print(os.Stdout, time.Now()) }

func (c *recallShow) print(w io.Writer, now time.Time) error {
	m, report, _ := look(c.Folder)
	l := m.List()
	var servers []serverdb.Server
	counts := map[serverdb.State]int{}
	for _, s := range m.Servers() {
		counts[s.State]++
		if s.State != serverdb.Gone || c.Gone {
			servers = append(servers, s)
		}
	}
	if c.JSON {
		return printJSON(w, map[string]any{"list": l, "servers": servers, "report": report.String()})
	}
	age := "of unknown age"
	if a, known := l.Age(now); known {
		age = a.Round(time.Second).String() + " old"
	}
	complete := "complete"
	if !l.Consistent {
		complete = "not complete: the next start asks for the whole list"
	}
	fmt.Fprintf(w, "the list   generation %d of %s, %s, %s\n", l.Generation, l.Discovery, age, complete)
	fmt.Fprintf(w, "servers    %d serving, %d draining, %d gone; %.1f answers a second of each\n",
		counts[serverdb.Serving], counts[serverdb.Draining], counts[serverdb.Gone], l.ServerRate)
	fmt.Fprintf(w, "the store  %s\n\n", report)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "server\taddress\tzone\tcell\tstate\tsince\tserved")
	day := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return t.UTC().Format("2006-01-02T15:04:05Z")
	}
	for _, s := range servers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", s.ID, s.Address, s.Zone, s.Cell, s.State, day(s.StateSince), day(s.LastServed))
	}
	return t.Flush()
}

func (c *recallVerify) Run() error { return c.print(os.Stdout) }

func (c *recallVerify) print(w io.Writer) error {
	m, report, notes := look(c.Folder)
	fmt.Fprintln(w, report)
	for _, n := range notes {
		fmt.Fprintln(w, n)
	}
	l := m.List()
	switch {
	case report.NoSnapshot || report.DamagedBytes > 0 || len(notes) > 0:
		fmt.Fprintln(w, "rows are lost, or may be; the node uses the others and asks for the whole list")
		return found(2)
	case report.TruncatedBytes > 0 || len(report.Notes) > 0 || l.Generation > 0 && !l.Consistent:
		fmt.Fprintln(w, "the last write was cut short, or a file is none of this store; the node uses what is there")
		return found(1)
	}
	fmt.Fprintln(w, "sound")
	return nil
}

func (c *recallRepair) Run() error { return c.print(os.Stdout) }

func (c *recallRepair) print(w io.Writer) error {
	f, err := disk.Open(c.Folder)
	if err != nil {
		return err
	}
	defer f.Close()
	s, report := store.Open(f, store.Settings{})
	fmt.Fprintln(w, "found    ", report)
	// A journal and a snapshot of everything begin with the first commit; two of them let the damaged files go.
	now := time.Duration(0)
	for range 2 {
		if err := s.Rewrite(now); err != nil {
			return err
		}
		now += time.Hour
	}
	if err := s.Close(now); err != nil {
		return err
	}
	_, report = store.Open(f, store.Settings{})
	fmt.Fprintln(w, "is now   ", report)
	names, err := filepath.Glob(filepath.Join(c.Folder, "*"))
	if err != nil {
		return err
	}
	fmt.Fprintln(w, "files    ", len(names))
	return nil
}
