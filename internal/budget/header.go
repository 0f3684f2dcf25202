package budget

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// The headers.
const (
	HeaderName        = "Curlewring-Budget"       // of a request
	SpentHeaderName   = "Curlewring-Budget-Spent" // of an answer
	BaggageHeaderName = "Baggage"                 // W3C Baggage, section 3.2
	BaggageKey        = "curlewring-budget"
	version           = "1"
)

// Odd is why a header is not taken: the request is as if there were none.
type HeaderError string

func (o HeaderError) Error() string { return "odd budget header: " + string(o) }

func odd(format string, args ...any) error { return HeaderError(fmt.Sprintf(format, args...)) }

// Encode writes a budget as the header's value.
func (b *Budget) Encode() string {
	s := make([]byte, 0, 96)
	s = append(s, version+";t="...)
	s = strconv.AppendInt(s, int64(max(0, b.TimeLeft)/time.Millisecond), 10)
	s = append(s, ";a="...)
	s = strconv.AppendInt(s, int64(b.ExtraAttempts), 10)
	s = append(s, ";w="...)
	s = strconv.AppendFloat(s, b.Worth, 'f', -1, 64)
	s = append(s, ";c="...)
	s = append(s, b.Class...)
	if b.AttemptID != "" {
		s = append(s, ";i="...)
		s = append(s, b.AttemptID...)
	}
	if len(b.Path) > 0 {
		s = append(s, ";p="...)
		s = append(s, strings.Join(b.Path, ",")...)
	}
	return string(s)
}

// Parse reads a header's value. Fields come in their order, each once; a later
// version is read as far as it is known.
func Parse(value string) (*Budget, error) {
	if len(value) > MaxHeaderBytes {
		return nil, odd("%d bytes, at most %d", len(value), MaxHeaderBytes)
	}
	if strings.HasSuffix(value, ";") {
		return nil, odd("it ends with a semicolon")
	}
	head, rest, _ := strings.Cut(value, ";")
	if v, err := number(head, 9); err != nil || v < 1 {
		return nil, odd("the version %.20q", head)
	}
	b := &Budget{}
	const order = "tawcip"
	at := -1
	seen := 0
	for rest != "" {
		var field string
		field, rest, _ = strings.Cut(rest, ";")
		key, value, found := strings.Cut(field, "=")
		i := -1
		if len(key) == 1 {
			i = strings.Index(order, key)
		}
		if !found || i < 0 && head == version {
			return nil, odd("the field %.20q", field)
		}
		if i < 0 {
			continue // of a later version
		}
		if i <= at {
			return nil, odd("the field %.20q stands twice, or out of its order", key)
		}
		at = i
		seen |= 1 << i
		var err error
		switch key {
		case "t":
			var ms int64
			ms, err = number(value, 9)
			if b.TimeLeft = time.Duration(ms) * time.Millisecond; err == nil && b.TimeLeft > MaxTimeLeft {
				err = odd("a time of %v", b.TimeLeft)
			}
		case "a":
			var n int64
			n, err = number(value, 2)
			if b.ExtraAttempts = int(n); err == nil && n > MaxExtraAttempts {
				err = odd("%d attempts", n)
			}
		case "w":
			b.Worth, err = worth(value)
		case "c":
			b.Class, err = value, name(value)
		case "i":
			b.AttemptID, err = value, name(value)
		case "p":
			b.Path = strings.Split(value, ",")
			if len(b.Path) > MaxHops {
				return nil, odd("%d nodes on the path", len(b.Path))
			}
			for _, n := range b.Path {
				if err = name(n); err != nil {
					break
				}
			}
		}
		if err != nil {
			return nil, err
		}
	}
	const must = 1<<4 - 1 // all but the id and the path
	if seen&must != must {
		return nil, odd("a field is missing")
	}
	return b, nil
}

// number reads digits alone, without a sign.
func number(s string, most int) (int64, error) {
	if s == "" || len(s) > most {
		return 0, odd("the number %.20q", s)
	}
	n := int64(0)
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return 0, odd("the number %.20q", s)
		}
		n = n*10 + int64(c-'0')
	}
	return n, nil
}

// worth reads digits with up to one point among them.
func worth(s string) (float64, error) {
	whole, part, point := strings.Cut(s, ".")
	if _, err := number(whole, 7); err != nil {
		return 0, err
	}
	if point {
		if _, err := number(part, 17); err != nil {
			return 0, err
		}
	}
	w, err := strconv.ParseFloat(s, 64)
	if err != nil || w > MaxWorth {
		return 0, odd("the worth %.20q", s)
	}
	return w, nil
}

// name checks a class's or a node's name: what a header's token may hold (RFC
// 9110, section 5.6.2) less what stands between fields here.
func name(s string) error {
	if s == "" || len(s) > MaxNameBytes {
		return odd("the name %.40q", s)
	}
	for _, c := range []byte(s) {
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.' || c == '@'
		if !ok {
			return odd("the name %.40q", s)
		}
	}
	return nil
}

// Read finds the budget of a request: its own header, and the member of a W3C
// baggage, the smaller of both. A header that stands there twice is none: which
// one counts would be for each to guess.
func FromHeaders(own, baggage []string) (*Budget, error) {
	var b *Budget
	if len(own) > 1 {
		return nil, odd("the header stands there %d times", len(own))
	}
	if len(own) == 1 {
		var err error
		if b, err = Parse(own[0]); err != nil {
			return nil, err
		}
	}
	members := 0
	for _, line := range baggage {
		if len(line) > 8192 { // W3C Baggage, section 3.3.2
			return b, odd("a baggage of %d bytes", len(line))
		}
		for member := range strings.SplitSeq(line, ",") {
			key, value, _ := strings.Cut(member, "=")
			if strings.TrimSpace(key) != BaggageKey {
				continue
			}
			if members++; members > 1 {
				return b, odd("the baggage holds it twice")
			}
			value, _, _ = strings.Cut(value, ";") // properties
			text, err := url.PathUnescape(strings.TrimSpace(value))
			if err != nil {
				return b, odd("the baggage: %v", err)
			}
			carried, err := Parse(text)
			if err != nil {
				return b, err
			}
			b = Merge(b, carried)
		}
	}
	return b, nil
}

// InBaggage puts a budget into a baggage that the request already has, in the
// place of the one there.
func (b *Budget) AddToBaggage(line string) string {
	var members []string
	for member := range strings.SplitSeq(line, ",") {
		key, _, _ := strings.Cut(member, "=")
		if strings.TrimSpace(key) != BaggageKey && strings.TrimSpace(member) != "" {
			members = append(members, strings.TrimSpace(member))
		}
	}
	escaped := strings.NewReplacer("%", "%25", ";", "%3B", ",", "%2C", "=", "%3D", "@", "%40").Replace(b.Encode())
	return strings.Join(append(members, BaggageKey+"="+escaped), ",")
}

// EncodeSpent writes what an answer says: how much was spent here and below, and
// a word if it is an error.
func EncodeSpent(spent int, w RetryAdvice) string {
	s := version + ";s=" + strconv.Itoa(spent)
	if w != "" {
		s += ";r=" + string(w)
	}
	return s
}

// ParseSpent reads it.
func ParseSpent(values []string) (spent int, w RetryAdvice, err error) {
	if len(values) == 0 {
		return UnknownSpent, "", nil
	}
	if len(values) > 1 || len(values[0]) > MaxHeaderBytes {
		return UnknownSpent, "", odd("the header stands there twice, or is too long")
	}
	parts := strings.Split(values[0], ";")
	if len(parts) < 2 || len(parts) > 3 || parts[0] != version {
		return UnknownSpent, "", odd("%.40q", values[0])
	}
	text, found := strings.CutPrefix(parts[1], "s=")
	n, err := number(text, 2)
	if !found || err != nil || n > MaxExtraAttempts {
		return UnknownSpent, "", odd("%.40q", values[0])
	}
	if len(parts) == 3 {
		text, found := strings.CutPrefix(parts[2], "r=")
		switch w = RetryAdvice(text); {
		case !found:
			return UnknownSpent, "", odd("%.40q", values[0])
		case w != Overloaded && w != OutOfBudget && w != MayHaveRun && w != HasNotRun && w != Loop:
			return UnknownSpent, "", odd("the word %.20q", text)
		}
	}
	return int(n), w, nil
}

// NodeName makes a name for a path of a node's own: the name itself, or, where a
// header can't hold that, a sum of it (FNV-1a, 64 bits).
func NodeName(s string) string {
	if name(s) == nil {
		return s
	}
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return "x" + strconv.FormatUint(h, 16)
}
