package apps

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"curlewring/internal/operators/document"
)

// kind is the type of a key's value.
type kind int

const (
	kindText kind = iota
	kindTextList
	kindInteger
	kindNumber
	kindDuration
	kindBool
)

// String describes the kind in findings.
func (k kind) String() string {
	return [...]string{"a text", "a list of texts", "a whole number", "a number", `a duration with its unit, as "250ms"`, "true or false"}[k]
}

// Located is a value with the file and line that it comes from. A built-in default
// has neither.
type Located[T any] struct {
	V       T
	File    string
	Line    int
	Invalid bool // present but rejected, with a finding that says why
}

// IsSet reports whether a file gives a valid value.
func (a Located[T]) IsSet() bool { return a.Line > 0 && !a.Invalid }

// or returns the value, or another if no file has the key.
func (a Located[T]) or(other Located[T]) Located[T] {
	if a.Line > 0 {
		return a
	}
	return other
}

// key defines one key of a table whose values are stored in a T: its bounds, its
// description, and how it is parsed. The JSON schemas are generated from it too.
type key[T any] struct {
	name        string
	kind        kind
	min, max    float64 // of numbers; of durations in seconds; of the length of texts and lists
	allowed     []string
	required    bool
	description string
	set         func(to *T, r *fileReader, v document.Value)
}

// fileReader reads one file and collects its findings.
type fileReader struct {
	file            string
	findings        *Findings
	hasSyntaxErrors bool // a missing key may be in the part that couldn't be parsed
}

// report adds a finding about the file.
func (r *fileReader) report(code Code, line int, key, value, bound, text string) {
	r.findings.add(code, r.file, line, key, value, bound, text)
}

// readKeys stores the values of a table in a T, and reports unknown and missing
// keys. The keys in except are read elsewhere. prefix is the name of the table in
// findings, with a dot.
func readKeys[T any](r *fileReader, table *document.Table, prefix string, keys []key[T], except []string, to *T) {
	present := map[string]bool{}
	for _, name := range table.KeyOrder {
		v := table.Values[name]
		k := findKey(keys, name)
		if k == nil {
			if !contains(except, name) {
				r.report(UnknownKey, v.Line, prefix+name, v.Text, strings.Join(append(keyNames(keys), except...), ", "), "there is no such key")
			}
			continue
		}
		present[name] = true
		k.set(to, r, v)
	}
	for _, k := range keys {
		if k.required && !present[k.name] && !r.hasSyntaxErrors {
			r.report(MissingKey, table.Line, prefix+k.name, "", k.bounds(), k.description)
		}
	}
}

// findKey returns the key with a name; nil if there is none.
func findKey[T any](keys []key[T], name string) *key[T] {
	for i := range keys {
		if keys[i].name == name {
			return &keys[i]
		}
	}
	return nil
}

// keyNames returns the names of keys in their order.
func keyNames[T any](keys []key[T]) []string {
	var result []string
	for _, k := range keys {
		result = append(result, k.name)
	}
	return result
}

func contains(list []string, x string) bool {
	for _, element := range list {
		if element == x {
			return true
		}
	}
	return false
}

// bounds describes the values that the key allows.
func (k *key[T]) bounds() string {
	switch {
	case len(k.allowed) > 0:
		return strings.Join(k.allowed, ", ")
	case k.kind == kindInteger, k.kind == kindNumber:
		return fmt.Sprintf("%s to %s", formatFloat(k.min), formatFloat(k.max))
	case k.kind == kindDuration:
		return fmt.Sprintf("%v to %v", toDuration(k.min), toDuration(k.max))
	}
	return k.kind.String()
}

// formatFloat returns the shortest decimal form of a number.
func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// toDuration converts seconds to a duration.
func toDuration(f float64) time.Duration { return time.Duration(math.Round(f * float64(time.Second))) }

// textKey defines a key with a string value, one of allowed if any are given. As
// with the constructors below, field returns the field of a T that takes the value.
func textKey[T any](name string, required bool, description string, field func(*T) *Located[string], allowed ...string) key[T] {
	k := key[T]{name: name, kind: kindText, min: 1, max: 4096, required: required, description: description, allowed: allowed}
	k.set = func(to *T, r *fileReader, v document.Value) {
		target := field(to)
		*target = Located[string]{File: r.file, Line: v.Line, Invalid: true}
		s, ok := v.V.(string)
		switch {
		case !ok:
			r.report(WrongType, v.Line, name, v.Text, k.kind.String(), "not "+k.kind.String())
		case s == "" || len(s) > 4096:
			r.report(OutOfRange, v.Line, name, v.Text, "1 to 4096 bytes", "of no or too great length")
		case strings.ContainsFunc(s, func(c rune) bool { return c < ' ' || c == 0x7f || c == 0xfffd }):
			r.report(OutOfRange, v.Line, name, v.Text, "no control characters", "it holds a control character")
		case len(allowed) > 0 && !contains(allowed, s):
			r.report(InvalidWord, v.Line, name, v.Text, strings.Join(allowed, ", "), "none of the words allowed")
		default:
			target.V, target.Invalid = s, false
		}
	}
	return k
}

// maxListLength bounds lists of texts: an application may name all hosts of a fleet.
const maxListLength = 6000

// textListKey defines a key with a list of distinct, non-empty strings.
func textListKey[T any](name string, required bool, description string, field func(*T) *Located[[]string]) key[T] {
	k := key[T]{name: name, kind: kindTextList, min: 1, max: maxListLength, required: required, description: description}
	k.set = func(to *T, r *fileReader, v document.Value) {
		target := field(to)
		*target = Located[[]string]{File: r.file, Line: v.Line, Invalid: true}
		list, ok := v.V.([]document.Value)
		if !ok {
			r.report(WrongType, v.Line, name, v.Text, k.kind.String(), "not "+k.kind.String())
			return
		}
		if len(list) == 0 || len(list) > maxListLength {
			r.report(OutOfRange, v.Line, name, v.Text, fmt.Sprintf("1 to %d of them", maxListLength), "an empty or too long list")
			return
		}
		var all []string
		for _, x := range list {
			s, ok := x.V.(string)
			if !ok || s == "" || len(s) > 4096 || strings.ContainsFunc(s, func(c rune) bool { return c < ' ' || c == 0x7f }) {
				r.report(WrongType, x.Line, name, x.Text, k.kind.String(), "one of the list is no plain text")
				return
			}
			if contains(all, s) {
				r.report(DuplicateKey, x.Line, name, x.Text, "each once", "it stands twice in the list")
				return
			}
			all = append(all, s)
		}
		target.V, target.Invalid = all, false
	}
	return k
}

// integerKey defines a key with a whole number within bounds.
func integerKey[T any](name string, minimum, maximum int, required bool, description string, field func(*T) *Located[int]) key[T] {
	k := key[T]{name: name, kind: kindInteger, min: float64(minimum), max: float64(maximum), required: required, description: description}
	k.set = func(to *T, r *fileReader, v document.Value) {
		target := field(to)
		*target = Located[int]{File: r.file, Line: v.Line, Invalid: true}
		n, ok := v.V.(int64)
		switch {
		case !ok:
			r.report(WrongType, v.Line, name, v.Text, k.kind.String(), "not "+k.kind.String())
		case n < int64(minimum) || n > int64(maximum):
			r.report(OutOfRange, v.Line, name, v.Text, k.bounds(), "outside its bounds")
		default:
			target.V, target.Invalid = int(n), false
		}
	}
	return k
}

// numberKey defines a key with a number within bounds, whole or not.
func numberKey[T any](name string, minimum, maximum float64, required bool, description string, field func(*T) *Located[float64]) key[T] {
	k := key[T]{name: name, kind: kindNumber, min: minimum, max: maximum, required: required, description: description}
	k.set = func(to *T, r *fileReader, v document.Value) {
		target := field(to)
		*target = Located[float64]{File: r.file, Line: v.Line, Invalid: true}
		var f float64
		switch x := v.V.(type) {
		case int64:
			f = float64(x)
		case float64:
			f = x
		default:
			r.report(WrongType, v.Line, name, v.Text, k.kind.String(), "not "+k.kind.String())
			return
		}
		if !(f >= minimum && f <= maximum) { // negated, so that NaN is rejected
			r.report(OutOfRange, v.Line, name, v.Text, k.bounds(), "outside its bounds")
			return
		}
		target.V, target.Invalid = f, false
	}
	return k
}

// durationKey defines a key with a duration such as "250ms" within bounds.
func durationKey[T any](name string, minimum, maximum time.Duration, required bool, description string, field func(*T) *Located[time.Duration]) key[T] {
	k := key[T]{name: name, kind: kindDuration, min: minimum.Seconds(), max: maximum.Seconds(), required: required, description: description}
	k.set = func(to *T, r *fileReader, v document.Value) {
		target := field(to)
		*target = Located[time.Duration]{File: r.file, Line: v.Line, Invalid: true}
		s, ok := v.V.(string)
		if !ok {
			r.report(WrongType, v.Line, name, v.Text, k.kind.String(), "not "+k.kind.String())
			return
		}
		d, err := time.ParseDuration(s)
		switch {
		case err != nil:
			r.report(WrongType, v.Line, name, v.Text, k.kind.String(), "no duration")
		case d < minimum || d > maximum:
			r.report(OutOfRange, v.Line, name, v.Text, k.bounds(), "outside its bounds")
		default:
			target.V, target.Invalid = d, false
		}
	}
	return k
}

// boolKey defines a key that is true or false; it may be left out.
func boolKey[T any](name string, description string, field func(*T) *Located[bool]) key[T] {
	k := key[T]{name: name, kind: kindBool, description: description}
	k.set = func(to *T, r *fileReader, v document.Value) {
		target := field(to)
		*target = Located[bool]{File: r.file, Line: v.Line, Invalid: true}
		if b, ok := v.V.(bool); ok {
			target.V, target.Invalid = b, false
		} else {
			r.report(WrongType, v.Line, name, v.Text, k.kind.String(), "not "+k.kind.String())
		}
	}
	return k
}
