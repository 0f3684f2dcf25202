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

// Arm is what a node makes of an old list.
type OldListMode int

// The arms.
const (
	VerifyList  OldListMode = iota // it remembers, and doubts by age
	TrustList                      // control: it has the list as if it were of now
	DiscardList                    // control: it has none
)

// Past is what nodes remember at their start, while discovery is out.
type OldList struct {
	Mode         OldListMode
	Age          time.Duration   // of the list
	StaleEntries int             // entries beside the boxes: half refuse, a quarter hang, at the others something else answers
	Extra        *endpoints.List // further entries; nil: none
	Outage       time.Duration   // how long discovery stays out
	ColdServers  bool            // the boxes have just started
}

// strangers stand where boxes are no more.
type staleEndpoints struct {
	addresses []string
	closers   []func()
}

func (s *staleEndpoints) close() {
	for _, end := range s.closers {
		end()
	}
}

// open makes so many addresses.
func (s *staleEndpoints) open(f *standin.Fleet, n int) error {
	for i := len(s.addresses); i < n; i++ {
		l, err := net.Listen("tcp", net.JoinHostPort(f.NewHost(), "0"))
		if err != nil {
			return err
		}
		s.addresses = append(s.addresses, l.Addr().String())
		switch i % 4 {
		case 0, 1: // nobody listens
			l.Close()
		case 2: // the kernel takes connections, and nobody reads
			s.closers = append(s.closers, func() { l.Close() })
		default: // another service answers
			server := &http.Server{Handler: http.NotFoundHandler()}
			ended := make(chan struct{})
			go func() { // ends with close
				defer close(ended)
				server.Serve(l)
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

// remember writes what a node has of its last life, and returns the list that its configuration brings.
func (l *Lab) writeOldList(s standin.NodeSpec) (json.RawMessage, error) {
	p := l.options.OldList
	if err := l.staleEndpoints.open(l.Fleet, p.StaleEntries); err != nil {
		return nil, err
	}
	then := time.Now().Add(-p.Age)
	var all []serverdb.Server
	for _, b := range l.Fleet.Servers {
		all = append(all, serverdb.Server{ID: b.ID, Address: b.Address, Zone: b.Site, Cell: b.Rack, Weight: 1, StateSince: then})
	}
	for i, address := range l.staleEndpoints.addresses {
		site := i % len(l.options.Plan.Sites)
		all = append(all, serverdb.Server{
			ID: fmt.Sprintf("old-%04d", i), Address: address, Zone: l.options.Plan.Sites[site], Cell: 900_000 + i/4, Weight: 1, StateSince: then,
		})
	}
	if p.Extra != nil {
		for _, e := range p.Extra.Entries {
			if e.Health == decide.Healthy {
				all = append(all, serverdb.Server{
					ID: e.ID, Address: e.Address, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight, Started: e.Started, StateSince: then,
				})
			}
		}
	}
	switch p.Mode {
	case DiscardList:
		return nil, nil
	case TrustList:
		instances := make([]map[string]any, len(all))
		for i, x := range all {
			instances[i] = map[string]any{
				"instanceId": x.ID, "hostPort": x.Address, "zone": x.Zone, "cell": x.Cell, "lifecycle": "SERVING", "weight": 1,
				"startedAtMs": x.Started.Milliseconds(),
			}
		}
		return json.Marshal(map[string]any{"generation": foreignGeneration, "reset": true, "instances": instances})
	}
	folder := filepath.Join(l.dir, s.Name+".state")
	rate := max(l.options.Traffic.Rate/float64(max(1, len(all))), 1/l.options.Plan.MeanWork().Seconds()) / float64(max(1, l.options.Nodes))
	list := serverdb.List{Generation: foreignGeneration, Discovery: l.discoveryAddresses[s.Name], Confirmed: then, ServerRate: rate, ServingCount: len(all)}
	if err := persist.WriteFolder(folder, all, list); err != nil {
		return nil, err
	}
	own := fmt.Sprintf("[state]\nfolder = %q\n", folder)
	return nil, os.WriteFile(l.settingsPath(s.Name), []byte(own), 0o600)
}

// Validate tells what of it makes no sense.
func (p *OldList) Validate() error {
	if p.StaleEntries < 0 || p.StaleEntries > maxStaleEntries {
		return fmt.Errorf("%d stale entries, allowed: 0 to %d", p.StaleEntries, maxStaleEntries)
	}
	if p.Age < 0 || p.Age > maxListAge {
		return fmt.Errorf("a list of %v, allowed: 0 to %v", p.Age, maxListAge)
	}
	return nil
}

const (
	// foreignGeneration is above all that the stand-in's discovery counts: it answers with its whole list.
	foreignGeneration = 1 << 30
	maxStaleEntries   = 400
	maxListAge        = 10 * 365 * 24 * time.Hour
)
