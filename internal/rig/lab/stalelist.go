package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"curlewring/decide"
	"curlewring/internal/node/persist"
	"curlewring/internal/rig/standin"
	"curlewring/internal/servers/endpoints"
	"curlewring/internal/servers/serverdb"
)

// StaleListMode selects how a node uses a stale server list.
type StaleListMode int

// Modes of nodes with a stale list.
const (
	VerifyList  StaleListMode = iota // the node loads its stored list and verifies entries according to their age
	TrustList                        // control: the node takes the stale list as current
	DiscardList                      // control: the node has no list
)

// StaleList is a server list that nodes have stored when they start while discovery is down.
type StaleList struct {
	Mode StaleListMode
	Age  time.Duration // age of the list
	// StaleEntries counts entries of removed servers: half refuse connections, a quarter hang, a quarter are
	// answered by another service.
	StaleEntries int
	Extra        *endpoints.List // further entries; nil for none
	Outage       time.Duration   // how long discovery stays down
	ColdServers  bool            // the servers have just started
}

// staleEndpoints are listeners at the addresses of removed servers.
type staleEndpoints struct {
	addresses []string
	closers   []func()
}

func (s *staleEndpoints) close() {
	for _, closeListener := range s.closers {
		closeListener()
	}
}

// open opens listeners until there are n addresses.
func (s *staleEndpoints) open(f *standin.Fleet, n int) error {
	for i := len(s.addresses); i < n; i++ {
		host, err := f.NewHost()
		if err != nil {
			return err
		}
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return err
		}
		s.addresses = append(s.addresses, listener.Addr().String())
		switch i % 4 {
		case 0, 1: // connection refused
			listener.Close()
		case 2: // the kernel accepts connections, but nobody reads
			s.closers = append(s.closers, func() { listener.Close() })
		default: // another service answers
			server := &http.Server{Handler: http.NotFoundHandler()}
			ended := make(chan struct{})
			go func() { // ends with close
				defer close(ended)
				server.Serve(listener)
			}()
			s.closers = append(s.closers, func() {
				server.Close()
				<-ended
			})
		}
	}
	return nil
}

func (l *Lab) settingsPath(node string) string { return filepath.Join(l.dir, node+".own.toml") }

// writeStaleList writes the state that a node has kept from its previous run, and returns the list for its
// configuration.
func (l *Lab) writeStaleList(s standin.NodeSpec) (json.RawMessage, error) {
	old := l.options.StaleList
	if err := l.staleEndpoints.open(l.Fleet, old.StaleEntries); err != nil {
		return nil, err
	}
	listTime := time.Now().Add(-old.Age)
	var servers []serverdb.Server
	for _, server := range l.Fleet.Servers {
		servers = append(servers, serverdb.Server{ID: server.ID, Address: server.Address, Zone: server.Site, Cell: server.Rack, Weight: 1, StateSince: listTime})
	}
	for i, address := range l.staleEndpoints.addresses {
		site := i % len(l.options.Plan.Sites)
		servers = append(servers, serverdb.Server{
			ID: fmt.Sprintf("old-%04d", i), Address: address, Zone: l.options.Plan.Sites[site], Cell: 900_000 + i/4, Weight: 1, StateSince: listTime,
		})
	}
	if old.Extra != nil {
		for _, e := range old.Extra.Entries {
			if e.Health == decide.Healthy {
				servers = append(servers, serverdb.Server{
					ID: e.ID, Address: e.Address, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight, Started: e.Started, StateSince: listTime,
				})
			}
		}
	}
	switch old.Mode {
	case DiscardList:
		return nil, nil
	case TrustList:
		instances := make([]map[string]any, len(servers))
		for i, server := range servers {
			instances[i] = map[string]any{
				"instanceId": server.ID, "hostPort": server.Address, "zone": server.Zone, "cell": server.Cell, "lifecycle": "SERVING", "weight": 1,
				"startedAtMs": server.Started.Milliseconds(),
			}
		}
		return json.Marshal(map[string]any{"generation": foreignGeneration, "reset": true, "instances": instances})
	}
	folder := filepath.Join(l.dir, s.Name+".state")
	rate := max(l.options.Traffic.Rate/float64(max(1, len(servers))), 1/l.options.Plan.MeanWork().Seconds()) / float64(max(1, l.options.Nodes))
	list := serverdb.List{Generation: foreignGeneration, Discovery: l.discoveryAddresses[s.Name], Confirmed: listTime, ServerRate: rate, ServingCount: len(servers)}
	if err := persist.WriteFolder(folder, servers, list); err != nil {
		return nil, err
	}
	settings := fmt.Sprintf("[state]\nfolder = %q\n", folder)
	return nil, os.WriteFile(l.settingsPath(s.Name), []byte(settings), 0o600)
}

// Validate checks the settings.
func (old *StaleList) Validate() error {
	if old.StaleEntries < 0 || old.StaleEntries > maxStaleEntries {
		return fmt.Errorf("%d stale entries, allowed: 0 to %d", old.StaleEntries, maxStaleEntries)
	}
	if old.Age < 0 || old.Age > maxListAge {
		return fmt.Errorf("age of the list %v, allowed: 0 to %v", old.Age, maxListAge)
	}
	return nil
}

const (
	// foreignGeneration is higher than any generation of the stand-in discovery, which therefore answers with
	// its whole list.
	foreignGeneration = 1 << 30
	maxStaleEntries   = 400
	maxListAge        = 10 * 365 * 24 * time.Hour
)
