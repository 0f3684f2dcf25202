package node

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	. "curlewring/internal/node/nodetest"
	"curlewring/internal/operators/routes"
)

// nodeFiles are a node's configuration files in a directory of the test.
type nodeFiles struct {
	t *testing.T
	Files
}

func newNodeFiles(t *testing.T, operator string, servers ...*Server) *nodeFiles {
	t.Helper()
	dir := t.TempDir()
	s := &nodeFiles{t, Files{Config: filepath.Join(dir, "config.json"), Operator: filepath.Join(dir, "operator.toml")}}
	var addrs []string
	for _, server := range servers {
		addrs = append(addrs, server.Addr())
	}
	s.write(s.Config, configText(DeadAddress(t), ServerList(1, true, addrs...), 1024))
	s.write(s.Operator, operator)
	return s
}

func (s *nodeFiles) write(path, text string) {
	s.t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		s.t.Fatal(err)
	}
}

// start runs a node with the files.
func (s *nodeFiles) start() *testNode {
	s.t.Helper()
	c, err := s.Read()
	if err != nil {
		s.t.Fatal(err)
	}
	return startNode(s.t, c)
}

// attemptTimeouts returns the timeouts, in ms, of all attempts at a server, as their headers
// gave them.
func attemptTimeouts(s *Server) []int {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	var all []int
	for _, r := range s.Requests {
		ms, err := strconv.Atoi(r.Header.Get("X-Remaining-Ms"))
		if err != nil {
			ms = -1
		}
		all = append(all, ms)
	}
	return all
}

func route(class string, keys ...string) string {
	return fmt.Sprintf("[[route]]\nclass = %q\n%s\n", class, strings.Join(keys, "\n"))
}

// An attempt must end at its route's timeout and be retried at another server as often as the
// route allows, and the request must tell the server the timeout.
func TestRoutePolicyIsApplied(t *testing.T) {
	a, b := NewServer(t, Hang), NewServer(t, Hang)
	n := newNodeFiles(t, route("look", `attempt_timeout = "120ms"`, "attempts = 2")+
		route("look", `path = "/look/patient"`, "attempts = 1", `attempt_timeout = "200ms"`), a, b).start()
	resp, _ := exchange(t, request(t, n.url, "/look/1", ""))
	if resp.StatusCode != http.StatusTooManyRequests {
		t.Errorf("answered %s", resp.Status)
	}
	got := append(attemptTimeouts(a), attemptTimeouts(b)...)
	if len(got) != 2 || slices.Max(got) > 120 || slices.Min(got) < 1 {
		t.Errorf("attempts of %v ms, want 2 of up to 120", got)
	}
	exchange(t, request(t, n.url, "/look/patient/7", ""))
	if got = append(attemptTimeouts(a), attemptTimeouts(b)...); len(got) != 3 || slices.Max(got) <= 120 || slices.Max(got) > 200 {
		t.Errorf("attempts of %v ms, want one more of up to 200", got)
	}
}

// After a reload, a request in its second attempt must keep the rules that it arrived under, and
// the next request must get the new ones.
func TestReloadKeepsRulesOfOpenRequests(t *testing.T) {
	a, b := NewServer(t, Hang), NewServer(t, Hang)
	s := newNodeFiles(t, route("look", `attempt_timeout = "400ms"`, "attempts = 3"), a, b)
	n := s.start()
	var done sync.WaitGroup
	done.Go(func() { exchange(t, request(t, n.url, "/look/1", "")) })
	WaitFor(t, "the second attempt is out", func() bool { return a.RequestCount()+b.RequestCount() == 2 })
	s.write(s.Operator, route("look", `attempt_timeout = "50ms"`, "attempts = 1"))
	if err := n.Reload(s.Files); err != nil {
		t.Fatal(err)
	}
	done.Wait()
	got := append(attemptTimeouts(a), attemptTimeouts(b)...)
	if len(got) != 3 || slices.Min(got) <= 50 {
		t.Errorf("attempts of %v ms, want 3 of up to 400", got)
	}
	exchange(t, request(t, n.url, "/look/2", ""))
	if got = append(attemptTimeouts(a), attemptTimeouts(b)...); len(got) != 4 || slices.Min(got) > 50 {
		t.Errorf("attempts of %v ms, want one more of up to 50", got)
	}
}

// A reload with a fault in either file must change nothing, and log the reason on one line.
func TestBadReloadChangesNothing(t *testing.T) {
	good := route("look", `attempt_timeout = "100ms"`, "attempts = 1")
	bad := route("look", `attempt_timeout = "3s"`, "attempts = 1") // must never be applied
	a := NewServer(t, Hang)
	s := newNodeFiles(t, good, a)
	c, err := s.Read()
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	n := startNode(t, c)
	n.log = slog.New(slog.NewTextHandler(&text, nil)) // captures the log of Reload only
	config, err := os.ReadFile(s.Config)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for i, c := range []struct{ name, operator, config, reason string }{
		{"empty", "", "", "RT003"},
		{"half a line", bad + "[[route]]\nclass = \"no", "", "RT004"},
		{"cut at a line's end", "route_count = 2\n" + bad, "", "RT010"},
		{"ten megabytes", bad + strings.Repeat("# on and on\n", 900000), "", "RT002"},
		{"a rule broken", bad + route("note", `second_copy_after = "100ms"`), "", "RT041"},
		{"two faults", route("look", "attempts = 9") + route("nowhere", "attempts = 2"), "", "RT021"},
		{"a bad configuration", bad, `{"listen":"nowhere"}`, "listen"},
		{"no configuration", bad, " ", "JSON"},
		{"a class that new settings do not name", bad, strings.ReplaceAll(string(config), `"look"`, `"watch"`), "RT021"},
	} {
		s.write(s.Operator, c.operator)
		s.write(s.Config, string(config))
		if c.config != "" {
			s.write(s.Config, c.config)
		}
		text.Reset()
		if err := n.Reload(s.Files); err == nil || !strings.Contains(err.Error(), c.reason) {
			t.Errorf("%s: got %v, want %s", c.name, err, c.reason)
		}
		line := text.String()
		if strings.Count(line, "\n") != 1 || !strings.Contains(line, c.reason) || !strings.Contains(line, fmt.Sprintf("bad=%d", i+1)) {
			t.Errorf("%s: logged %q", c.name, line)
		}
	}
	s.write(s.Config, string(config))
	for _, path := range []string{filepath.Join(dir, "none"), dir} { // a missing file; a directory
		if err := n.Reload(Files{Config: s.Config, Operator: path}); err == nil || !strings.Contains(err.Error(), "RT001") {
			t.Errorf("%s: got %v", path, err)
		}
	}
	exchange(t, request(t, n.url, "/look/1", ""))
	if got := attemptTimeouts(a); len(got) != 1 || got[0] > 100 {
		t.Errorf("attempts of %v ms, want one of up to 100: a bad file was applied", got)
	}
	s.write(s.Operator, route("look", `attempt_timeout = "60ms"`, "attempts = 1"))
	if err := n.Reload(s.Files); err != nil {
		t.Fatal(err)
	}
	exchange(t, request(t, n.url, "/look/2", ""))
	if got := attemptTimeouts(a); len(got) != 2 || got[1] > 60 {
		t.Errorf("attempts of %v ms, want a second of up to 60", got)
	}
}

// A node must not start with an operators' file that breaks a rule.
func TestBadOperatorFilePreventsStart(t *testing.T) {
	s := newNodeFiles(t, route("act", `retry_on = ["reset"]`))
	_, err := s.Read()
	findings, ok := err.(*Findings)
	if !ok || len(findings.All) != 1 || findings.All[0].Code != routes.RetryUnsafe {
		t.Errorf("got %v", err)
	}
}

// The findings must fit on one log line of limited length, however many there are.
func TestManyFindingsOnOneLine(t *testing.T) {
	s := newNodeFiles(t, strings.Repeat(route("nowhere", "attempts = 2"), 500))
	_, err := s.Read()
	if err == nil || strings.Contains(err.Error(), "\n") || len(err.Error()) > 4096 || !strings.Contains(err.Error(), "more") {
		t.Errorf("got %d bytes: %.200s", len(err.Error()), err)
	}
}
