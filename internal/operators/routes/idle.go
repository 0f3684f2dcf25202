package routes

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"curlewring/internal/conns/idleconns"
)

// Idle is one [[idle]] as it stands in the file: how long connections may wait for
// their next request.
type Idle struct {
	Line    int
	Class   Value[string] // of the last request; none: any
	Network Value[string] // where they come from, as an address or prefix; none: anywhere
	For     Value[string] // a duration
	rule  idleconns.Rule
	invalid     bool // something in it was not understood
}

// idleKey takes one key of an [[idle]].
func (d *decoder) readIdleKey(key string, line int, value *unstable.Node) {
	i := d.idle
	if !d.recordKey(key, line) {
		i.invalid = true
		return
	}
	switch key {
	case "class":
		i.Class = d.readString(key, line, value)
		i.invalid = i.invalid || i.Class.Invalid
	case "network":
		i.Network = d.readString(key, line, value)
		i.invalid = i.invalid || i.Network.Invalid
	case "for":
		length := d.readDuration(key, line, value)
		i.For = Value[string]{V: d.valueText(value), Line: line, Invalid: length.Invalid}
		i.rule.Timeout = length.V
		i.invalid = i.invalid || length.Invalid
	default:
		i.invalid = true
		d.report(UnknownKey, line, key, "", "class, network, for", "an idle rule has no such key")
	}
}

// prefix reads a network: a prefix, or one address.
func parseNetwork(text string) (netip.Prefix, error) {
	if strings.Contains(text, "/") {
		return netip.ParsePrefix(text)
	}
	a, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Prefix{}, err
	}
	a = a.WithZone("")
	return netip.PrefixFrom(a, a.BitLen()), nil
}

// idles checks the [[idle]] tables and compiles them.
func (c *checker) checkIdleRules(all []Idle) *idleconns.Rules {
	if len(all) == 0 {
		return nil
	}
	if len(all) > idleconns.MaxRules {
		c.report(TooManyIdleRules, all[idleconns.MaxRules].Line, "[[idle]]", strconv.Itoa(len(all)), "at most "+strconv.Itoa(idleconns.MaxRules),
			"too many idle rules")
		return nil
	}
	type where struct {
		class   int
		network netip.Prefix
	}
	seen := map[where]int{}
	var rules []idleconns.Rule
	for k := range all {
		i := &all[k]
		rule, ok := i.rule, !i.invalid
		rule.Class = -1
		if i.Class.IsSet() {
			if rule.Class = slices.Index(c.env.Classes, i.Class.V); rule.Class < 0 {
				c.report(UnknownClass, i.Class.Line, "class", strconv.Quote(i.Class.V), strings.Join(c.env.Classes, ", "),
					"the settings name no such class")
				ok = false
			}
		}
		if i.Network.IsSet() {
			network, err := parseNetwork(i.Network.V)
			if err != nil {
				c.report(InvalidNetwork, i.Network.Line, "network", strconv.Quote(i.Network.V), `an address or a prefix, as "10.20.0.0/16" or "2001:db8::/32"`,
					"not a network")
				ok = false
			} else {
				rule.Network = idleconns.CanonicalNetwork(network)
			}
		}
		switch {
		case i.For.Line == 0 && !i.invalid:
			c.report(SetsNothing, i.Line, "for", "", "", "an idle rule without for sets nothing")
			ok = false
		case i.For.IsSet() && (rule.Timeout < idleconns.MinTimeout || rule.Timeout > idleconns.MaxTimeout):
			c.report(IdleOutOfRange, i.For.Line, "for", i.For.V, idleconns.MinTimeout.String()+" to "+idleconns.MaxTimeout.String(),
				"connections can't wait for so short or so long")
			ok = false
		}
		if !ok {
			continue
		}
		place := where{rule.Class, rule.Network}
		if before := seen[place]; before > 0 {
			c.report(DuplicateIdleRule, i.Line, "[[idle]]", "", "", "the idle rule in line "+strconv.Itoa(before)+" is for the same connections")
			continue
		}
		seen[place] = i.Line
		rules = append(rules, rule)
	}
	if len(c.findings) > 0 {
		return nil
	}
	compiled, err := idleconns.Compile(rules, len(c.env.Classes))
	if err != nil { // the checks above have found all that Compile does
		c.report(IdleOutOfRange, all[0].Line, "[[idle]]", "", "", err.Error())
		return nil
	}
	return compiled
}
