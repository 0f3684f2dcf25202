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

// recallCommand groups the commands on the server list that a node keeps across restarts.
type recallCommand struct {
	Show   recallShow   `cmd:"" help:"Print the stored server list of a node."`
	Verify recallVerify `cmd:"" help:"Report damage. Exit code 0, 1 if the last write was cut short or a file does not belong to the store, 2 if rows are lost or may be."`
	Repair recallRepair `cmd:"" help:"Write all undamaged rows as a new generation. The node must not run."`
}

// recallShow prints the stored server list.
type recallShow struct {
	Folder   string `arg:"" type:"existingdir" help:"The folder that [state] names."`
	ShowGone bool   `name:"gone" help:"Include servers that are gone."`
	JSON     bool   `help:"Print as JSON."`
}

// recallVerify reports damage of the stored state.
type recallVerify struct {
	Folder string `arg:"" type:"existingdir" help:"The folder that [state] names."`
}

// recallRepair rewrites the stored state without its damaged parts.
type recallRepair struct {
	Folder string `arg:"" type:"existingdir" help:"The folder that [state] names."`
}

// readOnlyFS rejects all writes. It allows reading a folder that a running node has locked.
type readOnlyFS struct{ store.FS }

var errReadOnly = errors.New("the folder is open for reading only")

func (readOnlyFS) Create(string) (store.File, error) { return nil, errReadOnly }
func (readOnlyFS) Rename(string, string) error       { return errReadOnly }
func (readOnlyFS) Remove(string) error               { return errReadOnly }
func (readOnlyFS) SyncDir() error                    { return errReadOnly }

// openReadOnly reads the database in a folder without taking its lock.
func openReadOnly(folder string) (*serverdb.DB, store.Report, []string) {
	rows, report := store.Open(readOnlyFS{disk.OpenReadOnly(folder)}, store.Settings{})
	db, notes := serverdb.Open(rows, serverdb.Settings{}, 0)
	return db, report, notes
}

func (c *recallShow) Run() error { return c.print(os.Stdout, time.Now()) }

func (c *recallShow) print(w io.Writer, now time.Time) error {
	db, report, _ := openReadOnly(c.Folder)
	list := db.List()
	var servers []serverdb.Server
	counts := map[serverdb.State]int{}
	for _, server := range db.Servers() {
		counts[server.State]++
		if server.State != serverdb.Gone || c.ShowGone {
			servers = append(servers, server)
		}
	}
	if c.JSON {
		return printJSON(w, map[string]any{"list": list, "servers": servers, "report": report.String()})
	}
	age := "of unknown age"
	if listAge, known := list.Age(now); known {
		age = listAge.Round(time.Second).String() + " old"
	}
	complete := "complete"
	if !list.Consistent {
		complete = "not complete: the next start asks for the whole list"
	}
	fmt.Fprintf(w, "the list   generation %d of %s, %s, %s\n", list.Generation, list.Discovery, age, complete)
	fmt.Fprintf(w, "servers    %d serving, %d draining, %d gone; %.1f answers a second of each\n",
		counts[serverdb.Serving], counts[serverdb.Draining], counts[serverdb.Gone], list.ServerRate)
	fmt.Fprintf(w, "the store  %s\n\n", report)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "server\taddress\tzone\tcell\tstate\tsince\tserved")
	timestamp := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return t.UTC().Format("2006-01-02T15:04:05Z")
	}
	for _, server := range servers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", server.ID, server.Address, server.Zone, server.Cell, server.State,
			timestamp(server.StateSince), timestamp(server.LastServed))
	}
	return table.Flush()
}

func (c *recallVerify) Run() error { return c.print(os.Stdout) }

func (c *recallVerify) print(w io.Writer) error {
	db, report, notes := openReadOnly(c.Folder)
	fmt.Fprintln(w, report)
	for _, note := range notes {
		fmt.Fprintln(w, note)
	}
	list := db.List()
	switch {
	case report.NoSnapshot || report.DamagedBytes > 0 || len(notes) > 0:
		fmt.Fprintln(w, "rows are lost, or may be; the node uses the others and asks for the whole list")
		return exitCode(2)
	case report.TruncatedBytes > 0 || len(report.Notes) > 0 || list.Generation > 0 && !list.Consistent:
		fmt.Fprintln(w, "the last write was cut short, or a file is none of this store; the node uses what is there")
		return exitCode(1)
	}
	fmt.Fprintln(w, "sound")
	return nil
}

func (c *recallRepair) Run() error { return c.print(os.Stdout) }

func (c *recallRepair) print(w io.Writer) error {
	folder, err := disk.Open(c.Folder)
	if err != nil {
		return err
	}
	defer folder.Close()
	rows, report := store.Open(folder, store.Settings{})
	fmt.Fprintln(w, "found    ", report)
	// Each rewrite begins a generation with a journal and a full snapshot. Only the second one removes the damaged
	// files.
	now := time.Duration(0)
	for range 2 {
		if err := rows.Rewrite(now); err != nil {
			return err
		}
		now += time.Hour
	}
	if err := rows.Close(now); err != nil {
		return err
	}
	_, report = store.Open(folder, store.Settings{})
	fmt.Fprintln(w, "is now   ", report)
	names, err := filepath.Glob(filepath.Join(c.Folder, "*"))
	if err != nil {
		return err
	}
	fmt.Fprintln(w, "files    ", len(names))
	return nil
}
