package routes

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewring/decide"
)

const ms = time.Millisecond

// testEnv returns a platform with classes of every kind of idempotency.
func testEnv() Env {
	class := func(idempotency decide.Idempotency, group decide.Group, deadline, ttl time.Duration) decide.Class {
		return decide.Class{LatencyTarget: time.Second, Deadline: deadline, Worth: 1, Idempotency: idempotency, Group: group, KeyTTL: ttl}
	}
	return Env{
		Classes: []string{"notruf-abfrage", "zustand", "stoerung", "auftrag", "meldung", "buchung"},
		Tenants: []string{"leitstelle", "technik"},
		Settings: decide.Settings{
			Nodes: 1, MaxAttempts: 4, MayAdviseRetry: true, MaxRetryAfter: 5 * time.Second, MayCancel: true,
			Classes: []decide.Class{
				class(decide.Idempotent, 0, 5*time.Second, 0), class(decide.Idempotent, 0, 2500*ms, 0),
				class(decide.Keyed, decide.GroupCell, 6*time.Second, 10*time.Second),
				class(decide.AtMostOnce, 0, 4*time.Second, 0),
				class(decide.Keyed, decide.GroupZone, 30*time.Second, 10*time.Second),
				class(decide.Keyed, decide.GroupAll, 8*time.Second, 10*time.Second),
			},
			Tenants: make([]decide.Tenant, 2),
		},
	}
}

// corpusEnv returns the platform that a corpus file selects with "# env:" comments.
func corpusEnv(text []byte) Env {
	env := testEnv()
	env.Settings.MayHedge = bytes.Contains(text, []byte("# env: copies"))
	if bytes.Contains(text, []byte("# env: noadvice")) {
		env.Settings.MayAdviseRetry = false
	}
	return env
}

// readCorpus returns the files of a testdata folder by name.
func readCorpus(t testing.TB, dir string) map[string][]byte {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("testdata", dir, "*.toml"))
	if err != nil {
		t.Fatal(err)
	}
	files := map[string][]byte{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		files[strings.TrimSuffix(filepath.Base(path), ".toml")] = text
	}
	return files
}

var (
	wantLine = regexp.MustCompile(`# want ((?:RT\d+ ?)+)$`)
	wantHead = regexp.MustCompile(`(?m)^# want: (RT\d+)@(\d+)$`)
)

// wantedCodes returns the findings that a corpus file expects: codes in comments at the end of
// their lines, or code and line in comments of their own.
func wantedCodes(text string) []string {
	var want []string
	for _, m := range wantHead.FindAllStringSubmatch(text, -1) {
		want = append(want, m[1]+"@"+m[2])
	}
	for i, line := range strings.Split(text, "\n") {
		if m := wantLine.FindStringSubmatch(line); m != nil {
			for _, code := range strings.Fields(m[1]) {
				want = append(want, fmt.Sprintf("%s@%d", code, i+1))
			}
		}
	}
	slices.Sort(want)
	return want
}

// foundCodes returns the findings in the form of wantedCodes.
func foundCodes(findings []Finding) []string {
	var got []string
	for _, f := range findings {
		got = append(got, fmt.Sprintf("%s@%d", f.Code, f.Line))
	}
	slices.Sort(got)
	return slices.Compact(got)
}

func TestInvalidFiles(t *testing.T) {
	files := readCorpus(t, "invalid")
	if len(files) < 60 {
		t.Fatalf("the corpus has %d files, want at least 60", len(files))
	}
	for name, text := range files {
		table, findings := Load(text, corpusEnv(text))
		if want := wantedCodes(string(text)); len(want) == 0 || !slices.Equal(foundCodes(findings), want) {
			t.Errorf("%s: found %v, want %v", name, findings, want)
		}
		if table != nil {
			t.Errorf("%s: the invalid file was compiled", name)
		}
	}
}

func TestValidFiles(t *testing.T) {
	for name, text := range readCorpus(t, "valid") {
		if table, findings := Load(text, corpusEnv(text)); len(findings) > 0 || table == nil {
			t.Errorf("%s: found %v", name, findings)
		}
	}
}

// Each code must be produced by a file of the corpus or one of the texts below that can't be
// in it, and must be documented for operators.
func TestEveryCodeIsCoveredAndDocumented(t *testing.T) {
	covered := map[Code]bool{Unreadable: true} // unreadable files are tested in internal/node
	for _, text := range readCorpus(t, "invalid") {
		_, findings := Load(text, corpusEnv(text))
		for _, f := range findings {
			covered[f.Code] = true
		}
	}
	for _, text := range [][]byte{nil, make([]byte, MaxFileSize+1)} {
		_, findings := Parse(text)
		for _, f := range findings {
			covered[f.Code] = true
		}
	}
	page, err := os.ReadFile("../../../docs/operators/routes.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, code := range Codes() {
		if !covered[code] {
			t.Errorf("no file produces %s", code)
		}
		if !strings.Contains(string(page), "| "+string(code)+" |") {
			t.Errorf("docs/operators/routes.md does not explain %s", code)
		}
		delete(covered, code)
	}
	if len(covered) > 0 {
		t.Errorf("codes missing from Codes: %v", slices.Collect(maps.Keys(covered)))
	}
}

// A finding must name the key, value, bound and rule.
func TestFindingNamesKeyValueBoundAndRule(t *testing.T) {
	_, findings := Load([]byte("[[route]]\nclass = \"zustand\"\nattempt_timeout = \"1s\"\nattempts = 3\n"), testEnv())
	if len(findings) != 1 {
		t.Fatalf("found %v", findings)
	}
	text := findings[0].InFile("operator.toml")
	for _, part := range []string{"operator.toml:4:", "RT033", "attempts = 3", "2.5s", "3s", "zustand", "rule 1"} {
		if !strings.Contains(text, part) {
			t.Errorf("finding %q does not contain %q", text, part)
		}
	}
}

func TestUnreadableTexts(t *testing.T) {
	for name, c := range map[string]struct {
		text []byte
		code Code
	}{
		"empty":           {nil, Empty},
		"white space":     {[]byte(" \n\t\n"), Empty},
		"ten megabytes":   {bytes.Repeat([]byte("# long\n"), 10<<20/7), TooLarge},
		"binary file":     {[]byte("\x7fELF\x00\x00\xff"), Syntax},
		"not UTF-8":       {[]byte("[[route]]\nclass = \"\xff\xfe\"\n"), Syntax},
		"byte order mark": {[]byte("\xef\xbb\xbf[[route]]\n"), Syntax},
		"deep nesting":    {[]byte("a = " + strings.Repeat("[", 100000)), Syntax},
	} {
		_, findings := Parse(c.text)
		if !slices.ContainsFunc(findings, func(f Finding) bool { return f.Code == c.code }) {
			t.Errorf("%s: found %v, want %s", name, findings, c.code)
		}
	}
}

// A file with a route_count that is truncated anywhere must be rejected or have the same
// meaning as the whole file.
func TestTruncatedFile(t *testing.T) {
	const whole = "route_count = 2\n[[route]]\nclass = \"zustand\"\nattempts = 2\n[[route]]\nclass = \"stoerung\"\nattempts = 2\n"
	for n := range whole {
		table, findings := Load([]byte(whole[:n]), testEnv())
		if len(findings) == 0 && (table == nil || len(table.Policies()) != 2) {
			t.Errorf("the file truncated after %q is accepted", whole[:n])
		}
	}
}

func TestMostSpecificWins(t *testing.T) {
	env := testEnv()
	table, findings := Load([]byte(`
[[route]]
class = "zustand"
tenant = "technik"
attempts = 3
[[route]]
class = "zustand"
path = "/zustand/genf"
attempt_timeout = "300ms"
[[route]]
class = "zustand"
attempts = 2
attempt_timeout = "500ms"
[[route]]
class = "zustand"
path = "/zustand/genf"
tenant = "technik"
deadline_cap = "2s"
[[route]]
class = "zustand"
path = "/zustand/genf/nord"
attempts = 4
`), env)
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	const none, desk, technik = -1, 0, 1
	for _, c := range []struct {
		path   string
		tenant int
		want   decide.RoutePolicy
	}{
		{"/zustand", none, decide.RoutePolicy{MaxAttempts: 2, AttemptTimeout: 500 * ms}},
		{"/zustand/zuerich/1", desk, decide.RoutePolicy{MaxAttempts: 2, AttemptTimeout: 500 * ms}},
		{"/zustand/zuerich/1", technik, decide.RoutePolicy{MaxAttempts: 3, AttemptTimeout: 500 * ms}},
		{"/zustand/genf", none, decide.RoutePolicy{MaxAttempts: 2, AttemptTimeout: 300 * ms}},
		{"/zustand/genf/1", desk, decide.RoutePolicy{MaxAttempts: 2, AttemptTimeout: 300 * ms}},
		{"/zustand/genfx", desk, decide.RoutePolicy{MaxAttempts: 2, AttemptTimeout: 500 * ms}},
		// The path's route is more specific; unset keys come from the tenant's route.
		{"/zustand/genf/1", technik, decide.RoutePolicy{MaxAttempts: 3, AttemptTimeout: 300 * ms, DeadlineCap: 2 * time.Second}},
		// A longer path wins over a tenant and inherits only from routes that contain it.
		{"/zustand/genf/nord/2", technik, decide.RoutePolicy{MaxAttempts: 4, AttemptTimeout: 300 * ms}},
	} {
		row := table.Match(1, c.path, c.tenant)
		if row == 0 || table.Policies()[row-1] != c.want {
			t.Errorf("%s of tenant %d: row %d, want %+v in %+v", c.path, c.tenant, row, c.want, table.Policies())
		}
	}
	if row := table.Match(0, "/notruf-abfrage/1", none); row != 0 {
		t.Errorf("a class without routes matches row %d", row)
	}
	if row := (*Table)(nil).Match(0, "/notruf-abfrage/1", none); row != 0 {
		t.Errorf("a nil table matches row %d", row)
	}
}

// The example file for operators must be valid for its service and show all keys.
func TestExampleIsValid(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	table, findings := Load(text, testEnv())
	if len(findings) > 0 || len(table.Policies()) != 3 {
		t.Errorf("found %v", findings)
	}
	for _, key := range []string{"class", "path", "tenant", "attempt_timeout", "attempts", "first", "most", "jitter",
		"retry_on", "second_copy_after", "deadline_cap", "retry_after", "route_count"} {
		if !regexp.MustCompile(`(?m)^(# )?` + key + ` = `).Match(text) {
			t.Errorf("the example file does not show %s", key)
		}
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		var text strings.Builder
		for i := range n {
			fmt.Fprintf(&text, "[[route]]\nclass = \"zustand\"\npath = \"/zustand/%d\"\nattempts = 2\n", i)
		}
		table, findings := Load([]byte(text.String()), testEnv())
		if len(findings) > 0 {
			b.Fatal(findings[0])
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Match(1, "/zustand/genf/77", -1)
			}
		})
	}
}

func FuzzLoad(f *testing.F) {
	for _, dir := range []string{"valid", "invalid"} {
		for _, text := range readCorpus(f, dir) {
			f.Add(text)
		}
	}
	env := testEnv()
	f.Fuzz(func(t *testing.T, text []byte) {
		table, findings := Load(text, env)
		if (table == nil) != (len(findings) > 0) {
			t.Fatalf("table %v with findings %v", table, findings)
		}
		lines := 1 + bytes.Count(text, []byte("\n"))
		for _, found := range findings {
			if found.Line < 0 || found.Line > lines || found.Text == "" {
				t.Fatalf("%+v in a file of %d lines", found, lines)
			}
		}
		if table == nil {
			return
		}
		for _, b := range table.Policies() {
			if b.AttemptTimeout < 0 || b.MaxAttempts < 0 || b.MaxAttempts > env.Settings.MaxAttempts || b.BackoffInitial < 0 ||
				b.BackoffJitter < 0 || b.BackoffJitter > 1 || b.DeadlineCap < 0 || b.MaxRetryAfter < 0 || b.HedgeAfter < 0 {
				t.Fatalf("accepted %+v", b)
			}
		}
	})
}
