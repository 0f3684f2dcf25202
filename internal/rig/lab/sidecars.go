package lab

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"curlewring/internal/operators/appdir"
	"curlewring/internal/rig/standin/judge"
)

// usualRoute is in the descriptions of sidecars where no other routes are given,
// so that each has a file of timing rules to read again.
const defaultRoute = "[[route]]\nclass = %q\nattempts = 3\n"

// platform describes the lab's fleet as the operators' tool reads it.
func (l *Lab) platformDescription() string {
	p := &l.Fleet.Plan
	var b strings.Builder
	words := func(all []string) string { return `["` + strings.Join(all, `", "`) + `"]` }
	effects := map[judge.Idempotency]string{judge.Idempotent: "repeatable", judge.Keyed: "keyed", judge.AtMostOnce: "once"}
	groups := map[judge.Group]string{judge.GroupAll: "all", judge.GroupSite: "site", judge.GroupRack: "rack"}
	// The lab's ports are those that were free, which ephemeral ones are.
	fmt.Fprintf(&b, "schema = 1\nname = \"lab\"\nsites = %s\nephemeral_from = 65535\nephemeral_to = 65535\n", words(p.Sites))
	fmt.Fprintf(&b, "[sidecar]\nmemory_mb = %d\ndescriptors = %d\n", max(32, l.options.MemoryMB), max(64, l.options.Sockets))
	fmt.Fprintf(&b, "[limits]\nretry_after = %q\nsecond_copies = %v\nbudgets = %v\n", l.options.MaxRetryAfter, l.options.AllowHedging,
		l.options.ShareBudgets)
	fmt.Fprintf(&b, "[cold]\nfrom = %v\nfor = %q\nfall_multiple = %v\nfall_for = %q\n", p.ColdCapacity, p.WarmupTime, p.CollapseMultiple, p.CollapseWindow)
	var classes []string
	for _, c := range p.Classes {
		classes = append(classes, c.Name)
		fmt.Fprintf(&b, "[[class]]\nname = %q\naim = %q\ndeadline = %q\nworth = %v\neffect = %q\n", c.Name, c.LatencyTarget, c.Deadline, c.Worth, effects[c.Idempotency])
		if c.Idempotency == judge.Keyed {
			fmt.Fprintf(&b, "group = %q\nwindow = %q\n", groups[c.Group], c.KeyTTL)
		}
	}
	for _, s := range p.Sites {
		fmt.Fprintf(&b, "[[host]]\nname = %q\nsite = %q\n", s, s)
	}
	fmt.Fprintf(&b, "[[service]]\nname = \"boxes\"\nclasses = %s\nnodes = %d\n", words(classes), l.options.Nodes)
	return b.String()
}

// describe writes the descriptions of all sidecars, and their configurations from
// these as the operators' tool does.
func (l *Lab) writeSidecarConfigs(routes string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	dir := filepath.Join(l.dir, "apps")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if err := replaceFile(filepath.Join(dir, appdir.PlatformName), []byte(l.platformDescription())); err != nil {
		return err
	}
	var classes []string
	for _, c := range l.Fleet.Plan.Classes {
		classes = append(classes, c.Name)
	}
	if routes == "" {
		routes = fmt.Sprintf(defaultRoute, classes[0])
	}
	for _, p := range l.frontNodes {
		at, err := netip.ParseAddrPort(p.address)
		if err != nil {
			return fmt.Errorf("sidecar %s: %w", p.name, err)
		}
		text := fmt.Sprintf("schema = 1\nname = %q\nsites = [%q]\nservice = \"boxes\"\nclasses = [\"%s\"]\naddress = %q\nport = %d\ndiscovery = %q\n%s",
			p.name, l.specs[p.name].Site, strings.Join(classes, `", "`), at.Addr(), at.Port(), l.discoveryAddresses[p.name], routes)
		if err := replaceFile(filepath.Join(dir, p.name+".toml"), []byte(text)); err != nil {
			return err
		}
	}
	loaded := appdir.LoadDescriptions("", []string{dir})
	if loaded.Findings.Worst() == 2 {
		return fmt.Errorf("the sidecars' descriptions: %v", loaded.Findings)
	}
	if _, _, err := appdir.Write(filepath.Join(l.dir, "out"), loaded.Set.Generate(loaded.Sources)); err != nil {
		return err
	}
	if l.options.editConfig == nil {
		return nil
	}
	for i, p := range l.frontNodes {
		path := l.sidecarPath(p.name, "node.json")
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := replaceFile(path, l.options.editConfig(i, text)); err != nil {
			return err
		}
	}
	return nil
}

// sidecarPath is where a file of a sidecar stands.
func (l *Lab) sidecarPath(name, file string) string {
	return filepath.Join(l.dir, "out", "current", l.specs[name].Site, name, file)
}

// Roll writes the sidecars' configurations with other routes, and makes them read
// these one after another, each once the one before has taken them.
func (l *Lab) RollOutRoutes(ctx context.Context, routes string) error {
	if !l.options.Sidecars {
		return errors.New("only sidecars are rolled")
	}
	if err := l.writeSidecarConfigs(routes); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	look := time.NewTicker(2 * time.Millisecond)
	defer look.Stop()
	for _, p := range l.frontNodes {
		const good, bad = "msg=reloaded", "the old one stays"
		goods, bads := strings.Count(p.log.String(), good), strings.Count(p.log.String(), bad)
		if err := p.signal(syscall.SIGHUP, false); err != nil {
			return err
		}
		for strings.Count(p.log.String(), good) == goods {
			if strings.Count(p.log.String(), bad) > bads {
				return fmt.Errorf("sidecar %s turned its new files down:\n%s", p.name, p.log.String())
			}
			select {
			case <-look.C:
			case <-ctx.Done():
				return fmt.Errorf("sidecar %s did not read its files again: %w", p.name, ctx.Err())
			}
		}
	}
	return nil
}
