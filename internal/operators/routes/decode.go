package routes

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MaxFileSize is the largest accepted file in bytes.
const MaxFileSize = 1 << 20

// Value is a value of the file and its line.
type Value[T any] struct {
	V       T
	Line    int  // 0: the key is not set
	Invalid bool // the key is set, but its value is invalid and reported in a finding
}

// IsSet reports whether there is a valid value.
func (v Value[T]) IsSet() bool { return v.Line > 0 && !v.Invalid }

// Route is a [[route]] table of the file.
type Route struct {
	Line            int
	Incomplete      bool // part of it was not understood, so that keys may only seem to be missing
	Class           Value[string]
	Path            Value[string]
	Tenant          Value[string]
	AttemptTimeout  Value[time.Duration]
	Attempts        Value[int]
	BackoffFirst    Value[time.Duration]
	BackoffMax      Value[time.Duration]
	BackoffJitter   Value[float64]
	RetryOn         Value[[]string]
	SecondCopyAfter Value[time.Duration]
	DeadlineCap     Value[time.Duration]
	RetryAfter      Value[time.Duration]
}

// File is the parsed file of the operators.
type File struct {
	Routes []Route
	Idles  []Idle
	Count  Value[int] // route_count
}

// maxDuration and maxAttempts reject implausible values.
const (
	maxDuration = 24 * time.Hour
	maxAttempts = 1000
)

// Parse parses the text of a file and reports all errors of its form. If there are findings,
// the File holds everything that could be read.
func Parse(text []byte) (*File, []Finding) {
	d := &decoder{file: &File{}, keyLines: map[string]int{}, data: text}
	switch {
	case len(text) > MaxFileSize:
		d.report(TooLarge, 0, "", "", fmt.Sprintf("%d bytes", MaxFileSize), "the file is too large")
		return d.file, d.findings
	case len(bytes.TrimSpace(text)) == 0:
		d.report(Empty, 0, "", "", "", "the file is empty; to set nothing, write route_count = 0")
		return d.file, d.findings
	}
	d.readExpressions()
	// The library's decoder finds errors that readExpressions does not, such as tables that
	// are defined twice.
	if len(d.findings) == 0 {
		var decoded map[string]any
		var decodeErr *toml.DecodeError
		if err := toml.Unmarshal(text, &decoded); errors.As(err, &decodeErr) {
			line, _ := decodeErr.Position()
			d.report(Syntax, line, strings.Join(decodeErr.Key(), "."), "", "", strings.TrimPrefix(decodeErr.Error(), "toml: "))
		} else if err != nil {
			d.report(Syntax, 0, "", "", "", err.Error())
		}
	}
	if n := len(d.file.Routes); d.file.Count.IsSet() && d.file.Count.V != n {
		d.report(WrongCount, d.file.Count.Line, "route_count", strconv.Itoa(d.file.Count.V), strconv.Itoa(n),
			"the file holds another number of routes; is it whole?")
	} else if n == 0 && d.file.Count.Line == 0 && len(d.file.Idles) == 0 && len(d.findings) == 0 {
		d.report(Empty, 0, "", "", "", "the file holds no route; to set nothing, write route_count = 0")
	}
	SortFindings(d.findings)
	return d.file, d.findings
}

// decoder builds a File from the expressions of the TOML parser.
type decoder struct {
	parser    unstable.Parser
	data      []byte
	file      *File
	findings  []Finding
	route     *Route         // route that receives the next keys; nil: top level or [[idle]]
	idle      *Idle          // idle rule that receives the next keys; nil: none
	skipTable bool           // within an unknown table
	inBackoff bool           // within [route.backoff]
	keyLines  map[string]int // lines of the keys of the current table
}

// report records a finding.
func (d *decoder) report(code Code, line int, key, value, bound, text string) {
	d.findings = append(d.findings, Finding{code, line, key, value, bound, text})
}

// nodeLine returns the line of a node.
func (d *decoder) nodeLine(n *unstable.Node) int {
	return 1 + bytes.Count(d.data[:min(int(n.Raw.Offset), len(d.data))], []byte("\n"))
}

// readExpressions reads all expressions of the file.
func (d *decoder) readExpressions() {
	d.parser.Reset(d.data)
	for d.parser.NextExpression() {
		expression := d.parser.Expression()
		switch expression.Kind {
		case unstable.ArrayTable, unstable.Table:
			d.startTable(expression)
		case unstable.KeyValue:
			d.readKeyValue(expression, "")
		}
	}
	var parserErr *unstable.ParserError
	if err := d.parser.Error(); errors.As(err, &parserErr) {
		line := 0
		if len(parserErr.Highlight) > 0 {
			highlight := d.parser.Range(parserErr.Highlight)
			line = 1 + bytes.Count(d.data[:highlight.Offset], []byte("\n"))
		} else {
			line = 1 + bytes.Count(d.data, []byte("\n"))
		}
		d.report(Syntax, line, strings.Join(parserErr.Key, "."), "", "", parserErr.Message)
	} else if err != nil {
		d.report(Syntax, 0, "", "", "", err.Error())
	}
	if d.parser.Error() != nil && d.route != nil {
		d.route.Incomplete = true
	}
}

// joinedKey returns a dotted key and the line of its first part.
func (d *decoder) joinedKey(n *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := n.Key(); it.Next(); {
		if line == 0 {
			line = d.nodeLine(it.Node())
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), line
}

// startTable begins a table: [[route]], [[idle]] or [route.backoff].
func (d *decoder) startTable(n *unstable.Node) {
	name, line := d.joinedKey(n)
	d.skipTable, d.inBackoff, d.idle = false, false, nil
	switch {
	case name == "route" && n.Kind == unstable.ArrayTable:
		d.file.Routes = append(d.file.Routes, Route{Line: line})
		d.route = &d.file.Routes[len(d.file.Routes)-1]
		d.keyLines = map[string]int{}
	case name == "idle" && n.Kind == unstable.ArrayTable:
		d.file.Idles = append(d.file.Idles, Idle{Line: line})
		d.idle, d.route = &d.file.Idles[len(d.file.Idles)-1], nil
		d.keyLines = map[string]int{}
	case name == "idle":
		d.skipTable = true
		d.report(WrongType, line, "[idle]", "", "[[idle]]", "idle rules are a list of tables")
	case name == "route":
		d.skipTable = true
		d.report(WrongType, line, "[route]", "", "[[route]]", "routes are a list of tables")
	case name == "route.backoff" && n.Kind == unstable.Table && d.route != nil:
		d.inBackoff = true
		d.recordKey("backoff", line)
	default:
		d.skipTable = true
		d.markIncomplete()
		d.report(UnknownKey, line, "["+name+"]", "", "", "there is no such table")
	}
}

// markIncomplete records that part of the current route was not understood.
func (d *decoder) markIncomplete() {
	if d.route != nil {
		d.route.Incomplete = true
	}
}

// recordKey records a key of the current table. It reports a duplicate and returns false.
func (d *decoder) recordKey(key string, line int) bool {
	if first := d.keyLines[key]; first > 0 {
		d.report(Duplicate, line, key, "", "", fmt.Sprintf("the key stands already in line %d", first))
		return false
	}
	d.keyLines[key] = line
	return true
}

// readKeyValue reads a key with its value. parent is the key of the enclosing inline table, if
// any.
func (d *decoder) readKeyValue(n *unstable.Node, parent string) {
	if d.skipTable {
		return // the unknown table has been reported
	}
	key, line := d.joinedKey(n)
	if parent != "" {
		key = parent + "." + key
	} else if d.inBackoff {
		key = "backoff." + key
	}
	value := n.Value()
	if d.idle != nil {
		d.readIdleKey(key, line, value)
		return
	}
	if d.route == nil {
		if key != "route_count" {
			d.report(UnknownKey, line, key, "", "route_count, [[route]], [[idle]]", "there is no such key at the top")
		} else if d.recordKey(key, line) {
			d.file.Count = d.readInteger(key, line, value, 0)
		}
		return
	}
	r := d.route
	if key == "backoff" {
		if value.Kind != unstable.InlineTable {
			d.markIncomplete()
			d.report(WrongType, line, key, d.valueText(value), `a table, as { first = "50ms", most = "200ms" }`, "not a table")
			return
		}
		if d.recordKey(key, line) {
			for it := value.Children(); it.Next(); {
				d.readKeyValue(it.Node(), key)
			}
		}
		return
	}
	if !d.recordKey(key, line) {
		return
	}
	switch key {
	case "class":
		r.Class = d.readString(key, line, value)
	case "path":
		r.Path = d.readString(key, line, value)
	case "tenant":
		r.Tenant = d.readString(key, line, value)
	case "attempt_timeout":
		r.AttemptTimeout = d.readDuration(key, line, value)
	case "attempts":
		r.Attempts = d.readInteger(key, line, value, 1)
	case "backoff.first":
		r.BackoffFirst = d.readDuration(key, line, value)
	case "backoff.most":
		r.BackoffMax = d.readDuration(key, line, value)
	case "backoff.jitter":
		r.BackoffJitter = d.readFraction(key, line, value)
	case "retry_on":
		r.RetryOn = d.readStrings(key, line, value)
	case "second_copy_after":
		r.SecondCopyAfter = d.readDuration(key, line, value)
	case "deadline_cap":
		r.DeadlineCap = d.readDuration(key, line, value)
	case "retry_after":
		r.RetryAfter = d.readDuration(key, line, value)
	default:
		d.markIncomplete()
		d.report(UnknownKey, line, key, "", "", "a route has no such key")
	}
}

// valueText returns the text of a value, truncated for a finding.
func (d *decoder) valueText(n *unstable.Node) string {
	const maxLength = 60
	raw := string(n.Data)
	switch n.Kind {
	case unstable.String:
		raw = strconv.Quote(raw)
	case unstable.Array:
		raw = "[...]"
	case unstable.InlineTable:
		raw = "{...}"
	}
	if len(raw) > maxLength {
		raw = strings.ToValidUTF8(raw[:maxLength], "") + "..."
	}
	return raw
}

// readString reads a string value.
func (d *decoder) readString(key string, line int, n *unstable.Node) Value[string] {
	if n.Kind != unstable.String {
		d.report(WrongType, line, key, d.valueText(n), "a string", "not a string")
		return Value[string]{Line: line, Invalid: true}
	}
	return Value[string]{V: string(n.Data), Line: line}
}

// readStrings reads a list of strings.
func (d *decoder) readStrings(key string, line int, n *unstable.Node) Value[[]string] {
	v := Value[[]string]{Line: line, V: []string{}}
	if n.Kind != unstable.Array {
		d.report(WrongType, line, key, d.valueText(n), "a list of strings", "not a list")
		v.Invalid = true
		return v
	}
	for it := n.Children(); it.Next(); {
		switch item := it.Node(); item.Kind {
		case unstable.Comment:
		case unstable.String:
			v.V = append(v.V, string(item.Data))
		default:
			d.report(WrongType, line, key, d.valueText(item), "a list of strings", "an item is not a string")
			v.Invalid = true
		}
	}
	return v
}

// readDuration reads a duration of 1 ms to maxDuration.
func (d *decoder) readDuration(key string, line int, n *unstable.Node) Value[time.Duration] {
	v := Value[time.Duration]{Line: line, Invalid: true}
	if n.Kind != unstable.String {
		d.report(WrongType, line, key, d.valueText(n), `a duration with its unit, as "250ms"`, "not a duration")
		return v
	}
	text := string(n.Data)
	parsed, err := time.ParseDuration(text)
	bare := strings.Trim(text, "0123456789.+-") == ""
	switch {
	case err != nil && isDuration(text):
		d.report(OutOfRange, line, key, d.valueText(n), "at most "+maxDuration.String(), "too large to be meant")
	case err != nil || bare:
		d.report(WrongUnit, line, key, d.valueText(n), `a duration with its unit, as "250ms" or "1.5s"`, "not a duration")
	case parsed <= 0:
		d.report(OutOfRange, line, key, d.valueText(n), "above 0", "not above zero")
	case parsed < time.Millisecond:
		d.report(OutOfRange, line, key, d.valueText(n), "1ms at the least", "finer than the node's clock is used")
	case parsed > maxDuration:
		d.report(OutOfRange, line, key, d.valueText(n), "at most "+maxDuration.String(), "too large to be meant")
	default:
		v.V, v.Invalid = parsed, false
	}
	return v
}

// isDuration reports whether a text that could not be parsed has the form of a duration and
// was only out of range.
func isDuration(text string) bool {
	suffix := strings.TrimLeft(text, "+-0123456789")
	_, err := time.ParseDuration("1" + suffix)
	return suffix != text && err == nil
}

// readInteger reads an integer from minimum to maxAttempts.
func (d *decoder) readInteger(key string, line int, n *unstable.Node, minimum int) Value[int] {
	v := Value[int]{Line: line, Invalid: true}
	if n.Kind != unstable.Integer {
		d.report(WrongType, line, key, d.valueText(n), "a whole number", "not a whole number")
		return v
	}
	i, err := strconv.ParseInt(strings.ReplaceAll(string(n.Data), "_", ""), 0, 64)
	if err != nil || i < int64(minimum) || i > maxAttempts {
		d.report(OutOfRange, line, key, d.valueText(n), fmt.Sprintf("%d to %d", minimum, maxAttempts), "out of range")
		return v
	}
	v.V, v.Invalid = int(i), false
	return v
}

// readFraction reads a number from 0 to 1.
func (d *decoder) readFraction(key string, line int, n *unstable.Node) Value[float64] {
	v := Value[float64]{Line: line, Invalid: true}
	if n.Kind != unstable.Float && n.Kind != unstable.Integer {
		d.report(WrongType, line, key, d.valueText(n), "a number from 0 to 1", "not a number")
		return v
	}
	f, err := strconv.ParseFloat(strings.ReplaceAll(string(n.Data), "_", ""), 64)
	if err != nil || math.IsNaN(f) || f < 0 || f > 1 {
		d.report(OutOfRange, line, key, d.valueText(n), "0 to 1", "out of range")
		return v
	}
	v.V, v.Invalid = f, false
	return v
}
