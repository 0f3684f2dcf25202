package idleconns

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// DefaultFor is how long a connection may idle where no rule says otherwise.
const DefaultTimeout = 5 * time.Second

const (
	MinTimeout = time.Second
	MaxTimeout = 24 * time.Hour
	MaxRules   = 256 // rules in one set

	// Ends of long waits are spread over a part of the wait beyond it.
	slackPart = 16
	slackFrom = time.Minute
)

// Rule lets connections idle for longer or less.
type Rule struct {
	Class   int          // of a connection's last request; -1: any, also none
	Network netip.Prefix // where it comes from; not valid: anywhere
	Timeout time.Duration
}

// Rules say how long a connection may idle: the rule of the smallest network that
// holds its source, and of these the one for its class before the one for any.
// A nil *Rules has none.
type Rules struct {
	networks []netip.Prefix // the smallest first; source i+1
	limits   [][]time.Duration
	classes  int
}

// Compile makes rules of a list. classes is how many there are. No two rules may be
// for the same class and network.
func Compile(all []Rule, classes int) (*Rules, error) {
	if len(all) > MaxRules {
		return nil, fmt.Errorf("%d rules of idle connections, at most %d are allowed", len(all), MaxRules)
	}
	r := &Rules{classes: classes}
	masked := slices.Clone(all)
	for i := range masked {
		m := &masked[i]
		if m.Class < -1 || m.Class >= classes {
			return nil, fmt.Errorf("rule %d is for class %d of %d", i+1, m.Class, classes)
		}
		if m.Timeout < MinTimeout || m.Timeout > MaxTimeout {
			return nil, fmt.Errorf("rule %d: idle for %v, allowed: %v to %v", i+1, m.Timeout, MinTimeout, MaxTimeout)
		}
		if m.Network.IsValid() {
			m.Network = CanonicalNetwork(m.Network)
			r.networks = append(r.networks, m.Network)
		}
		for k := range i {
			if masked[k].Class == m.Class && masked[k].Network == m.Network {
				return nil, fmt.Errorf("rules %d and %d are for the same connections", k+1, i+1)
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
			row[class] = r.choose(masked, source, class-1)
		}
		r.limits = append(r.limits, row)
	}
	return r, nil
}

// choose finds the rule for one source and class.
func (r *Rules) choose(all []Rule, source, class int) time.Duration {
	best, found := Rule{}, false
	for _, m := range all {
		if m.Class != -1 && m.Class != class {
			continue
		}
		if m.Network.IsValid() {
			if source == 0 {
				continue
			}
			n := r.networks[source-1]
			if m.Network.Bits() > n.Bits() || !m.Network.Contains(n.Addr()) {
				continue
			}
		}
		bits := func(x Rule) int {
			if !x.Network.IsValid() {
				return -1
			}
			return x.Network.Bits()
		}
		if !found || cmp.Or(cmp.Compare(bits(m), bits(best)), cmp.Compare(m.Class, best.Class)) > 0 {
			best, found = m, true
		}
	}
	if !found {
		return DefaultTimeout
	}
	return best.Timeout
}

// Unmap turns a network of IPv4 addresses in IPv6 form into the IPv4 network, and
// sets the host's bits to zero: one network has one form.
func CanonicalNetwork(p netip.Prefix) netip.Prefix {
	if p.Addr().Is4In6() && p.Bits() >= 96 {
		p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-96)
	}
	return p.Masked()
}

// Source is the network that an address belongs to, as Came wants it. A client of a
// unix socket has no address, and source 0.
func (r *Rules) Source(a netip.Addr) uint16 {
	if r == nil || !a.IsValid() {
		return 0
	}
	a = a.Unmap().WithZone("")
	for i, n := range r.networks {
		if n.Contains(a) {
			return uint16(i + 1)
		}
	}
	return 0
}

// Limit is how long a connection may idle, and the slack that spreads the ends of
// many. class is -1 for one that sent no request of a class.
func (r *Rules) Timeout(source uint16, class int) (limit, slack time.Duration) {
	limit = DefaultTimeout
	if r != nil && class < r.classes && int(source) < len(r.limits) {
		limit = r.limits[source][class+1]
	}
	if limit >= slackFrom {
		slack = limit / slackPart
	}
	return limit, slack
}

// Longest is the longest wait that any rule allows.
func (r *Rules) MaxTimeout() time.Duration {
	longest := DefaultTimeout
	if r != nil {
		for _, row := range r.limits {
			longest = max(longest, slices.Max(row))
		}
	}
	return longest
}
