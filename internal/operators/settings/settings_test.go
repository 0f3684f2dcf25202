package settings

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"curlewring/decide"
)

// What the settings say must reach the module; a word that is not known must be
// an error, not a silent zero that means something else.
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
	for _, word := range []string{"by_key", "cell", "live"} {
		if _, err := read(strings.Replace(text, word, "odd", 1)); err == nil {
			t.Errorf("an odd word in place of %q was taken", word)
		}
	}
	if _, err := read(`{}`); err == nil {
		t.Error("settings without a class were taken")
	}
}

// Wrong settings must be told with key, value and bound, and right ones be taken.
func TestCheck(t *testing.T) {
	const good = `{"categories":[{"name":"a","semantics":"once","aim_ns":5,"deadline_ns":9,"key_ttl_ns":0,"worth":2},
		{"name":"b","semantics":"repeatable","worth":0}],"tenants":[{"name":"x","quota_per_s":3},{"name":"y","quota_per_s":0}]}`
	check := func(text string) error {
		t.Helper()
		var o Object
		if err := json.Unmarshal([]byte(text), &o); err != nil {
			t.Fatal(err)
		}
		return o.Check()
	}
	if err := check(good); err != nil {
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
		if err := check(strings.Replace(good, c[0], c[1], 1)); err == nil || err.Error() != c[2] {
			t.Errorf("%s: %v, want %s", c[1], err, c[2])
		}
	}
}
