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

// MaxFileSize is the largest accepted file in bytes.
const MaxFileSize = 1 << 20

// maxTableKeys is the maximum number of keys in one table. The TOML library's check for
// duplicates takes time quadratic in their number. A table may have a key for each node of a fleet.
const maxTableKeys = 6000

// Value is a value and its line. V is a string, int64, float64, bool, []Value, *Table or
// UnsupportedValue.
type Value struct {
	Line int
	V    any
	Text string // source text, truncated; "" for tables
}

// UnsupportedValue is a value of a type that no file uses: a date or time.
type UnsupportedValue string

// Table is a table, an element of an array of tables, or the whole file.
type Table struct {
	Line     int
	Values   map[string]Value
	KeyOrder []string // keys in the order of the file
}

// SyntaxError is an error in the syntax of a file.
type SyntaxError struct {
	Line      int // starts at 1; 0: the file as a whole
	Key, Text string
	Duplicate bool // the key is defined twice in a table
}

// newTable returns an empty table that begins in a line.
func newTable(line int) *Table { return &Table{Line: line, Values: map[string]Value{}} }

// Parse parses a file. If there are errors, the table holds everything that could be read.
func Parse(text []byte) (*Table, []SyntaxError) {
	r := &reader{data: text, root: newTable(1)}
	if len(text) > MaxFileSize {
		return r.root, []SyntaxError{{Text: fmt.Sprintf("larger than %d bytes", MaxFileSize)}}
	}
	text = bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))
	r.data = text
	r.readExpressions()
	// The library's decoder finds errors that readExpressions does not, such as tables that are
	// defined twice.
	if len(r.syntaxErrors) == 0 {
		var decoded map[string]any
		var decodeErr *toml.DecodeError
		if err := toml.Unmarshal(text, &decoded); errors.As(err, &decodeErr) {
			line, _ := decodeErr.Position()
			r.addError(line, strings.Join(decodeErr.Key(), "."), strings.TrimPrefix(decodeErr.Error(), "toml: "))
		} else if err != nil {
			r.addError(0, "", err.Error())
		}
	}
	return r.root, r.syntaxErrors
}

// reader builds the tree of a file from the expressions of the TOML parser.
type reader struct {
	parser       unstable.Parser
	data         []byte
	lineBreaks   []int // offsets of the line breaks
	root         *Table
	current      *Table // table that receives the next keys; nil: they are skipped
	syntaxErrors []SyntaxError
	stopped      bool // a table has too many keys, reading has ended
}

// addError records a syntax error.
func (r *reader) addError(line int, key, text string) {
	r.syntaxErrors = append(r.syntaxErrors, SyntaxError{Line: line, Key: key, Text: text})
}

// nodeLine returns the line of a node.
func (r *reader) nodeLine(n *unstable.Node) int {
	return r.lineAt(int(n.Raw.Offset))
}

// lineAt returns the line of a byte offset. It searches an index of line breaks: a file may have
// almost as many keys as bytes, and counting the breaks before each of them would take quadratic
// time.
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

// readExpressions reads all expressions of the file into the tree.
func (r *reader) readExpressions() {
	r.current = r.root
	r.parser.Reset(r.data)
	for !r.stopped && r.parser.NextExpression() {
		expression := r.parser.Expression()
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			r.startTable(expression)
		case unstable.KeyValue:
			if r.current != nil {
				r.addKeyValue(r.current, expression)
			}
		}
	}
	var parserErr *unstable.ParserError
	if err := r.parser.Error(); errors.As(err, &parserErr) {
		line := r.lineAt(len(r.data))
		if len(parserErr.Highlight) > 0 {
			line = r.lineAt(int(r.parser.Range(parserErr.Highlight).Offset))
		}
		r.addError(line, strings.Join(parserErr.Key, "."), parserErr.Message)
	} else if err != nil {
		r.addError(0, "", err.Error())
	}
}

// keyParts returns the parts of a dotted key and the line of the first one.
func (r *reader) keyParts(n *unstable.Node) (parts []string, line int) {
	for it := n.Key(); it.Next(); {
		if line == 0 {
			line = r.nodeLine(it.Node())
		}
		parts = append(parts, string(it.Node().Data))
	}
	return parts, line
}

// startTable begins a table or an element of an array of tables.
func (r *reader) startTable(n *unstable.Node) {
	parts, line := r.keyParts(n)
	name := strings.Join(parts, ".")
	r.current = nil
	parent := r.openTable(r.root, parts[:len(parts)-1], line, name)
	if parent == nil {
		return
	}
	last := parts[len(parts)-1]
	existing, exists := parent.Values[last]
	if n.Kind == unstable.ArrayTable {
		list, isList := existing.V.([]Value)
		if exists && !isList {
			r.addError(line, name, fmt.Sprintf("it stands already in line %d, and is no list", existing.Line))
			return
		}
		r.current = newTable(line)
		list = append(list, Value{Line: line, V: r.current})
		if !exists {
			if r.tableFull(parent, line, name) {
				return
			}
			existing.Line = line
			parent.KeyOrder = append(parent.KeyOrder, last)
		}
		parent.Values[last] = Value{Line: existing.Line, V: list}
		return
	}
	if exists {
		// A table that so far was only implied by a longer name may be defined now. The
		// library's decoder finds invalid redefinitions.
		if t, ok := existing.V.(*Table); ok {
			r.current = t
		} else {
			r.addError(line, name, fmt.Sprintf("it stands already in line %d, and is no table", existing.Line))
		}
		return
	}
	if r.tableFull(parent, line, name) {
		return
	}
	r.current = newTable(line)
	parent.Values[last] = Value{Line: line, V: r.current}
	parent.KeyOrder = append(parent.KeyOrder, last)
}

// openTable follows the parts of a key to a table and creates missing tables.
func (r *reader) openTable(table *Table, parts []string, line int, name string) *Table {
	for _, part := range parts {
		v, exists := table.Values[part]
		if !exists {
			if r.tableFull(table, line, name) {
				return nil
			}
			v = Value{Line: line, V: newTable(line)}
			table.Values[part] = v
			table.KeyOrder = append(table.KeyOrder, part)
		}
		switch x := v.V.(type) {
		case *Table:
			table = x
		case []Value:
			var last *Table
			if len(x) > 0 {
				last, _ = x[len(x)-1].V.(*Table)
			}
			if last == nil {
				r.addError(line, name, fmt.Sprintf("%q in line %d is no table", part, v.Line))
				return nil
			}
			table = last
		default:
			r.addError(line, name, fmt.Sprintf("%q in line %d is no table", part, v.Line))
			return nil
		}
	}
	return table
}

// tableFull reports whether a table has reached the maximum number of keys. If so, it
// records an error and ends reading.
func (r *reader) tableFull(table *Table, line int, name string) bool {
	if len(table.KeyOrder) < maxTableKeys {
		return false
	}
	r.addError(line, name, fmt.Sprintf("more than %d keys in one table", maxTableKeys))
	r.stopped = true
	return true
}

// addKeyValue adds a key and its value to a table.
func (r *reader) addKeyValue(table *Table, n *unstable.Node) {
	parts, line := r.keyParts(n)
	name := strings.Join(parts, ".")
	if table = r.openTable(table, parts[:len(parts)-1], line, name); table == nil {
		return
	}
	last := parts[len(parts)-1]
	if existing, exists := table.Values[last]; exists {
		r.syntaxErrors = append(r.syntaxErrors, SyntaxError{line, name, fmt.Sprintf("the key stands already in line %d", existing.Line), true})
		return
	}
	if r.tableFull(table, line, name) {
		return
	}
	table.Values[last] = r.value(n.Value(), line)
	table.KeyOrder = append(table.KeyOrder, last)
}

// value converts a value of the parser. minLine is its line if the parser gives none.
func (r *reader) value(n *unstable.Node, minLine int) Value {
	v := Value{Line: minLine, Text: truncate(r.sourceText(n))}
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

// sourceText returns the text of a value in the file.
func (r *reader) sourceText(n *unstable.Node) string {
	if n.Raw.Length > 0 {
		return string(r.parser.Raw(n.Raw))
	}
	return string(n.Data)
}

// truncate shortens a text without splitting a UTF-8 sequence.
func truncate(s string) string {
	const maxLength = 60
	if len(s) <= maxLength {
		return s
	}
	cut := maxLength
	for cut > 0 && s[cut]&0xc0 == 0x80 {
		cut--
	}
	return s[:cut] + "..."
}
