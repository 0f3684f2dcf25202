package budget

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Names of the headers.
const (
	HeaderName        = "Curlewring-Budget"       // of a request
	SpentHeaderName   = "Curlewring-Budget-Spent" // of a response
	BaggageHeaderName = "Baggage"                 // W3C Baggage, section 3.2
	BaggageKey        = "curlewring-budget"
	version           = "1"
)

// HeaderError says why a header is ignored: the request is treated as if it had none.
type HeaderError string

func (e HeaderError) Error() string { return "invalid budget header: " + string(e) }

func headerErrorf(format string, args ...any) error { return HeaderError(fmt.Sprintf(format, args...)) }

// Encode returns the budget as a header value.
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

// Parse reads a header value. Fields come in a fixed order, each at most once. Unknown fields of a later
// version are ignored.
func Parse(value string) (*Budget, error) {
	if len(value) > MaxHeaderBytes {
		return nil, headerErrorf("the value has %d bytes, at most %d are allowed", len(value), MaxHeaderBytes)
	}
	if strings.HasSuffix(value, ";") {
		return nil, headerErrorf("the value ends with a semicolon")
	}
	head, rest, _ := strings.Cut(value, ";")
	if v, err := parseNumber(head, 9); err != nil || v < 1 {
		return nil, headerErrorf("invalid version %.20q", head)
	}
	b := &Budget{}
	const order = "tawcip"
	last := -1
	seen := 0
	for rest != "" {
		var field string
		field, rest, _ = strings.Cut(rest, ";")
		key, value, found := strings.Cut(field, "=")
		index := -1
		if len(key) == 1 {
			index = strings.Index(order, key)
		}
		if !found || index < 0 && head == version {
			return nil, headerErrorf("unknown or incomplete field %.20q", field)
		}
		if index < 0 {
			continue // of a later version
		}
		if index <= last {
			return nil, headerErrorf("field %.20q is duplicate or out of order", key)
		}
		last = index
		seen |= 1 << index
		var err error
		switch key {
		case "t":
			var ms int64
			ms, err = parseNumber(value, 9)
			if b.TimeLeft = time.Duration(ms) * time.Millisecond; err == nil && b.TimeLeft > MaxTimeLeft {
				err = headerErrorf("time of %v is too long", b.TimeLeft)
			}
		case "a":
			var n int64
			n, err = parseNumber(value, 2)
			if b.ExtraAttempts = int(n); err == nil && n > MaxExtraAttempts {
				err = headerErrorf("%d extra attempts are too many", n)
			}
		case "w":
			b.Worth, err = parseWorth(value)
		case "c":
			b.Class, err = value, checkName(value)
		case "i":
			b.AttemptID, err = value, checkName(value)
		case "p":
			b.Path = strings.Split(value, ",")
			if len(b.Path) > MaxHops {
				return nil, headerErrorf("%d nodes on the path are too many", len(b.Path))
			}
			for _, n := range b.Path {
				if err = checkName(n); err != nil {
					break
				}
			}
		}
		if err != nil {
			return nil, err
		}
	}
	const required = 1<<4 - 1 // all but the attempt id and the path
	if seen&required != required {
		return nil, headerErrorf("a required field is missing")
	}
	return b, nil
}

// parseNumber reads decimal digits without a sign.
func parseNumber(s string, maxDigits int) (int64, error) {
	if s == "" || len(s) > maxDigits {
		return 0, headerErrorf("invalid number %.20q", s)
	}
	n := int64(0)
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return 0, headerErrorf("invalid number %.20q", s)
		}
		n = n*10 + int64(c-'0')
	}
	return n, nil
}

// parseWorth reads decimal digits with at most one point.
func parseWorth(s string) (float64, error) {
	whole, fraction, hasPoint := strings.Cut(s, ".")
	if _, err := parseNumber(whole, 7); err != nil {
		return 0, err
	}
	if hasPoint {
		if _, err := parseNumber(fraction, 17); err != nil {
			return 0, err
		}
	}
	w, err := strconv.ParseFloat(s, 64)
	if err != nil || w > MaxWorth {
		return 0, headerErrorf("invalid worth %.20q", s)
	}
	return w, nil
}

// checkName checks the name of a class or a node. It may contain the characters of an HTTP token (RFC 9110,
// section 5.6.2) except those used as separators here.
func checkName(s string) error {
	if s == "" || len(s) > MaxNameBytes {
		return headerErrorf("invalid name %.40q", s)
	}
	for _, c := range []byte(s) {
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.' || c == '@'
		if !ok {
			return headerErrorf("invalid name %.40q", s)
		}
	}
	return nil
}

// FromHeaders returns the budget of a request: the smaller of that in its own header and that in the W3C
// baggage. A header that occurs twice is ignored, since it is unclear which one counts.
func FromHeaders(own, baggage []string) (*Budget, error) {
	var b *Budget
	if len(own) > 1 {
		return nil, headerErrorf("the header occurs %d times", len(own))
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
			return b, headerErrorf("baggage of %d bytes is too long", len(line))
		}
		for member := range strings.SplitSeq(line, ",") {
			key, value, _ := strings.Cut(member, "=")
			if strings.TrimSpace(key) != BaggageKey {
				continue
			}
			if members++; members > 1 {
				return b, headerErrorf("the baggage contains more than one budget")
			}
			value, _, _ = strings.Cut(value, ";") // properties
			text, err := url.PathUnescape(strings.TrimSpace(value))
			if err != nil {
				return b, headerErrorf("baggage: %v", err)
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

// AddToBaggage adds a budget to a request's baggage and replaces one that is there.
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

// EncodeSpent returns the header value of a response: what was spent here and below, and the retry advice
// of an error.
func EncodeSpent(spent int, advice RetryAdvice) string {
	s := version + ";s=" + strconv.Itoa(spent)
	if advice != "" {
		s += ";r=" + string(advice)
	}
	return s
}

// ParseSpent reads the value that EncodeSpent writes.
func ParseSpent(values []string) (spent int, advice RetryAdvice, err error) {
	if len(values) == 0 {
		return UnknownSpent, "", nil
	}
	if len(values) > 1 || len(values[0]) > MaxHeaderBytes {
		return UnknownSpent, "", headerErrorf("the header occurs more than once or is too long")
	}
	parts := strings.Split(values[0], ";")
	if len(parts) < 2 || len(parts) > 3 || parts[0] != version {
		return UnknownSpent, "", headerErrorf("invalid value %.40q", values[0])
	}
	text, found := strings.CutPrefix(parts[1], "s=")
	n, err := parseNumber(text, 2)
	if !found || err != nil || n > MaxExtraAttempts {
		return UnknownSpent, "", headerErrorf("invalid value %.40q", values[0])
	}
	if len(parts) == 3 {
		text, found := strings.CutPrefix(parts[2], "r=")
		switch advice = RetryAdvice(text); {
		case !found:
			return UnknownSpent, "", headerErrorf("invalid value %.40q", values[0])
		case advice != Overloaded && advice != OutOfBudget && advice != MayHaveRun && advice != HasNotRun && advice != Loop:
			return UnknownSpent, "", headerErrorf("unknown retry advice %.20q", text)
		}
	}
	return int(n), advice, nil
}

// NodeName returns a node's name for a path: the name itself, or its hash (FNV-1a, 64 bits) if the name
// can't be used in a header.
func NodeName(s string) string {
	if checkName(s) == nil {
		return s
	}
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return "x" + strconv.FormatUint(h, 16)
}
