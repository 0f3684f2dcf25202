package discovery

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	. "curlewring/internal/node/nodetest"
	"curlewring/internal/servers/endpoints"
)

// What is read as it comes must be what the whole text says, in all forms that discovery may write, and what is malformed as a
// whole must be so here.
func TestReadListAgreesWithParse(t *testing.T) {
	const one = `{"instanceId":"a","hostPort":"127.0.0.1:1","zone":"a","machineType":"m","cell":1,"lifecycle":"SERVING","weight":1.5,"startedAtMs":7}`
	for _, text := range []string{
		ServerList(4, false, "127.0.0.1:1", "127.0.0.1:2 DRAINING", "127.0.0.1:3 DELETED"),
		"{\n  \"instances\": [\n    " + one + "\n  ],\n  \"more\": {\"x\": [1, 2]},\n  \"reset\": true,\n  \"generation\": 18446744073709551615\n}\n",
		`{"generation":1,"instances":[]}`,
		`{"generation":1,"reset":null,"instances":[]}`,
		`{"generation":null,"instances":[]}`,
		`{"generation":1,"instances":null}`,
		`{"generation":-1,"instances":[]}`,
		`{"generation":1,"instances":{}}`,
		`{"generation":1,"instances":[` + strings.Replace(one, "SERVING", "ODD", 1) + `]}`,
		`{"generation":1,"instances":[` + strings.Replace(one, `"a"`, `""`, 1) + `]}`,
		`{"generation":1,"instances":[` + strings.Replace(one, ":1\"", "\"", 1) + `]}`,
		`{"generation":1,"instances":[]} {}`,
		`{"generation":1,"instances":[]`,
		`[]`, `null`, `{}`, ``, `x`,
	} {
		whole, wrong := endpoints.Parse([]byte(text))
		got, err := readList(strings.NewReader(text))
		if (err == nil) != (wrong == nil) || err == nil && !reflect.DeepEqual(got, whole) {
			t.Errorf("%s\nread %+v, %v\nwant %+v, %v", text, got, err, whole, wrong)
		}
		if broken := (*PartialError)(nil); err != nil && !errors.As(err, &broken) {
			t.Errorf("%s: %v is no partial answer", text, err)
		}
	}
}

// An answer that breaks off anywhere must never be taken for whole, and must tell each bad entry that came whole.
func TestTruncatedListReportsUnavailableServers(t *testing.T) {
	text := ServerList(4, true, "127.0.0.1:1 DRAINING", "127.0.0.1:2", "127.0.0.1:3 DELETED")
	bad := 0
	for n := range text {
		l, err := readList(strings.NewReader(text[:n]))
		broken := (*PartialError)(nil)
		if l != nil || !errors.As(err, &broken) {
			t.Fatalf("%d bytes: %v, %v", n, l, err)
		}
		if len(broken.Unavailable) < bad || len(broken.Unavailable) > 2 {
			t.Fatalf("%d bytes: %d bad ones after %d", n, len(broken.Unavailable), bad)
		}
		bad = len(broken.Unavailable)
	}
	if bad != 2 {
		t.Errorf("%d bad ones at the end, want 2", bad)
	}
}
