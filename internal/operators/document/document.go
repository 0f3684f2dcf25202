package document

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MostBytes is the largest file that is read.
const MaxFileSize = 1 << 20

// mostKeys is the most keys of one table: the library's own check of them takes a
// time that grows with the square of their number. A table may hold a key for each
// node of a fleet.
const maxTableKeys = 6000

// Value is a value and where it stands. V is a string, int64, float64, bool,
// []Value, *Table, or Other for what no description uses.
type Value struct {
	Line int
	V    any
	Text string // as it stands in the file, shortened; "" for tables
}

// Other is a value of a kind that no description uses: dates and times.
type UnsupportedValue string

// Table is a table, a list's element, or the whole file.
type Table struct {
	Line     int
	Values   map[string]Value
	KeyOrder []string // keys in the file's order
}

// Fault is what is wrong with the form of a file.
type SyntaxError struct {
	Line      int // 1 is the first; 0: the file as a whole
	Key, Text string
	Duplicate bool
}

func newTable(line int) *Table { return &Table{Line: line, Values: map[string]Value{}} }

// Parse reads a file. What could be read is in the table, also where there are faults.
func Parse(text []byte) (*Table, []SyntaxError) {
	r := &reader{data: text, root: newTable(1)}
	if len(text) > MaxFileSize {
		return r.root, []SyntaxError{{Text: fmt.Sprintf("larger than %d bytes", MaxFileSize)}}
	}
	text = bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))
	r.data = text
	r.readExpressions()
	// The library's own decoder knows what the walk does not: tables defined twice, say.
	if len(r.syntaxErrors) == 0 {
		var whole map[string]any
		var fault *toml.DecodeError
		if err := toml.Unmarshal(text, &whole); errors.As(err, &fault) {
			line, _ := fault.Position()
			r.addError(line, strings.Join(fault.Key(), "."), strings.TrimPrefix(fault.Error(), "toml: "))
		} else if err != nil {
			r.addError(0, "", err.Error())
		}
	}
	return r.root, r.syntaxErrors
}

type reader struct {
	parser unstable.Parser
	data   []byte
	lineBreaks []int // offsets of the line breaks
	root    *Table
	current    *Table // whose keys come; nil: they are passed over
	syntaxErrors []SyntaxError
	stopped   bool // a table has too many keys: nothing more is read
}

func (r *reader) addError(line int, key, text string) {
	r.syntaxErrors = append(r.syntaxErrors, SyntaxError{Line: line, Key: key, Text: text})
}

func (r *reader) nodeLine(n *unstable.Node) int {
	return r.lineAt(int(n.Raw.Offset))
}

// at is the line of a byte. Breaks are looked up, not counted: a file may have as
// many keys as bytes.
func (r *reader) lineAt(offset int) int {
	if r.lineBreaks == nil {
		r.lineBreaks = []int{}
		for i, c := range r.data {
			if c == '\n' {
				r.lineBreaks = append(r.lineBreaks, i)
			}
		}
	}
	before, _ := slices.BinarySearch(r.lineBreaks, offset)
	return 1 + before
}

func (r *reader) readExpressions() {
	r.current = r.root
	r.parser.Reset(r.data)
	for !r.stopped && r.parser.NextExpression() {
		e := r.parser.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			r.startTable(e)
		case unstable.KeyValue:
			if r.current != nil {
				r.addKeyValue(r.current, e)
			}
		}
	}
	var fault *unstable.ParserError
	if err := r.parser.Error(); errors.As(err, &fault) {
		line := r.lineAt(len(r.data))
		if len(fault.Highlight) > 0 {
			line = r.lineAt(int(r.parser.Range(fault.Highlight).Offset))
		}
		r.addError(line, strings.Join(fault.Key, "."), fault.Message)
	} else if err != nil {
		r.addError(0, "", err.Error())
	}
}

// parts are the parts of a key, and the line of the first.
func (r *reader) keyParts(n *unstable.Node) (parts []string, line int) {
	for it := n.Key(); it.Next(); {
		if line == 0 {
			line = r.nodeLine(it.Node())
		}
		parts = append(parts, string(it.Node().Data))
	}
	return parts, line
}

// table begins a table or an element of a list of tables.
func (r *reader) startTable(n *unstable.Node) {
	parts, line := r.keyParts(n)
	name := strings.Join(parts, ".")
	r.current = nil
	at := r.openTable(r.root, parts[:len(parts)-1], line, name)
	if at == nil {
		return
	}
	last := parts[len(parts)-1]
	old, there := at.Values[last]
	if n.Kind == unstable.ArrayTable {
		list, isList := old.V.([]Value)
		if there && !isList {
			r.addError(line, name, fmt.Sprintf("it stands already in line %d, and is no list", old.Line))
			return
		}
		r.current = newTable(line)
		list = append(list, Value{Line: line, V: r.current})
		if !there {
			if r.tableFull(at, line, name) {
				return
			}
			old.Line = line
			at.KeyOrder = append(at.KeyOrder, last)
		}
		at.Values[last] = Value{Line: old.Line, V: list}
		return
	}
	if there {
		// A table that was only passed through by a longer name may follow; the
		// library finds what may not.
		if t, ok := old.V.(*Table); ok {
			r.current = t
		} else {
			r.addError(line, name, fmt.Sprintf("it stands already in line %d, and is no table", old.Line))
		}
		return
	}
	if r.tableFull(at, line, name) {
		return
	}
	r.current = newTable(line)
	at.Values[last] = Value{Line: line, V: r.current}
	at.KeyOrder = append(at.KeyOrder, last)
}

// descend goes down by the parts of a key, making the tables that are not there.
func (r *reader) openTable(at *Table, parts []string, line int, name string) *Table {
	for _, p := range parts {
		v, there := at.Values[p]
		if !there {
			if r.tableFull(at, line, name) {
				return nil
			}
			v = Value{Line: line, V: newTable(line)}
			at.Values[p] = v
			at.KeyOrder = append(at.KeyOrder, p)
		}
		switch x := v.V.(type) {
		case *Table:
			at = x
		case []Value:
			var last *Table
			if len(x) > 0 {
				last, _ = x[len(x)-1].V.(*Table)
			}
			if last == nil {
				r.addError(line, name, fmt.Sprintf("%q in line %d is no table", p, v.Line))
				return nil
			}
			at = last
		default:
			r.addError(line, name, fmt.Sprintf("%q in line %d is no table", p, v.Line))
			return nil
		}
	}
	return at
}

// tooMany tells whether a table can take no further key, and then ends the reading.
func (r *reader) tableFull(at *Table, line int, name string) bool {
	if len(at.KeyOrder) < maxTableKeys {
		return false
	}
	r.addError(line, name, fmt.Sprintf("more than %d keys in one table", maxTableKeys))
	r.stopped = true
	return true
}

func (r *reader) addKeyValue(at *Table, n *unstable.Node) {
	parts, line := r.keyParts(n)
	name := strings.Join(parts, ".")
	if at = r.openTable(at, parts[:len(parts)-1], line, name); at == nil {
		return
	}
	last := parts[len(parts)-1]
	if old, there := at.Values[last]; there {
		r.syntaxErrors = append(r.syntaxErrors, SyntaxError{line, name, fmt.Sprintf("the key stands already in line %d", old.Line), true})
		return
	}
	if r.tableFull(at, line, name) {
		return
	}
	at.Values[last] = r.value(n.Value(), line)
	at.KeyOrder = append(at.KeyOrder, last)
}

// value reads one value; near is a line that it is not above.
func (r *reader) value(n *unstable.Node, near int) Value {
	v := Value{Line: near, Text: truncate(r.sourceText(n))}
	if n.Raw.Length > 0 {
		v.Line = r.nodeLine(n)
	}
	switch n.Kind {
	case unstable.String:
		v.V = string(n.Data)
		v.Text = truncate(strconv.Quote(string(n.Data)))
	case unstable.Bool:
		v.V = string(n.Data) == "true"
	case unstable.Integer:
		i, err := strconv.ParseInt(strings.ReplaceAll(string(n.Data), "_", ""), 0, 64)
		if err != nil {
			r.addError(v.Line, "", fmt.Sprintf("%s is no number that can be held", v.Text))
		}
		v.V = i
	case unstable.Float:
		f, err := strconv.ParseFloat(strings.ReplaceAll(string(n.Data), "_", ""), 64)
		if err != nil {
			r.addError(v.Line, "", fmt.Sprintf("%s is no number that can be held", v.Text))
		}
		v.V = f
	case unstable.Array:
		list := []Value{}
		for it := n.Children(); it.Next(); {
			if it.Node().Kind != unstable.Comment {
				list = append(list, r.value(it.Node(), v.Line))
			}
		}
		v.V = list
	case unstable.InlineTable:
		t := newTable(v.Line)
		for it := n.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				r.addKeyValue(t, it.Node())
			}
		}
		v.V = t
	default:
		v.V = UnsupportedValue(n.Data)
	}
	return v
}

func (r *reader) sourceText(n *unstable.Node) string {
	if n.Raw.Length > 0 {
		return string(r.parser.Raw(n.Raw))
	}
	return string(n.Data)
}

func truncate(s string) string {
	const most = 60
	if len(s) <= most {
		return s
	}
	cut := most
	for cut > 0 && s[cut]&0xc0 == 0x80 {
		cut--
	}
	return s[:cut] + "..."
}
