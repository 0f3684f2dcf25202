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
	minSockets  = 64 // file descriptors that a node needs at least
	minMemoryMB = 32
)

// Config is the complete configuration of a node.
type Config struct {
	Name          string
	Listen        string // host:port for clients; "": Sidecar.Socket is used
	Discovery     string // host:port of discovery
	Seed          uint64
	MemoryMB      int
	Sockets       int
	KnownServers  *endpoints.List // last known servers, used until discovery answers; nil: none
	Classes       []string
	Tenants       []string
	Settings      decide.Settings
	ShareBudgets  bool              // requests share a retry budget with other tiers
	State         State             // where state is kept over restarts
	Members       *members.Settings // membership of the fleet; nil: not a member
	Leases        *leases.Settings  // leases of the fleet; nil: not used
	Sidecar       *Sidecar          // set if the node serves one application on its host; nil: many clients
	Routes        *routes.Table     // the operators' timing rules; nil: none
	operatorRules *operatorFile     // source of Routes; nil: none
}

// Sidecar configures a node that runs beside one application.
type Sidecar struct {
	Application string   `json:"application"`
	Socket      string   `json:"socket"`  // unix socket to listen on instead of an address; "": none
	Command     []string `json:"command"` // starts the application; empty: it is started elsewhere
}

// maxSocketPath is the longest path of a unix socket (sys/un.h: sun_path has 108 bytes, with
// the terminating zero).
const maxSocketPath = 107

// check validates the sidecar settings. A sidecar must listen where only its own host can
// reach it.
func (s *Sidecar) check(listen string) error {
	if s.Socket == "" {
		at, err := netip.ParseAddrPort(listen)
		if err != nil || !at.Addr().Unmap().IsLoopback() {
			return fmt.Errorf("listen: %q is not a loopback address; a sidecar serves only its own host", listen)
		}
	} else if !filepath.IsAbs(s.Socket) || len(s.Socket) > maxSocketPath {
		return fmt.Errorf("sidecar: the socket %q is not an absolute path of at most %d bytes", s.Socket, maxSocketPath)
	} else if listen != "" {
		return errors.New("sidecar: both a socket and an address to listen on are set")
	}
	if len(s.Command) > 0 && s.Command[0] == "" {
		return errors.New("sidecar: the command is empty")
	}
	return nil
}

// ReadConfig reads and checks a configuration file.
func ReadConfig(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New("LB_CONFIG is not set to a file")
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
		return nil, fmt.Errorf("schema: %d is more than one step from %d, the version that this program writes", raw.Schema, settings.Schema)
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
		return nil, errors.New("settings: missing")
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
		ShareBudgets: raw.Budgets,
	}
	if c.ShareBudgets && set.MayHedge {
		return nil, errors.New("budgets: can't be combined with second_copies, as the spending of two copies can't be told apart")
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

// sameService reports whether two configurations differ only in what changes with each start
// (seed, known list) and in what Reload applies (discovery's address, operators' rules).
func (c *Config) sameService(other *Config) bool {
	a, b := *c, *other
	a.Discovery, a.Seed, a.KnownServers = b.Discovery, b.Seed, b.KnownServers
	a.Routes, a.operatorRules = b.Routes, b.operatorRules
	return reflect.DeepEqual(a, b)
}
