package node

import (
	"net/netip"
	"strings"

	"curlewring/internal/node/members"
	"curlewring/internal/operators/document"
)

const maxSeeds, maxVia, maxFleetName = 6000, 6000, 64

// members reads the table [members].
func (r *localSettingsReader) members(v document.Value, t *document.Table) *members.Settings {
	s := &members.Settings{}
	for _, key := range t.KeyOrder {
		v := t.Values[key]
		name := "members." + key
		switch key {
		case "fleet":
			fleet, ok := v.V.(string)
			if !ok || fleet == "" || len(fleet) > maxFleetName {
				r.fault(v, name, "want a text of 1 to %d bytes", maxFleetName)
			}
			s.Fleet = fleet
		case "listen":
			s.Listen = r.address(v, name, true)
		case "advertise":
			s.Advertise = r.address(v, name, false)
		case "seeds":
			s.Seeds = r.seeds(v, name)
		case "via":
			s.RouteVia = r.via(v, name)
		case "pool":
			pool, ok := v.V.(bool)
			if !ok {
				r.fault(v, name, "want true or false")
			}
			s.DisableBudgetPooling = !pool
		default:
			r.fault(v, name, "unknown key; known are fleet, listen, advertise, seeds, via and pool")
		}
	}
	for _, key := range []string{"fleet", "listen"} {
		if _, ok := t.Values[key]; !ok {
			r.missing(v, "members."+key)
		}
	}
	if s.Listen.IsValid() && s.Listen.Addr().IsUnspecified() && !s.Advertise.IsValid() {
		r.fault(t.Values["listen"], "members.listen", "an unspecified address needs advertise, the address that others send to")
	}
	return s
}

// address reads an IP address with a port. A listening address may omit the host; it is loopback
// then, as messages are not authenticated.
func (r *localSettingsReader) address(v document.Value, key string, listens bool) netip.AddrPort {
	text, ok := v.V.(string)
	if listens && strings.HasPrefix(text, ":") {
		text = "127.0.0.1" + text
	}
	at, err := netip.ParseAddrPort(text)
	switch {
	case !ok || err != nil:
		r.fault(v, key, "want an address and a port as text, such as \"127.0.0.1:7946\"")
	case at.Port() == 0 && !listens:
		r.fault(v, key, "want a port from 1 to 65535")
	case at.Addr().IsUnspecified() && !listens:
		r.fault(v, key, "it is unspecified, so nothing can be sent to it")
	}
	return at
}

func (r *localSettingsReader) seeds(v document.Value, key string) (seeds []netip.AddrPort) {
	all, ok := v.V.([]document.Value)
	if !ok || len(all) == 0 || len(all) > maxSeeds {
		r.fault(v, key, "want a list of 1 to %d addresses", maxSeeds)
		return nil
	}
	seen := map[netip.AddrPort]bool{}
	for _, one := range all {
		at := r.address(one, key, false)
		if seen[at] && at.IsValid() {
			r.fault(one, key, "duplicate address")
		}
		seen[at] = true
		seeds = append(seeds, at)
	}
	return seeds
}

func (r *localSettingsReader) via(v document.Value, key string) map[netip.AddrPort]netip.AddrPort {
	t, ok := v.V.(*document.Table)
	if !ok || len(t.KeyOrder) > maxVia {
		r.fault(v, key, "want a table of at most %d addresses", maxVia)
		return nil
	}
	via := map[netip.AddrPort]netip.AddrPort{}
	for _, from := range t.KeyOrder {
		one := t.Values[from]
		at, err := netip.ParseAddrPort(from)
		if err != nil || at.Port() == 0 {
			r.fault(one, key+"."+from, "the key is not an address and a port")
		}
		via[at] = r.address(one, key+"."+from, false)
	}
	return via
}
