package document

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

func TestLines(t *testing.T) {
	text := "\n# c\na = 1\nb.c = \"x\" # y\n[t]\nd = [1,\n 2.5]\n[[l]]\ne = true\n[[l]]\n[l.m]\nf = {g = 1, h.i = \"z\"}\n"
	top, syntaxErrors := Parse([]byte(text))
	if len(syntaxErrors) > 0 {
		t.Fatal(syntaxErrors)
	}
	l := top.Values["l"].V.([]Value)
	m := l[1].V.(*Table).Values["m"].V.(*Table)
	f := m.Values["f"].V.(*Table)
	for _, x := range []struct {
		v    Value
		line int
		want any
	}{
		{top.Values["a"], 3, int64(1)},
		{top.Values["b"].V.(*Table).Values["c"], 4, "x"},
		{top.Values["t"].V.(*Table).Values["d"].V.([]Value)[1], 7, 2.5},
		{l[0].V.(*Table).Values["e"], 9, true},
		{f.Values["g"], 12, int64(1)},
		{f.Values["h"].V.(*Table).Values["i"], 12, "z"},
	} {
		if x.v.Line != x.line || x.v.V != x.want {
			t.Errorf("%+v, want line %d, %v", x.v, x.line, x.want)
		}
	}
	if l[0].Line != 8 || l[1].Line != 10 || m.Line != 11 {
		t.Errorf("tables in lines %d, %d, %d, want 8, 10, 11", l[0].Line, l[1].Line, m.Line)
	}
	if got := strings.Join(top.KeyOrder, " "); got != "a b t l" {
		t.Errorf("key order %q, want \"a b t l\"", got)
	}
}

func TestSyntaxErrors(t *testing.T) {
	for _, x := range []struct {
		text string
		line int
	}{
		{"a = 1\na = 2\n", 2}, {"a = \n", 1}, {"\n\n[t", 3}, {"a = 1\n[a]\n", 2}, {"a = 1\n[[a]]\n", 2},
		{"[t]\nx = 1\n[t]\ny = 1\n", 3}, {"a = 1\na.b = 2\n", 2}, {"a = [1]\n[a.b]\n", 2}, {"a = 99999999999999999999\n", 1},
		{"a = \"\xff\"\n", 1}, {"a = 1\nb = 2 3\n", 2}, {"[[l]]\n[l]\n", 2},
	} {
		_, syntaxErrors := Parse([]byte(x.text))
		if len(syntaxErrors) == 0 || syntaxErrors[0].Line != x.line {
			t.Errorf("%q: %+v, want line %d", x.text, syntaxErrors, x.line)
		}
	}
	if _, syntaxErrors := Parse(make([]byte, MaxFileSize+1)); len(syntaxErrors) != 1 {
		t.Error("a file above the maximum size was accepted")
	}
}

// decodedForm converts a value to the form in which the library decodes it.
func decodedForm(v any) any {
	switch x := v.(type) {
	case *Table:
		m := map[string]any{}
		for k, v := range x.Values {
			m[k] = decodedForm(v.V)
		}
		return m
	case []Value:
		l := []any{}
		for _, v := range x {
			l = append(l, decodedForm(v.V))
		}
		return l
	case float64:
		if math.IsNaN(x) {
			return "nan"
		}
	}
	return v
}

// hasUnsupported reports whether a value contains one of an unsupported type.
func hasUnsupported(v any) bool {
	switch x := v.(type) {
	case *Table:
		for _, v := range x.Values {
			if hasUnsupported(v.V) {
				return true
			}
		}
	case []Value:
		for _, v := range x {
			if hasUnsupported(v.V) {
				return true
			}
		}
	case UnsupportedValue:
		return true
	}
	return false
}

// No text may crash the parser. For a text without errors, the result must equal what the
// library decodes, and each value must have a line within the text.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"", "a=1", "a.b.c = [1, [2.5, {x = \"y\"}]]\n[[t]]\n[t.u]\nv = true\n", "a = 1979-05-27T07:32:00Z", "\"ü\" = 'x'", "a = 0x_1", "a = nan",
		"a = \"\"\"\nx\"\"\"\n[b]\nc=inf", "[a.b]\n[a]\nx=1\n", "a = 1_000", "[[a.b]]\n[[a.b]]\nx = {}\n"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		top, syntaxErrors := Parse([]byte(text))
		if len(syntaxErrors) > 0 {
			return
		}
		var want map[string]any
		if err := toml.Unmarshal([]byte(strings.TrimPrefix(text, "\xef\xbb\xbf")), &want); err != nil {
			t.Fatalf("Parse finds no error, but the library does: %v", err)
		}
		lines := strings.Count(text, "\n") + 1
		var walk func(v Value)
		walk = func(v Value) {
			if v.Line < 1 || v.Line > lines {
				t.Errorf("value in line %d of a text with %d lines", v.Line, lines)
			}
			switch x := v.V.(type) {
			case *Table:
				for _, v := range x.Values {
					walk(v)
				}
			case []Value:
				for _, v := range x {
					walk(v)
				}
			}
		}
		walk(Value{Line: 1, V: top})
		if hasUnsupported(top) {
			return
		}
		if got := decodedForm(top); !reflect.DeepEqual(got, normalize(want)) {
			t.Errorf("parsed %v, the library %v", got, want)
		}
	})
}

// normalize converts a decoded value so that NaN values and unsupported types compare equal.
func normalize(v any) any {
	switch x := v.(type) {
	case map[string]any:
		m := map[string]any{}
		for k, v := range x {
			m[k] = normalize(v)
		}
		return m
	case []any:
		l := []any{}
		for _, v := range x {
			l = append(l, normalize(v))
		}
		return l
	case float64:
		if math.IsNaN(x) {
			return "nan"
		}
	case string, int64, bool:
	default:
		return fmt.Sprint(x)
	}
	return v
}

// A file with too many keys in a table must be rejected at the first key beyond the limit,
// and the time to parse many tables must grow linearly with their number.
func TestLongFile(t *testing.T) {
	var b strings.Builder
	for i := range 80000 {
		fmt.Fprintf(&b, "k%d=1\n", i)
	}
	top, syntaxErrors := Parse([]byte(b.String()))
	if len(syntaxErrors) != 1 || syntaxErrors[0].Line != maxTableKeys+1 || len(top.Values) != maxTableKeys {
		t.Errorf("%d keys read, errors %+v", len(top.Values), syntaxErrors)
	}
	parseTime := func(tables int) time.Duration {
		text := []byte(strings.Repeat("[[t]]\na=1\n", tables))
		best := time.Hour
		for range 3 {
			start := time.Now()
			if top, syntaxErrors := Parse(text); len(syntaxErrors) > 0 || len(top.Values["t"].V.([]Value)) != tables {
				t.Fatal(syntaxErrors)
			}
			best = min(best, time.Since(start))
		}
		return best
	}
	few, many := parseTime(1000), parseTime(16000)
	t.Logf("parsed 1,000 tables in %v, 16,000 in %v", few, many)
	if many > 100*few { // linear growth would be a factor of 16, quadratic growth 256
		t.Errorf("parsed 1,000 tables in %v, 16,000 in %v", few, many)
	}
}
