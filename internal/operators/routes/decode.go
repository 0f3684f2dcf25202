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

// MostBytes is the largest file that is read.
const MaxFileSize = 1 << 20

// Value is a value of the file and where it stands.
type Value[T any] struct {
	V       T
	Line    int  // 0: the key is not there
	Invalid bool // it is there and could not be read; a finding says why
}

// Set tells whether there is a value to go by.
func (v Value[T]) IsSet() bool { return v.Line > 0 && !v.Invalid }

// Route is one [[route]] as it stands in the file.
type Route struct {
	Line            int
	Incomplete      bool // something in it could not be told: what seems missing may stand there
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

// File is the operators' file.
type File struct {
	Routes []Route
	Idles  []Idle
	Count  Value[int] // route_count
}

// mostDuration and mostAttempts are beyond anything that can be meant.
const (
	maxDuration = 24 * time.Hour
	maxAttempts = 1000
)

// Parse reads a file's text and reports all that is wrong with its form. What
// could be read stands in the file, also where there are findings.
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
	// The library's own decoder knows what the walk does not: tables defined
	// twice, say. Where the walk found nothing, it must agree.
	if len(d.findings) == 0 {
		var whole map[string]any
		var fault *toml.DecodeError
		if err := toml.Unmarshal(text, &whole); errors.As(err, &fault) {
			row, _ := fault.Position()
			d.report(Syntax, row, strings.Join(fault.Key(), "."), "", "", strings.TrimPrefix(fault.Error(), "toml: "))
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

// decoder walks over the parser's tree.
type decoder struct {
	parser   unstable.Parser
	data     []byte
	file     *File
	findings []Finding
	route    *Route         // the one whose keys come now; nil: the top
	idle     *Idle          // the one whose keys come now
	skipTable     bool           // below a table that is unknown
	inBackoff  bool           // below [route.backoff]
	keyLines     map[string]int // keys of the present route or the top, and their lines
}

func (d *decoder) report(code Code, line int, key, value, bound, text string) {
	d.findings = append(d.findings, Finding{code, line, key, value, bound, text})
}

// line is where a node stands.
func (d *decoder) nodeLine(n *unstable.Node) int {
	return 1 + bytes.Count(d.data[:min(int(n.Raw.Offset), len(d.data))], []byte("\n"))
}

// walk takes all expressions of the file.
func (d *decoder) readExpressions() {
	d.parser.Reset(d.data)
	for d.parser.NextExpression() {
		e := d.parser.Expression()
		switch e.Kind {
		case unstable.ArrayTable, unstable.Table:
			d.startTable(e)
		case unstable.KeyValue:
			d.readKeyValue(e, "")
		}
	}
	var fault *unstable.ParserError
	if err := d.parser.Error(); errors.As(err, &fault) {
		line := 0
		if len(fault.Highlight) > 0 {
			at := d.parser.Range(fault.Highlight)
			line = 1 + bytes.Count(d.data[:at.Offset], []byte("\n"))
		} else {
			line = 1 + bytes.Count(d.data, []byte("\n"))
		}
		d.report(Syntax, line, strings.Join(fault.Key, "."), "", "", fault.Message)
	} else if err != nil {
		d.report(Syntax, 0, "", "", "", err.Error())
	}
	if d.parser.Error() != nil && d.route != nil {
		d.route.Incomplete = true
	}
}

// key joins the parts of a dotted key and gives the line of the first.
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

// table begins a table: [[route]], or [route.backoff] below one.
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

// unclear notes that something of the present route was not understood.
func (d *decoder) markIncomplete() {
	if d.route != nil {
		d.route.Incomplete = true
	}
}

// once notes a key, and finds one that has been there.
func (d *decoder) recordKey(key string, line int) bool {
	if before := d.keyLines[key]; before > 0 {
		d.report(Duplicate, line, key, "", "", fmt.Sprintf("the key stands already in line %d", before))
		return false
	}
	d.keyLines[key] = line
	return true
}

// keyValue takes one key with its value; inside holds the key of an inline table.
func (d *decoder) readKeyValue(n *unstable.Node, inside string) {
	if d.skipTable {
		return // its table was found to be unknown
	}
	key, line := d.joinedKey(n)
	if inside != "" {
		key = inside + "." + key
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

// text is a value as it stands in the file, cut to a line's length.
func (d *decoder) valueText(n *unstable.Node) string {
	const most = 60
	raw := string(n.Data)
	switch n.Kind {
	case unstable.String:
		raw = strconv.Quote(raw)
	case unstable.Array:
		raw = "[...]"
	case unstable.InlineTable:
		raw = "{...}"
	}
	if len(raw) > most {
		raw = strings.ToValidUTF8(raw[:most], "") + "..."
	}
	return raw
}

func (d *decoder) readString(key string, line int, n *unstable.Node) Value[string] {
	if n.Kind != unstable.String {
		d.report(WrongType, line, key, d.valueText(n), "a string", "not a string")
		return Value[string]{Line: line, Invalid: true}
	}
	return Value[string]{V: string(n.Data), Line: line}
}

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

// isDuration tells whether a text that could not be read would be a duration
// with fewer digits.
func isDuration(text string) bool {
	short := strings.TrimLeft(text, "+-0123456789")
	_, err := time.ParseDuration("1" + short)
	return short != text && err == nil
}

func (d *decoder) readInteger(key string, line int, n *unstable.Node, least int) Value[int] {
	v := Value[int]{Line: line, Invalid: true}
	if n.Kind != unstable.Integer {
		d.report(WrongType, line, key, d.valueText(n), "a whole number", "not a whole number")
		return v
	}
	i, err := strconv.ParseInt(strings.ReplaceAll(string(n.Data), "_", ""), 0, 64)
	if err != nil || i < int64(least) || i > maxAttempts {
		d.report(OutOfRange, line, key, d.valueText(n), fmt.Sprintf("%d to %d", least, maxAttempts), "out of range")
		return v
	}
	v.V, v.Invalid = int(i), false
	return v
}

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
