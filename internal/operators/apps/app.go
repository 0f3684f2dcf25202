package apps

import (
	"bytes"
	"fmt"
	"net/netip"
	"path"
	"slices"
	"strings"
	"time"

	"curlewring/internal/operators/document"
	"curlewring/internal/operators/routes"
)

// App is the description of an application's sidecar. A key that may be left out
// gets its default from the platform.
type App struct {
	File            string
	Name            Located[string]
	Application     Located[string] // that the sidecar serves; by default Name
	Sites           Located[[]string]
	Hosts           Located[[]string]
	Service         Located[string]
	Classes         Located[[]string]
	Port            Located[int]
	Address         Located[string] // of Port; by default 127.0.0.1
	Socket          Located[string]
	ListenAddresses Located[[]string] // of the application itself
	ServedService   Located[string]
	WorkTime        Located[time.Duration]
	BudgetShare     Located[float64]
	Discovery       Located[string]
	Command         Located[[]string]
	MemoryMB        Located[int]
	Descriptors     Located[int]
	Cores           Located[float64]

	// Routes is the description with all lines outside [[route]] tables blanked, so
	// that package routes reports the line numbers of the description.
	Routes []byte

	invalid              bool // has errors, so findings across files may only follow from them
	listenAddress        netip.AddrPort
	applicationAddresses []netip.AddrPort
	routesFile           *routes.File
	routeTable           *routes.Table
	nodeSettings         *nodeSettings
}

// appKeys are the top-level keys of an application's description.
func appKeys() []key[App] {
	return []key[App]{
		textKey("name", true, "what the sidecar is called, in the whole fleet", func(a *App) *Located[string] { return &a.Name }),
		textKey("application", false, "the application that it is beside (the name)", func(a *App) *Located[string] { return &a.Application }),
		textListKey("sites", true, "the sites where the application runs", func(a *App) *Located[[]string] { return &a.Sites }),
		textListKey("hosts", false, "the hosts where it runs (all of its sites)", func(a *App) *Located[[]string] { return &a.Hosts }),
		textKey("service", true, "the service that it calls", func(a *App) *Located[string] { return &a.Service }),
		textListKey("classes", true, "the classes of its requests", func(a *App) *Located[[]string] { return &a.Classes }),
		integerKey("port", 1, 65535, false, "where the sidecar listens for its application", func(a *App) *Located[int] { return &a.Port }),
		textKey("address", false, "the loopback address of the port (127.0.0.1)", func(a *App) *Located[string] { return &a.Address }),
		textKey("socket", false, "the path of a unix socket, in the place of a port", func(a *App) *Located[string] { return &a.Socket }),
		textListKey("own", false, "where the application itself listens, each host:port", func(a *App) *Located[[]string] { return &a.ListenAddresses }),
		textKey("serves", false, "the service whose requests the application answers", func(a *App) *Located[string] { return &a.ServedService }),
		durationKey("work", 0, time.Hour, false, "what the application's own work takes of a request's time, usually (0s)",
			func(a *App) *Located[time.Duration] { return &a.WorkTime }),
		numberKey("share", 1e-5, 1, false, "the part of the service's callers that each host's sidecar may have (1 / nodes)",
			func(a *App) *Located[float64] { return &a.BudgetShare }),
		textKey("discovery", false, "where discovery answers, host:port (the service's)", func(a *App) *Located[string] { return &a.Discovery }),
		textListKey("command", false, "the application's command: the sidecar then starts it, and ends with it",
			func(a *App) *Located[[]string] { return &a.Command }),
		integerKey("memory_mb", minMemoryMB, 65536, false, "memory of the sidecar in MB (the platform's)", func(a *App) *Located[int] { return &a.MemoryMB }),
		integerKey("descriptors", minDescriptors, 1<<20, false, "file descriptors of the sidecar (the platform's)",
			func(a *App) *Located[int] { return &a.Descriptors }),
		numberKey("cores", 0.01, 1, false, "cores of the sidecar (the platform's)", func(a *App) *Located[float64] { return &a.Cores }),
	}
}

// ReadApp parses a description and checks it against the platform. It returns what
// could be read even if there are findings.
func ReadApp(file string, data []byte, p *Platform, findings *Findings) *App {
	a := &App{File: file}
	before := len(*findings)
	r := &fileReader{file: file, findings: findings}
	table := r.parse(data)
	if table == nil {
		a.invalid = true
		return a
	}
	r.checkSchemaVersion(table)
	readKeys(r, table, "", appKeys(), []string{"schema", "route"}, a)
	if _, isTable := table.Values["route"].V.(*document.Table); !isTable { // package routes reports a single table
		r.tableList(table, "route", false)
	}
	a.invalid = Findings((*findings)[before:]).Worst() == 2
	a.Routes = routeLines(table, data)
	a.applyDefaults(p)
	a.check(r, p)
	return a
}

// routeLines returns data with all lines outside [[route]] tables blanked.
func routeLines(table *document.Table, data []byte) []byte {
	firstRoute, exists := table.Values["route"]
	if !exists {
		return nil
	}
	lines := bytes.SplitAfter(data, []byte("\n"))
	keep := make([]bool, len(lines)+2)
	inRoute := false
	for i, l := range lines {
		if s := bytes.TrimSpace(l); bytes.HasPrefix(s, []byte("[")) {
			header := strings.Trim(strings.SplitN(string(s), "#", 2)[0], "[] \t")
			inRoute = header == "route" || strings.HasPrefix(header, "route.")
		}
		keep[i] = inRoute && i+1 >= firstRoute.Line
	}
	var out []byte
	for i, l := range lines {
		switch {
		case keep[i]:
			out = append(out, l...)
		case bytes.HasSuffix(l, []byte("\n")):
			out = append(out, '\n')
		}
	}
	return out
}

// applyDefaults sets the keys that the description leaves to the platform.
func (a *App) applyDefaults(p *Platform) {
	a.Application = a.Application.or(a.Name)
	a.MemoryMB = a.MemoryMB.or(p.Sidecar.MemoryMB)
	a.Descriptors = a.Descriptors.or(p.Sidecar.Descriptors)
	a.Cores = a.Cores.or(p.Sidecar.Cores)
	setDefault(&a.Address, "127.0.0.1")
	if service := p.service(a.Service.V); service != nil {
		a.Discovery = a.Discovery.or(service.Discovery).or(p.Discovery)
		if a.BudgetShare.Line == 0 && service.Nodes.V > 0 {
			a.BudgetShare = Located[float64]{V: 1 / float64(service.Nodes.V), File: service.Nodes.File, Line: service.Nodes.Line}
		}
	}
	if a.Hosts.Line == 0 {
		a.Hosts = Located[[]string]{File: a.Sites.File, Line: a.Sites.Line}
		for i := range p.Hosts {
			if contains(a.Sites.V, p.Hosts[i].Site.V) {
				a.Hosts.V = append(a.Hosts.V, p.Hosts[i].Name.V)
			}
		}
	}
}

// check reports the faults of this description, without looking at other
// applications.
func (a *App) check(r *fileReader, p *Platform) {
	r.checkName("name", a.Name)
	if a.Application.Line != a.Name.Line {
		r.checkName("application", a.Application)
	}
	for _, s := range a.Sites.V {
		if !contains(p.Sites.V, s) {
			r.report(UnknownSite, a.Sites.Line, "sites", quote(s), strings.Join(p.Sites.V, ", "), "the platform names no such site")
		}
	}
	for _, name := range a.Hosts.V {
		switch h := p.host(name); {
		case h == nil:
			r.report(UnknownHost, a.Hosts.Line, "hosts", quote(name), strings.Join(p.hostNames(a.Sites.V), ", "), "the platform names no such host")
		case !contains(a.Sites.V, h.Site.V):
			r.report(HostOutsideSites, a.Hosts.Line, "hosts", quote(name), strings.Join(p.hostNames(a.Sites.V), ", "),
				"the host is at "+quote(h.Site.V)+", where the application is not")
		}
	}
	if len(a.Hosts.V) == 0 && !a.Sites.Invalid && a.Sites.Line > 0 {
		r.report(UnknownHost, a.Sites.Line, "sites", "", "", "the platform names no host at these sites")
	}
	a.checkService(r, p)
	a.checkListener(r, p)
	if a.nodeSettings = a.makeNodeSettings(p); len(a.Routes) == 0 || a.nodeSettings == nil {
		return
	}
	var parseFindings []routes.Finding
	a.routesFile, parseFindings = routes.Parse(a.Routes)
	table, checkFindings := routes.Check(a.routesFile, a.nodeSettings.routesEnv())
	a.routeTable = table
	for _, f := range append(parseFindings, checkFindings...) {
		a.invalid = true
		if f.Code == routes.UnknownClass && p.class(strings.Trim(f.Value, `"`)) != nil {
			r.report(UnusedRoute, f.Line, "route.class", f.Value, strings.Join(a.Classes.V, ", "), "the application does not use the class")
			continue
		}
		r.findings.addRouteFinding(r.file, f)
	}
}

// hostNames returns the names of the hosts at some sites, or of all hosts if no
// site is given.
func (p *Platform) hostNames(sites []string) []string {
	var names []string
	for i := range p.Hosts {
		if len(sites) == 0 || contains(sites, p.Hosts[i].Site.V) {
			names = append(names, p.Hosts[i].Name.V)
		}
	}
	return names
}

// serviceNames returns the names of all services.
func (p *Platform) serviceNames() []string {
	var all []string
	for i := range p.Services {
		all = append(all, p.Services[i].Name.V)
	}
	return all
}

// checkService checks that the platform has the services and classes of the
// description.
func (a *App) checkService(r *fileReader, p *Platform) {
	s := p.service(a.Service.V)
	if a.Service.IsSet() && s == nil {
		r.report(UnknownService, a.Service.Line, "service", quote(a.Service.V), strings.Join(p.serviceNames(), ", "), "the platform names no such service")
	}
	if a.ServedService.IsSet() && p.service(a.ServedService.V) == nil {
		r.report(UnknownService, a.ServedService.Line, "serves", quote(a.ServedService.V), strings.Join(p.serviceNames(), ", "), "the platform names no such service")
	}
	for _, c := range a.Classes.V {
		switch {
		case p.class(c) == nil:
			r.report(UnknownClass, a.Classes.Line, "classes", quote(c), strings.Join(p.classNames(), ", "), "the platform names no such class")
		case s != nil && !contains(s.Classes.V, c):
			r.report(ClassNotServed, a.Classes.Line, "classes", quote(c), strings.Join(s.Classes.V, ", "),
				"the service "+quote(s.Name.V)+" does not serve the class")
		}
	}
}

// maxSocketPath is the longest path of a unix socket in bytes (sys/un.h: sun_path
// has 108 bytes including the terminating zero).
const maxSocketPath = 107

// checkListener checks the sidecar's port or socket, and that its address doesn't
// conflict with the application, discovery or the hosts' ephemeral ports.
func (a *App) checkListener(r *fileReader, p *Platform) {
	line := max(a.Port.Line, a.Socket.Line, 1)
	switch {
	case a.Port.Line > 0 && a.Socket.Line > 0:
		r.report(NoListener, line, "port", "", "port or socket", "both a port and a socket")
	case a.Port.Line == 0 && a.Socket.Line == 0 && !r.hasSyntaxErrors:
		r.report(NoListener, line, "port", "", "port or socket", "neither a port nor a socket")
	}
	if a.Socket.IsSet() && (!strings.HasPrefix(a.Socket.V, "/") || path.Clean(a.Socket.V) != a.Socket.V || len(a.Socket.V) > maxSocketPath || a.Socket.V == "/") {
		r.report(InvalidSocket, a.Socket.Line, "socket", quote(a.Socket.V), fmt.Sprintf("absolute, at most %d bytes", maxSocketPath), "not a path that a socket can have")
	}
	for _, o := range a.ListenAddresses.V {
		if parsed, ok := parseAddress(r, "own", Located[string]{V: o, File: a.ListenAddresses.File, Line: a.ListenAddresses.Line}); ok {
			a.applicationAddresses = append(a.applicationAddresses, parsed)
		}
	}
	discovery, hasDiscovery := parseAddress(r, "discovery", Located[string]{V: a.Discovery.V, File: a.Discovery.File, Line: lineInFile(a.Discovery, a.File)})
	if !hasDiscovery && a.Discovery.V != "" {
		if parsed, err := netip.ParseAddrPort(a.Discovery.V); err == nil {
			discovery, hasDiscovery = parsed, true
		}
	}
	if !a.Port.IsSet() || a.Socket.Line > 0 {
		return
	}
	host, err := netip.ParseAddr(a.Address.V)
	if err != nil {
		r.report(InvalidAddress, a.Address.Line, "address", quote(a.Address.V), "127.0.0.1, ::1", "no numeric address")
		return
	}
	if !host.Unmap().IsLoopback() {
		r.report(NotLoopback, a.Address.Line, "address", quote(a.Address.V), "127.0.0.0/8, ::1", "it can be reached from elsewhere")
	}
	port := uint16(a.Port.V)
	a.listenAddress = netip.AddrPortFrom(host, port)
	portText := fmt.Sprint(port)
	if port < 1024 {
		r.report(PrivilegedPort, a.Port.Line, "port", portText, fmt.Sprintf("1024 to %d", p.EphemeralFrom.V-1), "a privileged port")
	}
	if a.Port.V >= p.EphemeralFrom.V && a.Port.V <= p.EphemeralTo.V {
		r.report(EphemeralPort, a.Port.Line, "port", portText, fmt.Sprintf("1024 to %d", p.EphemeralFrom.V-1),
			fmt.Sprintf("in the hosts' range of ephemeral ports, %d to %d", p.EphemeralFrom.V, p.EphemeralTo.V))
	}
	for _, o := range a.applicationAddresses {
		if conflicts(a.listenAddress, o) {
			r.report(ApplicationPort, a.Port.Line, "port", portText, "", "the application itself listens on "+o.String())
		}
	}
	if hasDiscovery && conflicts(a.listenAddress, discovery) {
		r.report(DiscoveryPort, a.Port.Line, "port", portText, "", "discovery listens on "+discovery.String())
	}
}

// lineInFile returns the line of a value that comes from a file; 0 if it comes
// from another one.
func lineInFile[T any](value Located[T], file string) int {
	if value.File == file {
		return value.Line
	}
	return 0
}

// conflicts reports whether two listeners can't be bound to these addresses on one
// host: the ports are equal, and the hosts are equal or one is a wildcard. An IPv6
// wildcard covers IPv4 too (ipv6(7): IPV6_V6ONLY is off by default), and an
// IPv4-mapped address equals its IPv4 address (RFC 4291, section 2.5.5.2).
func conflicts(x, y netip.AddrPort) bool {
	if x.Port() != y.Port() {
		return false
	}
	a, b := x.Addr().Unmap(), y.Addr().Unmap()
	if a == b {
		return true
	}
	any4, any6 := netip.IPv4Unspecified(), netip.IPv6Unspecified()
	for _, pair := range [][2]netip.Addr{{a, b}, {b, a}} {
		if pair[0] == any6 || pair[0] == any4 && pair[1].Is4() {
			return true
		}
	}
	return false
}

// sortedApps returns a copy of the applications ordered by name, then by file.
func sortedApps(all []*App) []*App {
	all = slices.Clone(all)
	slices.SortStableFunc(all, func(x, y *App) int {
		if c := strings.Compare(x.Name.V, y.Name.V); c != 0 {
			return c
		}
		return strings.Compare(x.File, y.File)
	})
	return all
}
