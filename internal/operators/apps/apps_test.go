package apps

import (
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"curlewring/internal/operators/settings"
)

const platformText = `schema = 1
sites = ["zuerich"]
discovery = "127.0.0.1:8500"
[[class]]
name = "zustand"
aim = "1s"
deadline = "2s"
worth = 1
effect = "repeatable"
[[class]]
name = "stoerung"
aim = "2s"
deadline = "6s"
worth = 2
effect = "keyed"
group = "rack"
window = "10s"
[[host]]
name = "zh-1"
site = "zuerich"
[[service]]
name = "boxen"
classes = ["zustand", "stoerung"]
nodes = 20
[[service]]
name = "archiv"
classes = ["stoerung"]
nodes = 3
`

// appText returns a description with additional lines.
func appText(name, service, classes, more string) string {
	return "schema = 1\nname = \"" + name + "\"\nsites = [\"zuerich\"]\nservice = \"" + service + "\"\nclasses = [" + classes + "]\n" + more
}

// readSet reads descriptions, given as file names and texts in turn, and fails the
// test if a finding is an error.
func readSet(t *testing.T, texts ...string) (*Set, Sources) {
	t.Helper()
	var findings Findings
	p := ReadPlatform("platform.toml", []byte(platformText), &findings)
	sources := Sources{"platform.toml": []byte(platformText)}
	var all []*App
	for i := 0; i < len(texts); i += 2 {
		sources[texts[i]] = []byte(texts[i+1])
		all = append(all, ReadApp(texts[i], []byte(texts[i+1]), p, &findings))
	}
	s := NewSet(p, all, &findings)
	if findings.Worst() == 2 {
		t.Fatal(findings)
	}
	return s, sources
}

func TestConflictingAddresses(t *testing.T) {
	for _, x := range []struct {
		a, b     string
		conflict bool
	}{
		{"127.0.0.1:80", "127.0.0.1:80", true}, {"127.0.0.1:80", "127.0.0.1:81", false}, {"127.0.0.1:80", "127.0.0.2:80", false},
		{"127.0.0.1:80", "0.0.0.0:80", true}, {"127.0.0.1:80", "[::]:80", true}, {"[::1]:80", "[::]:80", true},
		{"[::1]:80", "0.0.0.0:80", false}, {"[::1]:80", "127.0.0.1:80", false}, {"[::ffff:127.0.0.1]:80", "127.0.0.1:80", true},
		{"[::ffff:0.0.0.0]:80", "127.0.0.1:80", true}, {"0.0.0.0:80", "[::]:80", true},
	} {
		a, b := netip.MustParseAddrPort(x.a), netip.MustParseAddrPort(x.b)
		if conflicts(a, b) != x.conflict || conflicts(b, a) != x.conflict {
			t.Errorf("conflicts(%s, %s) is %v", a, b, !x.conflict)
		}
	}
}

// The generated configuration must have the values of the description and the
// platform, and a share must be rounded so that it never grows.
func TestGeneratedNodeConfig(t *testing.T) {
	s, sources := readSet(t, "a.toml", appText("a", "boxen", `"stoerung"`, "port = 15001\nshare = 0.3\nmemory_mb = 48\ncores = 0.5\ncommand = [\"/bin/a\", \"<&>\"]\n"))
	all := s.Generate(sources)
	if len(all) != 2 {
		t.Fatalf("%d files", len(all))
	}
	var c struct {
		Listen, Discovery string
		Limits            struct{ Cores, MemoryMB float64 }
		Sidecar           struct{ Command []string }
		Settings          settings.Object
	}
	if err := json.Unmarshal(all[0].Text, &c); err != nil {
		t.Fatal(err)
	}
	got, err := c.Settings.Translate()
	if err != nil {
		t.Fatal(err)
	}
	if c.Listen != "127.0.0.1:15001" || c.Discovery != "127.0.0.1:8500" || c.Limits.Cores != 0.5 || len(c.Sidecar.Command) != 2 {
		t.Errorf("%+v", c)
	}
	class := got.Classes[0]
	if len(got.Classes) != 1 || class.Deadline != 6*time.Second || class.KeyTTL != 10*time.Second || class.Worth != 2 || got.Nodes != 4 ||
		got.MaxAttempts != 4 || got.DrainGrace != 500*time.Millisecond || !got.PropagatesDeadline {
		t.Errorf("%+v", got)
	}
	if !strings.Contains(string(all[0].Text), `"<&>"`) {
		t.Error("the command is escaped differently from the description")
	}
	for share, parts := range map[float64]int{1: 1, 0.5: 2, 0.3: 4, 1.0 / 3: 3, 0.1: 10, 0.07: 15} {
		a := App{BudgetShare: Located[float64]{V: share}}
		if got := a.budgetParts(); got != parts {
			t.Errorf("share %v: %d budget parts, want %d", share, got, parts)
		}
	}
}

// Adding or removing an application must not change the files of the others.
func TestFilesDependOnOwnDescriptionOnly(t *testing.T) {
	a, b := appText("a", "boxen", `"zustand"`, "port = 15001\n"), appText("b", "boxen", `"zustand"`, "port = 15002\n")
	alone, sources := readSet(t, "a.toml", a)
	together, bothSources := readSet(t, "a.toml", a, "b.toml", b)
	filesAlone, filesTogether := alone.Generate(sources), together.Generate(bothSources)
	if len(filesTogether) != 2*len(filesAlone) {
		t.Fatalf("%d and %d files", len(filesAlone), len(filesTogether))
	}
	for i := range filesAlone {
		found := false
		for _, w := range filesTogether {
			found = found || w.Path == filesAlone[i].Path && string(w.Text) == string(filesAlone[i].Text)
		}
		if !found {
			t.Errorf("%s changed", filesAlone[i].Path)
		}
	}
}

// The checksum of a generated file must detect a change of any byte.
func TestChecksumDetectsChanges(t *testing.T) {
	s, sources := readSet(t, "a.toml", appText("a", "boxen", `"zustand"`, "port = 15001\n[[route]]\nclass = \"zustand\"\nattempts = 2\n"))
	for _, w := range s.Generate(sources) {
		for i := range w.Text {
			edited := []byte(string(w.Text))
			edited[i] ^= 1
			if valid, _ := VerifyChecksum(edited); valid {
				t.Fatalf("%s: the change of byte %d of %d is not detected", w.Path, i, len(w.Text))
			}
		}
		if valid, _ := VerifyChecksum(append([]byte(string(w.Text)), '\n')); valid {
			t.Errorf("%s: an appended line is not detected", w.Path)
		}
	}
}

func TestUnitNames(t *testing.T) {
	for name, want := range map[string]string{
		"a": "curlewring-a.service", "leit-stand_1.x": `curlewring-leit\x2dstand_1.x.service`, "ü": `curlewring-\xc3\xbc.service`,
	} {
		if got := unitName(name); got != want {
			t.Errorf("%s: %s, want %s", name, got, want)
		}
	}
	for word, want := range map[string]string{"/usr/bin/x": "/usr/bin/x", "a b": `"a b"`, "50%": "50%%", "$HOME": "$$HOME"} {
		if got := escapeUnitWord(word); got != want {
			t.Errorf("%s: %s, want %s", word, got, want)
		}
	}
}

// Explain must name the line that sets each value: in the most specific route that
// sets it, else in the platform, else none (default). Attempts multiply along the
// chain.
func TestExplain(t *testing.T) {
	outer := appText("outer", "boxen", `"stoerung"`, `port = 15001
[[route]]
class = "stoerung"
attempts = 2
attempt_timeout = "2s"
[[route]]
class = "stoerung"
path = "/stoerung/kurz"
attempt_timeout = "1s"
`)
	inner := appText("inner", "archiv", `"stoerung"`, `port = 15002
serves = "boxen"
work = "100ms"
[[route]]
class = "stoerung"
attempts = 2
attempt_timeout = "400ms"
`)
	s, _ := readSet(t, "outer.toml", outer, "inner.toml", inner)
	for _, x := range []struct {
		path, route, timeout, from string
		left                       time.Duration
	}{
		{"", "outer.toml:7", "2s", "outer.toml:10", 1900 * time.Millisecond},
		{"/stoerung/kurz/1", "outer.toml:11", "1s", "outer.toml:14", 900 * time.Millisecond},
		{"/stoerung/kurzum", "outer.toml:7", "2s", "outer.toml:10", 1900 * time.Millisecond},
	} {
		explanation, err := s.Explain("outer", "stoerung", x.path)
		if err != nil {
			t.Fatal(err)
		}
		rows := map[string]Row{}
		for _, row := range explanation.Rows {
			rows[row.Key] = row
		}
		if explanation.Route != x.route || rows["attempt_timeout"] != (Row{"attempt_timeout", x.timeout, x.from}) {
			t.Errorf("%s: %s, %+v", x.path, explanation.Route, rows["attempt_timeout"])
		}
		if rows["attempts"] != (Row{"attempts", "2", "outer.toml:9"}) || rows["deadline"] != (Row{"deadline", "6s", "platform.toml:13"}) ||
			rows["deadline_cap"].From != "default" || rows["share"].From != "platform.toml:24" {
			t.Errorf("%s: %+v", x.path, rows)
		}
		if len(explanation.Chain) != 2 || explanation.Chain[1].CumulativeAttempts != 4 || explanation.Chain[1].MinTimeLeft != x.left || explanation.Chain[1].MaxTotalTime != 800*time.Millisecond {
			t.Errorf("%s: %+v", x.path, explanation.Chain)
		}
	}
	for _, bad := range [][2]string{{"nobody", "stoerung"}, {"outer", "zustand"}} {
		if _, err := s.Explain(bad[0], bad[1], ""); err == nil {
			t.Errorf("%v: want an error", bad)
		}
	}
}

// FuzzReadApp checks that no text makes the reader panic, that each finding has a
// line within the text, a level, a rule and a message, and that the files generated
// from a description without errors have a valid checksum.
func FuzzReadApp(f *testing.F) {
	f.Add(appText("a", "boxen", `"zustand"`, "port = 15001\n"))
	f.Add(appText("ü", "boxen", `"stoerung"`, "socket = \"/run/x\"\nshare = 0.01\n[[route]]\nclass = \"stoerung\"\nattempts = 2\n[route.backoff]\nfirst = \"1ms\"\n"))
	f.Add("schema = 1\n[[route]]\n[route]\n")
	f.Add("a.b = {c = [1]}\n[[route.x]]\n")
	f.Fuzz(func(t *testing.T, text string) {
		var findings Findings
		p := ReadPlatform("platform.toml", []byte(platformText), &findings)
		a := ReadApp("a.toml", []byte(text), p, &findings)
		s := NewSet(p, []*App{a}, &findings)
		lines := strings.Count(text, "\n") + 1
		for _, x := range findings {
			if x.File == "a.toml" && (x.Line < 0 || x.Line > lines+1) || x.Text == "" || x.Level != "error" && x.Level != "warning" || x.Rule == "" {
				t.Errorf("%+v", x)
			}
		}
		if findings.Worst() == 2 {
			return
		}
		for _, w := range s.Generate(Sources{"platform.toml": []byte(platformText), "a.toml": []byte(text)}) {
			if valid, present := VerifyChecksum(w.Text); !valid || !present {
				t.Errorf("%s has no valid checksum", w.Path)
			}
		}
	})
}
