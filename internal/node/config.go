package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"

	"curlewring/decide"
	"curlewring/internal/node/leases"
	"curlewring/internal/node/members"
	"curlewring/internal/operators/routes"
	"curlewring/internal/operators/settings"
	"curlewring/internal/servers/endpoints"
)

const (
	minSockets  = 64 // file descriptors below which a node can't work
	minMemoryMB = 32
)

// Config is what a node is told at its start.
type Config struct {
	Name          string
	Listen        string // address for clients; "": Sidecar.Socket
	Discovery     string // address of discovery
	Seed          uint64
	MemoryMB      int
	Sockets       int
	KnownServers  *endpoints.List // the servers as the node last had them; nil: none
	Classes       []string
	Tenants       []string
	Settings      decide.Settings
	SharedBudgets bool              // requests share a budget of further attempts with other tiers
	State         State             // what it keeps over restarts
	Members       *members.Settings // how it takes part in the membership of the nodes; nil: not at all
	Leases        *leases.Settings  // how it takes part in the fleet's leases; nil: not at all
	Sidecar       *Sidecar          // the one application that it serves; nil: it serves many clients
	Routes        *routes.Table     // the operators' timing rules; nil: none
	operatorRules *operatorFile     // what Routes came from
}

// Sidecar is what a node is told of the application that it stands beside.
type Sidecar struct {
	Application string   `json:"application"`
	Socket      string   `json:"socket"`  // unix socket for it, in the place of an address; "": none
	Command     []string `json:"command"` // what starts it; none: it is started by others
}

// mostSocket is what a unix socket's address holds (sys/un.h: sun_path, 108
// bytes with the end's zero).
const maxSocketPath = 107

// check finds what a sidecar cannot do: it must listen where only its own host reaches it.
func (s *Sidecar) check(listen string) error {
	if s.Socket == "" {
		at, err := netip.ParseAddrPort(listen)
		if err != nil || !at.Addr().Unmap().IsLoopback() {
			return fmt.Errorf("listen: %q is no loopback address, and a sidecar serves its own host alone", listen)
		}
	} else if !filepath.IsAbs(s.Socket) || len(s.Socket) > maxSocketPath {
		return fmt.Errorf("sidecar: the socket %q is no absolute path of at most %d bytes", s.Socket, maxSocketPath)
	} else if listen != "" {
		return errors.New("sidecar: both a socket and an address to listen on")
	}
	if len(s.Command) > 0 && s.Command[0] == "" {
		return errors.New("sidecar: the command is empty")
	}
	return nil
}

// ReadConfig reads and checks a configuration file.
func ReadConfig(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New("LB_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := parseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

func parseConfig(text []byte) (*Config, error) {
	var raw struct {
		Schema    int    `json:"schema"`
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Seed      string `json:"seed"`
		Limits    struct {
			MemoryMB int `json:"memory_mb"`
			Sockets  int `json:"sockets"`
		} `json:"limits"`
		Budgets  bool             `json:"budgets"`
		Sidecar  *Sidecar         `json:"sidecar"`
		Known    json.RawMessage  `json:"known"`
		Settings *settings.Object `json:"settings"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, err
	}
	if raw.Schema < 0 || raw.Schema > settings.Schema+1 {
		return nil, fmt.Errorf("schema: %d is more than one step from %d, which this program writes", raw.Schema, settings.Schema)
	}
	if raw.Sidecar != nil {
		if err := raw.Sidecar.check(raw.Listen); err != nil {
			return nil, err
		}
	} else if _, _, err := net.SplitHostPort(raw.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(raw.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if raw.Limits.Sockets < minSockets {
		return nil, fmt.Errorf("limits: %d sockets, at least %d are needed", raw.Limits.Sockets, minSockets)
	}
	if raw.Limits.MemoryMB < minMemoryMB {
		return nil, fmt.Errorf("limits: %d MB of memory, at least %d are needed", raw.Limits.MemoryMB, minMemoryMB)
	}
	if raw.Settings == nil {
		return nil, errors.New("no settings")
	}
	set, err := raw.Settings.Translate()
	if err == nil {
		err = raw.Settings.Check()
	}
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	seed := fnv.New64a()
	seed.Write([]byte(raw.Seed))
	c := &Config{
		Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, Seed: seed.Sum64(),
		MemoryMB: raw.Limits.MemoryMB, Sockets: raw.Limits.Sockets, Settings: set, Sidecar: raw.Sidecar,
		SharedBudgets: raw.Budgets,
	}
	if c.SharedBudgets && set.MayHedge {
		return nil, errors.New("budgets: they do not go with second_copies: what two copies spend below is not told apart")
	}
	for _, class := range raw.Settings.Categories {
		c.Classes = append(c.Classes, class.Name)
	}
	for _, tenant := range raw.Settings.Tenants {
		c.Tenants = append(c.Tenants, tenant.Name)
	}
	if len(raw.Known) > 0 && string(raw.Known) != "null" {
		if c.KnownServers, err = endpoints.Parse(raw.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

// sameService tells whether two configurations differ in no more than what each
// start brings (seed, known list), the address of discovery, and the operators'
// rules.
func (c *Config) sameService(other *Config) bool {
	a, b := *c, *other
	a.Discovery, a.Seed, a.KnownServers = b.Discovery, b.Seed, b.KnownServers
	a.Routes, a.operatorRules = b.Routes, b.operatorRules
	return reflect.DeepEqual(a, b)
}
