package settings

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"curlewring/decide"
)

// Translate must pass the settings on to package decide. An unknown name must be an error
// and not become a zero value with another meaning.
func TestTranslate(t *testing.T) {
	const text = `{"categories":[{"name":"a","semantics":"by_key","group":"cell","key_ttl_ns":10000000000,
		"deadline_ns":900000000}],"weight_source":"live","limits":{"most_tries":4},"novel":1}`
	read := func(text string) (decide.Settings, error) {
		var o Object
		if err := json.Unmarshal([]byte(text), &o); err != nil {
			t.Fatal(err)
		}
		return o.Translate()
	}
	set, err := read(text)
	if err != nil {
		t.Fatal(err)
	}
	c := set.Classes[0]
	if c.Idempotency != decide.Keyed || c.Group != decide.GroupCell || c.KeyTTL != 10*time.Second ||
		c.Deadline != 900*time.Millisecond || set.WeightSource != decide.WeightLive || set.MaxAttempts != 4 {
		t.Errorf("got %+v", set)
	}
	for _, name := range []string{"by_key", "cell", "live"} {
		if _, err := read(strings.Replace(text, name, "odd", 1)); err == nil {
			t.Errorf("an unknown name in place of %q was accepted", name)
		}
	}
	if _, err := read(`{}`); err == nil {
		t.Error("settings without a class were accepted")
	}
}

// Invalid settings must be reported with key, value and bound, and valid ones accepted.
func TestCheck(t *testing.T) {
	const valid = `{"categories":[{"name":"a","semantics":"once","aim_ns":5,"deadline_ns":9,"key_ttl_ns":0,"worth":2},
		{"name":"b","semantics":"repeatable","worth":0}],"tenants":[{"name":"x","quota_per_s":3},{"name":"y","quota_per_s":0}]}`
	check := func(text string) error {
		t.Helper()
		var o Object
		if err := json.Unmarshal([]byte(text), &o); err != nil {
			t.Fatal(err)
		}
		return o.Check()
	}
	if err := check(valid); err != nil {
		t.Error(err)
	}
	for _, c := range [][3]string{
		{`"name":"b"`, `"name":"a"`, `categories[1].name: "a" is the name of categories[0] too`},
		{`"name":"b"`, `"name":""`, `categories[1].name is empty`},
		{`"aim_ns":5`, `"aim_ns":-5`, `categories[0].aim_ns: -5 is below 0`},
		{`"deadline_ns":9`, `"deadline_ns":-9`, `categories[0].deadline_ns: -9 is below 0`},
		{`"key_ttl_ns":0`, `"key_ttl_ns":-1`, `categories[0].key_ttl_ns: -1 is below 0`},
		{`"worth":2`, `"worth":-2`, `categories[0].worth: -2 is below 0`},
		{`"name":"y"`, `"name":"x"`, `tenants[1].name: "x" is the name of tenants[0] too`},
		{`"quota_per_s":3`, `"quota_per_s":-3`, `tenants[0].quota_per_s: -3 is below 0`},
	} {
		if err := check(strings.Replace(valid, c[0], c[1], 1)); err == nil || err.Error() != c[2] {
			t.Errorf("%s: %v, want %s", c[1], err, c[2])
		}
	}
}
