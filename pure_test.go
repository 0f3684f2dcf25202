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

// purePackages returns the packages that make decisions. They take events and the time, and return actions:
// any other input would make a decision depend on something that no test can control.
func purePackages() []string {
	return []string{"decide", "internal/operators/routes", "internal/operators/apps", "internal/operators/document", "internal/budget",
		"internal/sched/timerwheel", "internal/conns/idleconns", "internal/sched/background", "internal/sched/dutycycle", "internal/conns/membudget", "internal/conns/repeats", "internal/conns/requestids",
		"internal/store", "internal/servers/serverdb", "internal/servers/stalelist", "internal/servers/endpoints", "internal/fleet/membership", "internal/fleet/wire",
		"internal/fleet/allowance", "internal/fleet/lease", "internal/fleet/consensus", "internal/fleet/protofields", "internal/fleet/raftstore", "internal/fleet/leaselog", "internal/fleet/bootstrap", "internal/fleet/maintenance",
		"internal/rig/registry",
	}
}

// findImpurities returns what one of its files does that a pure package must not do.
func findImpurities(t *testing.T, name string, text any) []string {
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
	for _, dir := range purePackages() {
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
			for _, impurity := range findImpurities(t, path, text) {
				t.Errorf("%s %s", path, impurity)
			}
		}
	}
}

// The check must find each kind of impurity.
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
		if len(findImpurities(t, "x.go", text)) == 0 {
			t.Errorf("found no impurity in %q", text)
		}
	}
	if found := findImpurities(t, "x.go", `package x; import "time"; const d = time.Second`); len(found) > 0 {
		t.Errorf("found %v in a pure file", found)
	}
}

// Leases must not depend on the time of day, since a wall clock may be set. They use clock.Boot; the time
// of day serves only for the deadlines of sockets.
func TestLeasesNeedNoTimeOfDay(t *testing.T) {
	readings := 0
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
					readings++
				}
				if strings.Contains(line, "time.Now()") && !strings.Contains(line, "Deadline(") || strings.Contains(line, "time.Since(") {
					t.Errorf("%s:%d uses the time of day: %s", path, n+1, strings.TrimSpace(line))
				}
			}
		}
	}
	if readings < 20 {
		t.Errorf("found only %d readings of the clock", readings)
	}
}
