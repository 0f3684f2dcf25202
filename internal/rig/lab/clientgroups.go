package lab

import (
	"fmt"

	"curlewring/internal/rig/standin"
)

// clientGroupKey identifies the clients that a fault starts.
type clientGroupKey struct{ kind, node string }

// clientGroups are the clients that disturb nodes.
type clientGroups map[clientGroupKey]*standin.ClientGroup

// stopAll stops all clients.
func (g clientGroups) stopAll() {
	for key, group := range g {
		group.Stop()
		delete(g, key)
	}
}

// SetClientFault starts or stops the clients of a fault.
func (l *Lab) SetClientFault(f *standin.Fault, on bool) error {
	p, err := l.findNode(f.Node)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := clientGroupKey{f.Kind, p.name}
	running := l.clientGroups[key]
	if !on {
		if running != nil {
			running.Stop()
			delete(l.clientGroups, key)
		}
		return nil
	}
	if running != nil {
		return fmt.Errorf("fault %s: its clients of %s run already", f.Kind, p.name)
	}
	group, err := l.Fleet.StartClientGroup(f, p.name, p.address)
	if err != nil {
		return err
	}
	l.clientGroups[key] = group
	return nil
}
