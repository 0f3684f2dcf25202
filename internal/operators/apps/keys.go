package apps

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"curlewring/internal/operators/document"
)

// kind is what a value of a key is.
type kind int

const (
	kindText kind = iota
	kindTextList
	kindInteger
	kindNumber
	kindDuration
	kindBool
)

func (k kind) String() string {
	return [...]string{"a text", "a list of texts", "a whole number", "a number", `a duration with its unit, as "250ms"`, "true or false"}[k]
}

// At is a value and where it stands: the file, and its line. File "" is a
// default of the program.
type Located[T any] struct {
	V       T
	File    string
	Line    int
	Invalid bool // it stands there and could not be read; a finding says why
}

// Set tells whether a file gives the value.
func (a Located[T]) IsSet() bool { return a.Line > 0 && !a.Invalid }

// or is the value, or another where no file gives it.
func (a Located[T]) or(other Located[T]) Located[T] {
	if a.Line > 0 {
		return a
	}
	return other
}

// key is one key of a description: how it is read, what it is for, and where it
// goes. The schema is made of the same.
type key[T any] struct {
	name        string
	kind        kind
	min, max    float64 // of numbers; of durations in seconds; of texts and lists the length
	allowed     []string
	required    bool
	description string
	set         func(to *T, r *fileReader, v document.Value)
}

// reading is the reading of one file.
type fileReader struct {
	file            string
	findings        *Findings
	hasSyntaxErrors bool // the text is no TOML somewhere: what is missing may stand behind that
}

func (r *fileReader) report(code Code, line int, key, value, bound, text string) {
	r.findings.add(code, r.file, line, key, value, bound, text)
}

// take reads the keys of a table. Tables that others read are named by except.
func readKeys[T any](r *fileReader, t *document.Table, in string, keys []key[T], except []string, to *T) {
	seen := map[string]bool{}
	for _, name := range t.KeyOrder {
		v := t.Values[name]
		k := findKey(keys, name)
		if k == nil {
			if !contains(except, name) {
				r.report(UnknownKey, v.Line, in+name, v.Text, strings.Join(append(keyNames(keys), except...), ", "), "there is no such key")
			}
			continue
		}
		seen[name] = true
		k.set(to, r, v)
	}
	for _, k := range keys {
		if k.required && !seen[k.name] && !r.hasSyntaxErrors {
			r.report(MissingKey, t.Line, in+k.name, "", k.bounds(), k.description)
		}
	}
}

func findKey[T any](keys []key[T], name string) *key[T] {
	for i := range keys {
		if keys[i].name == name {
			return &keys[i]
		}
	}
	return nil
}

func keyNames[T any](keys []key[T]) []string {
	var all []string
	for _, k := range keys {
		all = append(all, k.name)
	}
	return all
}

func contains(all []string, x string) bool {
	for _, a := range all {
		if a == x {
			return true
		}
	}
	return false
}

// bound is what a value of the key must be, in words.
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

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func toDuration(f float64) time.Duration { return time.Duration(math.Round(f * float64(time.Second))) }

// textKey, and the others below, make keys whose value goes to a place of T.
func textKey[T any](name string, must bool, doc string, place func(*T) *Located[string], among ...string) key[T] {
	k := key[T]{name: name, kind: kindText, min: 1, max: 4096, required: must, description: doc, allowed: among}
	k.set = func(to *T, r *fileReader, v document.Value) {
		at := place(to)
		*at = Located[string]{File: r.file, Line: v.Line, Invalid: true}
		s, ok := v.V.(string)
		switch {
		case !ok:
			r.report(WrongType, v.Line, name, v.Text, k.kind.String(), "not "+k.kind.String())
		case s == "" || len(s) > 4096:
			r.report(OutOfRange, v.Line, name, v.Text, "1 to 4096 bytes", "of no or too great length")
		case strings.ContainsFunc(s, func(c rune) bool { return c < ' ' || c == 0x7f || c == 0xfffd }):
			r.report(OutOfRange, v.Line, name, v.Text, "no control characters", "it holds a control character")
		case len(among) > 0 && !contains(among, s):
			r.report(InvalidWord, v.Line, name, v.Text, strings.Join(among, ", "), "none of the words allowed")
		default:
			at.V, at.Invalid = s, false
		}
	}
	return k
}

// mostWords is the most of a list of words: the hosts of an application may be all of a fleet.
const maxListLength = 6000

func textListKey[T any](name string, must bool, doc string, place func(*T) *Located[[]string]) key[T] {
	k := key[T]{name: name, kind: kindTextList, min: 1, max: maxListLength, required: must, description: doc}
	k.set = func(to *T, r *fileReader, v document.Value) {
		at := place(to)
		*at = Located[[]string]{File: r.file, Line: v.Line, Invalid: true}
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
		at.V, at.Invalid = all, false
	}
	return k
}

func integerKey[T any](name string, least, most int, must bool, doc string, place func(*T) *Located[int]) key[T] {
	k := key[T]{name: name, kind: kindInteger, min: float64(least), max: float64(most), required: must, description: doc}
	k.set = func(to *T, r *fileReader, v document.Value) {
		at := place(to)
		*at = Located[int]{File: r.file, Line: v.Line, Invalid: true}
		n, ok := v.V.(int64)
		switch {
		case !ok:
			r.report(WrongType, v.Line, name, v.Text, k.kind.String(), "not "+k.kind.String())
		case n < int64(least) || n > int64(most):
			r.report(OutOfRange, v.Line, name, v.Text, k.bounds(), "outside its bounds")
		default:
			at.V, at.Invalid = int(n), false
		}
	}
	return k
}

func numberKey[T any](name string, least, most float64, must bool, doc string, place func(*T) *Located[float64]) key[T] {
	k := key[T]{name: name, kind: kindNumber, min: least, max: most, required: must, description: doc}
	k.set = func(to *T, r *fileReader, v document.Value) {
		at := place(to)
		*at = Located[float64]{File: r.file, Line: v.Line, Invalid: true}
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
		if !(f >= least && f <= most) { // not a number included
			r.report(OutOfRange, v.Line, name, v.Text, k.bounds(), "outside its bounds")
			return
		}
		at.V, at.Invalid = f, false
	}
	return k
}

func durationKey[T any](name string, least, most time.Duration, must bool, doc string, place func(*T) *Located[time.Duration]) key[T] {
	k := key[T]{name: name, kind: kindDuration, min: least.Seconds(), max: most.Seconds(), required: must, description: doc}
	k.set = func(to *T, r *fileReader, v document.Value) {
		at := place(to)
		*at = Located[time.Duration]{File: r.file, Line: v.Line, Invalid: true}
		s, ok := v.V.(string)
		if !ok {
			r.report(WrongType, v.Line, name, v.Text, k.kind.String(), "not "+k.kind.String())
			return
		}
		d, err := time.ParseDuration(s)
		switch {
		case err != nil:
			r.report(WrongType, v.Line, name, v.Text, k.kind.String(), "no duration")
		case d < least || d > most:
			r.report(OutOfRange, v.Line, name, v.Text, k.bounds(), "outside its bounds")
		default:
			at.V, at.Invalid = d, false
		}
	}
	return k
}

func boolKey[T any](name string, doc string, place func(*T) *Located[bool]) key[T] {
	k := key[T]{name: name, kind: kindBool, description: doc}
	k.set = func(to *T, r *fileReader, v document.Value) {
		at := place(to)
		*at = Located[bool]{File: r.file, Line: v.Line, Invalid: true}
		if b, ok := v.V.(bool); ok {
			at.V, at.Invalid = b, false
		} else {
			r.report(WrongType, v.Line, name, v.Text, k.kind.String(), "not "+k.kind.String())
		}
	}
	return k
}
