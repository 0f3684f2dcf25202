package discovery

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	. "curlewring/internal/node/nodetest"
	"curlewring/internal/servers/endpoints"
)

// Decoding a list while it is received must give the same result as parsing the complete text, for
// all forms that discovery may write, and must fail for the same malformed texts.
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
		want, wantErr := endpoints.Parse([]byte(text))
		got, err := readList(strings.NewReader(text))
		if (err == nil) != (wantErr == nil) || err == nil && !reflect.DeepEqual(got, want) {
			t.Errorf("%s\ngot %+v, %v\nwant %+v, %v", text, got, err, want, wantErr)
		}
		if partial := (*PartialError)(nil); err != nil && !errors.As(err, &partial) {
			t.Errorf("%s: %v is not a PartialError", text, err)
		}
	}
}

// An answer that is cut off anywhere must never be taken for a complete one, and must report every
// draining or removed server that was received completely.
func TestTruncatedListReportsUnavailableServers(t *testing.T) {
	text := ServerList(4, true, "127.0.0.1:1 DRAINING", "127.0.0.1:2", "127.0.0.1:3 DELETED")
	bad := 0
	for n := range text {
		l, err := readList(strings.NewReader(text[:n]))
		partial := (*PartialError)(nil)
		if l != nil || !errors.As(err, &partial) {
			t.Fatalf("%d bytes: %v, %v", n, l, err)
		}
		if len(partial.Unavailable) < bad || len(partial.Unavailable) > 2 {
			t.Fatalf("%d bytes: %d unavailable servers, after %d with fewer bytes", n, len(partial.Unavailable), bad)
		}
		bad = len(partial.Unavailable)
	}
	if bad != 2 {
		t.Errorf("%d unavailable servers at the end, want 2", bad)
	}
}
