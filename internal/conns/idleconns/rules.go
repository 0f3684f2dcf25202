package idleconns

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// DefaultTimeout is how long a connection may stay idle if no rule matches it.
const DefaultTimeout = 5 * time.Second

// Limits of a set of rules.
const (
	MinTimeout = time.Second
	MaxTimeout = 24 * time.Hour
	MaxRules   = 256 // rules in one set

	// A timeout of at least minSpreadTimeout gets a slack of 1/slackDivisor of its length,
	// so that connections that became idle together do not expire together.
	slackDivisor     = 16
	minSpreadTimeout = time.Minute
)

// Rule sets the idle timeout of the connections that it matches.
type Rule struct {
	Class   int          // class of the connection's last request; -1: any class or no request yet
	Network netip.Prefix // source network; the zero value matches every source
	Timeout time.Duration
}

// Rules is a compiled set of rules. The rule with the longest matching network prefix
// wins; among rules with the same prefix, one for the connection's class wins over one for
// any class. A nil *Rules has no rules.
type Rules struct {
	networks []netip.Prefix    // longest prefix first; networks[i] has source number i+1
	timeouts [][]time.Duration // by source number and class+1
	classes  int
}

// Compile checks and compiles a list of rules for a number of classes. No two rules may
// have the same class and network.
func Compile(all []Rule, classes int) (*Rules, error) {
	if len(all) > MaxRules {
		return nil, fmt.Errorf("%d idle connection rules, at most %d are allowed", len(all), MaxRules)
	}
	r := &Rules{classes: classes}
	canonical := slices.Clone(all)
	for i := range canonical {
		rule := &canonical[i]
		if rule.Class < -1 || rule.Class >= classes {
			return nil, fmt.Errorf("idle rule %d: class %d is out of range, %d classes are defined", i+1, rule.Class, classes)
		}
		if rule.Timeout < MinTimeout || rule.Timeout > MaxTimeout {
			return nil, fmt.Errorf("idle rule %d: timeout %v is out of range, allowed: %v to %v", i+1, rule.Timeout, MinTimeout, MaxTimeout)
		}
		if rule.Network.IsValid() {
			rule.Network = CanonicalNetwork(rule.Network)
			r.networks = append(r.networks, rule.Network)
		}
		for k := range i {
			if canonical[k].Class == rule.Class && canonical[k].Network == rule.Network {
				return nil, fmt.Errorf("idle rules %d and %d have the same class and network", k+1, i+1)
			}
		}
	}
	slices.SortFunc(r.networks, func(x, y netip.Prefix) int {
		return cmp.Or(cmp.Compare(y.Bits(), x.Bits()), x.Addr().Compare(y.Addr()))
	})
	r.networks = slices.Compact(r.networks)
	for source := range len(r.networks) + 1 {
		row := make([]time.Duration, classes+1)
		for class := range row {
			row[class] = r.resolveTimeout(canonical, source, class-1)
		}
		r.timeouts = append(r.timeouts, row)
	}
	return r, nil
}

// resolveTimeout returns the timeout for one source number and class.
func (r *Rules) resolveTimeout(all []Rule, source, class int) time.Duration {
	best, found := Rule{}, false
	for _, rule := range all {
		if rule.Class != -1 && rule.Class != class {
			continue
		}
		if rule.Network.IsValid() {
			if source == 0 {
				continue
			}
			network := r.networks[source-1]
			if rule.Network.Bits() > network.Bits() || !rule.Network.Contains(network.Addr()) {
				continue
			}
		}
		bits := func(x Rule) int {
			if !x.Network.IsValid() {
				return -1
			}
			return x.Network.Bits()
		}
		if !found || cmp.Or(cmp.Compare(bits(rule), bits(best)), cmp.Compare(rule.Class, best.Class)) > 0 {
			best, found = rule, true
		}
	}
	if !found {
		return DefaultTimeout
	}
	return best.Timeout
}

// CanonicalNetwork converts a network of IPv4-mapped IPv6 addresses to the IPv4 network
// and clears the host bits, so that equal networks compare as equal.
func CanonicalNetwork(network netip.Prefix) netip.Prefix {
	if network.Addr().Is4In6() && network.Bits() >= 96 {
		network = netip.PrefixFrom(network.Addr().Unmap(), network.Bits()-96)
	}
	return network.Masked()
}

// Source returns the number of the smallest network that contains an address, as
// Table.Add expects it, or 0 if there is none. Clients of a unix socket have no address
// and source 0.
func (r *Rules) Source(a netip.Addr) uint16 {
	if r == nil || !a.IsValid() {
		return 0
	}
	a = a.Unmap().WithZone("")
	for i, network := range r.networks {
		if network.Contains(a) {
			return uint16(i + 1)
		}
	}
	return 0
}

// Timeout returns how long a connection may stay idle, and the slack over which the
// expiry of many such connections is spread. class is -1 if the connection has sent no
// request with a class.
func (r *Rules) Timeout(source uint16, class int) (limit, slack time.Duration) {
	limit = DefaultTimeout
	if r != nil && class < r.classes && int(source) < len(r.timeouts) {
		limit = r.timeouts[source][class+1]
	}
	if limit >= minSpreadTimeout {
		slack = limit / slackDivisor
	}
	return limit, slack
}

// MaxTimeout returns the longest timeout of any rule.
func (r *Rules) MaxTimeout() time.Duration {
	longest := DefaultTimeout
	if r != nil {
		for _, row := range r.timeouts {
			longest = max(longest, slices.Max(row))
		}
	}
	return longest
}
