package curlewring_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// pure lists the packages that decide. They get events and time, and give
// actions back: all else would make a decision depend on what no test can set.
func pure() []string {
	return []string{"decide", "internal/operators/routes", "internal/operators/apps", "internal/operators/document", "internal/budget",
		"internal/sched/timerwheel", "internal/conns/idleconns", "internal/sched/background", "internal/conns/membudget",
		"internal/store", "internal/servers/serverdb", "internal/servers/stalelist", "internal/servers/endpoints", "internal/fleet/membership", "internal/fleet/wire",
		"internal/fleet/allowance", "internal/fleet/lease", "internal/fleet/consensus", "internal/fleet/protofields", "internal/fleet/raftstore", "internal/fleet/leaselog", "internal/fleet/bootstrap", "internal/fleet/maintenance",
		"internal/rig/registry",
	}
}

// impurities finds what a pure package must not do in one of its files.
func impurities(t *testing.T, name string, text any) []string {
	t.Helper()
	files := token.NewFileSet()
	f, err := parser.ParseFile(files, name, text, 0)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, spec := range f.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if path == "net/netip" || path == "net/url" {
			continue // addresses and escapes as values: no I/O
		}
		switch root, _, _ := strings.Cut(path, "/"); root {
		case "net", "os", "log", "sync", "io", "syscall", "runtime", "unsafe", "bufio":
			found = append(found, "imports "+path)
		}
	}
	for _, d := range f.Decls {
		if g, ok := d.(*ast.GenDecl); ok && g.Tok == token.VAR {
			found = append(found, "has a package variable")
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			found = append(found, "starts a goroutine")
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && x.Name == "time" {
				switch n.Sel.Name {
				case "Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker":
					found = append(found, "uses time."+n.Sel.Name)
				}
			}
			if x, ok := n.X.(*ast.Ident); ok && x.Name == "rand" && (n.Sel.Name == "IntN" || n.Sel.Name == "Float64") {
				found = append(found, "draws from the shared generator")
			}
		}
		return true
	})
	return found
}

func TestPurePackagesStayPure(t *testing.T) {
	for _, dir := range pure() {
		paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(paths) == 0 {
			t.Fatalf("%s: %v, %v", dir, paths, err)
		}
		for _, path := range paths {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			for _, what := range impurities(t, path, text) {
				t.Errorf("%s %s", path, what)
			}
		}
	}
}

// The check must find what it is for.
func TestImpuritiesAreFound(t *testing.T) {
	for _, text := range []string{
		`package x; import "net/http"; type T = http.Request`,
		`package x; import "os"; func f() { os.Exit(1) }`,
		`package x; import "sync"; type T struct { sync.Mutex }`,
		`package x; import "log/slog"; func f() { slog.Info("x") }`,
		`package x; import "time"; func f() time.Time { return time.Now() }`,
		`package x; func f() { go f() }`,
		`package x; var state int`,
	} {
		if len(impurities(t, "x.go", text)) == 0 {
			t.Errorf("nothing found in %q", text)
		}
	}
	if found := impurities(t, "x.go", `package x; import "time"; const d = time.Second`); len(found) > 0 {
		t.Errorf("found %v", found)
	}
}

// Leases must not depend on what time it is: a wall clock may be set. What holds them goes by clock.Boot; the time of day is
// for the deadlines of sockets alone.
func TestLeasesNeedNoTimeOfDay(t *testing.T) {
	looked := 0
	for _, dir := range []string{"internal/node/leases", "internal/node/bootstrap", "internal/leaseexec"} {
		paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			for n, line := range strings.Split(string(text), "\n") {
				if strings.Contains(line, "clock.Boot()") {
					looked++
				}
				if strings.Contains(line, "time.Now()") && !strings.Contains(line, "Deadline(") || strings.Contains(line, "time.Since(") {
					t.Errorf("%s:%d asks for the time of day: %s", path, n+1, strings.TrimSpace(line))
				}
			}
		}
	}
	if looked < 20 {
		t.Errorf("only %d readings of the clock were seen", looked)
	}
}
