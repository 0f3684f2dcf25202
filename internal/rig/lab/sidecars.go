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

// defaultRoute is the route of sidecars where Options.Routes is empty, so that each sidecar has a routes file
// to reload.
const defaultRoute = "[[route]]\nclass = %q\nattempts = 3\n"

// platformDescription returns the lab's fleet as the platform file that the operators' tool reads.
func (l *Lab) platformDescription() string {
	p := &l.Fleet.Plan
	var b strings.Builder
	quoteList := func(all []string) string { return `["` + strings.Join(all, `", "`) + `"]` }
	effects := map[judge.Idempotency]string{judge.Idempotent: "repeatable", judge.Keyed: "keyed", judge.AtMostOnce: "once"}
	groups := map[judge.Group]string{judge.GroupAll: "all", judge.GroupSite: "site", judge.GroupRack: "rack"}
	// The lab's ports are free ports of the ephemeral range, so that range is declared empty.
	fmt.Fprintf(&b, "schema = 1\nname = \"lab\"\nsites = %s\nephemeral_from = 65535\nephemeral_to = 65535\n", quoteList(p.Sites))
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
	fmt.Fprintf(&b, "[[service]]\nname = \"boxes\"\nclasses = %s\nnodes = %d\n", quoteList(classes), l.options.Nodes)
	return b.String()
}

// writeSidecarConfigs writes the descriptions of all sidecars, and generates their configurations from these
// as the operators' tool does.
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

// sidecarPath returns the path of a sidecar's generated file.
func (l *Lab) sidecarPath(name, file string) string {
	return filepath.Join(l.dir, "out", "current", l.specs[name].Site, name, file)
}

// RollOutRoutes generates the sidecars' configurations with other routes and reloads the sidecars one after
// another, each once the previous one has accepted its files.
func (l *Lab) RollOutRoutes(ctx context.Context, routes string) error {
	if !l.options.Sidecars {
		return errors.New("routes can only be rolled out to sidecars: Options.Sidecars is not set")
	}
	if err := l.writeSidecarConfigs(routes); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for _, p := range l.frontNodes {
		const acceptedLog, rejectedLog = "msg=reloaded", "the old one stays"
		accepted, rejected := strings.Count(p.log.String(), acceptedLog), strings.Count(p.log.String(), rejectedLog)
		if err := p.signal(syscall.SIGHUP, false); err != nil {
			return err
		}
		for strings.Count(p.log.String(), acceptedLog) == accepted {
			if strings.Count(p.log.String(), rejectedLog) > rejected {
				return fmt.Errorf("sidecar %s rejected its new files:\n%s", p.name, p.log.String())
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return fmt.Errorf("sidecar %s did not reload its files: %w", p.name, ctx.Err())
			}
		}
	}
	return nil
}
