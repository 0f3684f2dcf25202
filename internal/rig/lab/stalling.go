package lab

import (
	"fmt"

	"curlewring/internal/rig/standin"
)

// stallingClients are the clients that stop in the middle of a request, by the name of their node.
type stallingClients map[string]*standin.StallingClients

// stopAll stops all clients.
func (s stallingClients) stopAll() {
	for name, clients := range s {
		clients.Stop()
		delete(s, name)
	}
}

// Stall starts clients of a node that stop in the middle of a request.
func (l *Lab) Stall(name string, count int) error {
	p, err := l.findNode(name)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stalling[p.name] != nil {
		return fmt.Errorf("clients of %s stall already", p.name)
	}
	clients, err := standin.StartStalling(&l.Fleet.Plan, p.address, count)
	if err != nil {
		return err
	}
	l.stalling[p.name] = clients
	return nil
}

// Unstall ends what Stall began.
func (l *Lab) Unstall(name string) error {
	p, err := l.findNode(name)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if clients := l.stalling[p.name]; clients != nil {
		clients.Stop()
		delete(l.stalling, p.name)
	}
	return nil
}
