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
	if c.Effect != decide.Keyed || c.Group != decide.GroupCell || c.KeyTTL != 10*time.Second ||
		c.Deadline != 900*time.Millisecond || set.Weights != decide.WeightsLive || set.MaxTries != 4 {
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
