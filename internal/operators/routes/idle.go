package routes

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"curlewring/internal/conns/idleconns"
)

// Idle is an [[idle]] table of the file, which sets how long connections may wait for their
// next request.
type Idle struct {
	Line    int
	Class   Value[string] // class of the last request; unset: any
	Network Value[string] // source network, as an address or prefix; unset: any
	For     Value[string] // a duration
	rule    idleconns.Rule
	invalid bool // part of it was not understood
}

// readIdleKey reads a key of an [[idle]] table.
func (d *decoder) readIdleKey(key string, line int, value *unstable.Node) {
	idle := d.idle
	if !d.recordKey(key, line) {
		idle.invalid = true
		return
	}
	switch key {
	case "class":
		idle.Class = d.readString(key, line, value)
		idle.invalid = idle.invalid || idle.Class.Invalid
	case "network":
		idle.Network = d.readString(key, line, value)
		idle.invalid = idle.invalid || idle.Network.Invalid
	case "for":
		timeout := d.readDuration(key, line, value)
		idle.For = Value[string]{V: d.valueText(value), Line: line, Invalid: timeout.Invalid}
		idle.rule.Timeout = timeout.V
		idle.invalid = idle.invalid || timeout.Invalid
	default:
		idle.invalid = true
		d.report(UnknownKey, line, key, "", "class, network, for", "an idle rule has no such key")
	}
}

// parseNetwork parses a network given as a prefix or a single address.
func parseNetwork(text string) (netip.Prefix, error) {
	if strings.Contains(text, "/") {
		return netip.ParsePrefix(text)
	}
	addr, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Prefix{}, err
	}
	addr = addr.WithZone("")
	return netip.PrefixFrom(addr, addr.BitLen()), nil
}

// checkIdleRules checks the [[idle]] tables and compiles them.
func (c *checker) checkIdleRules(all []Idle) *idleconns.Rules {
	if len(all) == 0 {
		return nil
	}
	if len(all) > idleconns.MaxRules {
		c.report(TooManyIdleRules, all[idleconns.MaxRules].Line, "[[idle]]", strconv.Itoa(len(all)), "at most "+strconv.Itoa(idleconns.MaxRules),
			"too many idle rules")
		return nil
	}
	type ruleKey struct {
		class   int
		network netip.Prefix
	}
	seen := map[ruleKey]int{}
	var rules []idleconns.Rule
	for k := range all {
		idle := &all[k]
		rule, ok := idle.rule, !idle.invalid
		rule.Class = -1
		if idle.Class.IsSet() {
			if rule.Class = slices.Index(c.env.Classes, idle.Class.V); rule.Class < 0 {
				c.report(UnknownClass, idle.Class.Line, "class", strconv.Quote(idle.Class.V), strings.Join(c.env.Classes, ", "),
					"the settings name no such class")
				ok = false
			}
		}
		if idle.Network.IsSet() {
			network, err := parseNetwork(idle.Network.V)
			if err != nil {
				c.report(InvalidNetwork, idle.Network.Line, "network", strconv.Quote(idle.Network.V), `an address or a prefix, as "10.20.0.0/16" or "2001:db8::/32"`,
					"not a network")
				ok = false
			} else {
				rule.Network = idleconns.CanonicalNetwork(network)
			}
		}
		switch {
		case idle.For.Line == 0 && !idle.invalid:
			c.report(SetsNothing, idle.Line, "for", "", "", "an idle rule without for sets nothing")
			ok = false
		case idle.For.IsSet() && (rule.Timeout < idleconns.MinTimeout || rule.Timeout > idleconns.MaxTimeout):
			c.report(IdleOutOfRange, idle.For.Line, "for", idle.For.V, idleconns.MinTimeout.String()+" to "+idleconns.MaxTimeout.String(),
				"connections can't wait for so short or so long")
			ok = false
		}
		if !ok {
			continue
		}
		key := ruleKey{rule.Class, rule.Network}
		if first := seen[key]; first > 0 {
			c.report(DuplicateIdleRule, idle.Line, "[[idle]]", "", "", "the idle rule in line "+strconv.Itoa(first)+" is for the same connections")
			continue
		}
		seen[key] = idle.Line
		rules = append(rules, rule)
	}
	if len(c.findings) > 0 {
		return nil
	}
	compiled, err := idleconns.Compile(rules, len(c.env.Classes))
	if err != nil { // unreachable as long as the checks above cover those of Compile
		c.report(IdleOutOfRange, all[0].Line, "[[idle]]", "", "", err.Error())
		return nil
	}
	return compiled
}
