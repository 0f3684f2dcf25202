package apps

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"

	"golang.org/x/text/unicode/norm"

	"curlewring/internal/operators/document"
	"curlewring/internal/operators/settings"
)

// Schema is the version of descriptions and of the files generated from them.
// Version 0 is a node configuration from before descriptions existed, without a
// schema key. A node reads its own version, the one before and the one after.
const Schema = settings.Schema

// Platform is the description that all applications share.
type Platform struct {
	File      string
	Name      Located[string]
	Sites     Located[[]string]
	Discovery Located[string]
	// The hosts' range of ephemeral ports, both ends included.
	EphemeralFrom, EphemeralTo Located[int]

	Sidecar  Defaults
	Limits   Limits
	WarmUp   WarmUp
	Classes  []Class
	Hosts    []Host
	Services []Service
}

// Defaults are the limits of a sidecar whose description doesn't set them, and the
// program and user of all sidecars.
type Defaults struct {
	MemoryMB    Located[int]
	Descriptors Located[int]
	Cores       Located[float64]
	Binary      Located[string]
	User        Located[string]
}

// Limits bound what nodes may do on the platform.
type Limits struct {
	MaxAttempts       Located[int]
	MaxRetryAfter     Located[time.Duration] // 0: refusals have no Retry-After
	SecondCopies      Located[bool]
	Budgets           Located[bool]
	ConnIdle          Located[time.Duration]
	ConnectTimeout    Located[time.Duration]
	AnswerGrace       Located[time.Duration]
	DrainGrace        Located[time.Duration]
	ResubscribeWithin Located[time.Duration]
}

// WarmUp describes how the capacity of servers grows after their start, and which
// overload makes one fail.
type WarmUp struct {
	ColdCapacity     Located[float64]
	WarmupTime       Located[time.Duration]
	CollapseMultiple Located[float64]
	CollapseWindow   Located[time.Duration]
}

// Class is a class of requests: its times, its worth, and whether it may be repeated.
type Class struct {
	Line          int
	Name          Located[string]
	LatencyTarget Located[time.Duration]
	Deadline      Located[time.Duration]
	Worth         Located[float64]
	Idempotency   Located[string] // repeatable, keyed, once
	Group         Located[string] // all, site, rack
	KeyTTL        Located[time.Duration]
}

// Host is a machine that sidecars run on.
type Host struct {
	Line        int
	Name        Located[string]
	Site        Located[string]
	MemoryMB    Located[int]
	Descriptors Located[int]
	Cores       Located[float64]
}

// Service is a group of servers that sidecars send to.
type Service struct {
	Line      int
	Name      Located[string]
	Classes   Located[[]string]
	Discovery Located[string]
	Nodes     Located[int]
}

// service returns the service with a name; nil if there is none.
func (p *Platform) service(name string) *Service {
	for i := range p.Services {
		if p.Services[i].Name.V == name {
			return &p.Services[i]
		}
	}
	return nil
}

// host returns the host with a name; nil if there is none.
func (p *Platform) host(name string) *Host {
	for i := range p.Hosts {
		if p.Hosts[i].Name.V == name {
			return &p.Hosts[i]
		}
	}
	return nil
}

// class returns the class with a name; nil if there is none.
func (p *Platform) class(name string) *Class {
	for i := range p.Classes {
		if p.Classes[i].Name.V == name {
			return &p.Classes[i]
		}
	}
	return nil
}

const (
	minMemoryMB    = 32 // the node's own lower bound
	minDescriptors = 64
	maxDuration    = 24 * time.Hour
)

// platformKeys are the top-level keys of the platform file.
func platformKeys() []key[Platform] {
	return []key[Platform]{
		textKey("name", false, "what the platform is called", func(p *Platform) *Located[string] { return &p.Name }),
		textListKey("sites", true, "the names of its sites", func(p *Platform) *Located[[]string] { return &p.Sites }),
		textKey("discovery", false, "where discovery answers, host:port; a service or an application may have its own",
			func(p *Platform) *Located[string] { return &p.Discovery }),
		integerKey("ephemeral_from", 1024, 65535, false, "the first port that hosts use for outgoing connections (32768)",
			func(p *Platform) *Located[int] { return &p.EphemeralFrom }),
		integerKey("ephemeral_to", 1024, 65535, false, "the last one (60999)", func(p *Platform) *Located[int] { return &p.EphemeralTo }),
	}
}

// defaultsKeys are the keys of [sidecar].
func defaultsKeys() []key[Defaults] {
	return []key[Defaults]{
		integerKey("memory_mb", minMemoryMB, 65536, false, "memory of a sidecar in MB (32)", func(d *Defaults) *Located[int] { return &d.MemoryMB }),
		integerKey("descriptors", minDescriptors, 1<<20, false, "file descriptors of a sidecar (256)",
			func(d *Defaults) *Located[int] { return &d.Descriptors }),
		numberKey("cores", 0.01, 1, false, "cores of a sidecar, of which it uses one at most (0.25)",
			func(d *Defaults) *Located[float64] { return &d.Cores }),
		textKey("binary", false, "the node's program on the hosts (/usr/local/bin/curlewring)",
			func(d *Defaults) *Located[string] { return &d.Binary }),
		textKey("user", false, "the user that sidecars run as (curlewring)", func(d *Defaults) *Located[string] { return &d.User }),
	}
}

// limitsKeys are the keys of [limits].
func limitsKeys() []key[Limits] {
	return []key[Limits]{
		integerKey("most_tries", 1, 4, false, "attempts of a request at a node, the first included (4)",
			func(l *Limits) *Located[int] { return &l.MaxAttempts }),
		durationKey("retry_after", 0, time.Minute, false, `the longest advice in refusals; "0s" is none ("1s")`,
			func(l *Limits) *Located[time.Duration] { return &l.MaxRetryAfter }),
		boolKey("second_copies", "whether attempts of a repeatable request may overlap (false)",
			func(l *Limits) *Located[bool] { return &l.SecondCopies }),
		boolKey("budgets", "whether nodes share a budget of further attempts with the tiers below (false)",
			func(l *Limits) *Located[bool] { return &l.Budgets }),
		durationKey("idle", time.Second, time.Hour, false, `after which servers close idle connections ("10s")`,
			func(l *Limits) *Located[time.Duration] { return &l.ConnIdle }),
		durationKey("connect_timeout", time.Millisecond, time.Minute, false, `for a connection to a server ("250ms")`,
			func(l *Limits) *Located[time.Duration] { return &l.ConnectTimeout }),
		durationKey("answer_grace", 0, time.Second, false, `before the end of a request's time, when its answer leaves ("10ms")`,
			func(l *Limits) *Located[time.Duration] { return &l.AnswerGrace }),
		durationKey("drain_grace", 0, 500*time.Millisecond, false, `after the word that a server drains, in which it may still be sent to ("500ms")`,
			func(l *Limits) *Located[time.Duration] { return &l.DrainGrace }),
		durationKey("ask_within", time.Second, time.Hour, false, `after which a node asks discovery again ("10s")`,
			func(l *Limits) *Located[time.Duration] { return &l.ResubscribeWithin }),
	}
}

// warmUpKeys are the keys of [cold].
func warmUpKeys() []key[WarmUp] {
	return []key[WarmUp]{
		numberKey("from", 0.01, 1, false, "part of its capacity that a server has at its start (0.4)", func(c *WarmUp) *Located[float64] { return &c.ColdCapacity }),
		durationKey("for", 0, time.Hour, false, `after which it has all of it ("5s")`, func(c *WarmUp) *Located[time.Duration] { return &c.WarmupTime }),
		numberKey("fall_multiple", 1, 100, false, "times what it can do, beyond which it falls over (2.5)",
			func(c *WarmUp) *Located[float64] { return &c.CollapseMultiple }),
		durationKey("fall_for", time.Millisecond, time.Minute, false, `the time over which that is summed up ("1s")`,
			func(c *WarmUp) *Located[time.Duration] { return &c.CollapseWindow }),
	}
}

// classKeys are the keys of a [[class]].
func classKeys() []key[Class] {
	return []key[Class]{
		textKey("name", true, "what the class is called", func(c *Class) *Located[string] { return &c.Name }),
		durationKey("aim", time.Millisecond, maxDuration, true, "the wanted response time", func(c *Class) *Located[time.Duration] { return &c.LatencyTarget }),
		durationKey("deadline", time.Millisecond, maxDuration, true, "how long its callers wait", func(c *Class) *Located[time.Duration] { return &c.Deadline }),
		numberKey("worth", 0, 1e6, true, "what an answer in time counts, against others", func(c *Class) *Located[float64] { return &c.Worth }),
		textKey("effect", true, "whether it may run again", func(c *Class) *Located[string] { return &c.Idempotency }, "repeatable", "keyed", "once"),
		textKey("group", false, "which servers drop a repeat of a keyed request", func(c *Class) *Located[string] { return &c.Group }, "all", "site", "rack"),
		durationKey("window", time.Millisecond, maxDuration, false, "how long they remember its key", func(c *Class) *Located[time.Duration] { return &c.KeyTTL }),
	}
}

// hostKeys are the keys of a [[host]].
func hostKeys() []key[Host] {
	return []key[Host]{
		textKey("name", true, "what the host is called", func(h *Host) *Located[string] { return &h.Name }),
		textKey("site", true, "where it stands", func(h *Host) *Located[string] { return &h.Site }),
		integerKey("memory_mb", minMemoryMB, 1<<24, false, "memory for all sidecars, in MB", func(h *Host) *Located[int] { return &h.MemoryMB }),
		integerKey("descriptors", minDescriptors, 1<<30, false, "file descriptors for all sidecars", func(h *Host) *Located[int] { return &h.Descriptors }),
		numberKey("cores", 0.01, 4096, false, "cores for all sidecars", func(h *Host) *Located[float64] { return &h.Cores }),
	}
}

// serviceKeys are the keys of a [[service]].
func serviceKeys() []key[Service] {
	return []key[Service]{
		textKey("name", true, "what the service is called", func(s *Service) *Located[string] { return &s.Name }),
		textListKey("classes", true, "the classes that it serves", func(s *Service) *Located[[]string] { return &s.Classes }),
		textKey("discovery", false, "where discovery tells its servers, host:port", func(s *Service) *Located[string] { return &s.Discovery }),
		integerKey("nodes", 1, 100000, true, "how many nodes may send to it at the most, sidecars and others",
			func(s *Service) *Located[int] { return &s.Nodes }),
	}
}

// ReadPlatform parses and checks the platform file. It returns what could be read
// even if there are findings.
func ReadPlatform(file string, data []byte, findings *Findings) *Platform {
	p := &Platform{File: file}
	r := &fileReader{file: file, findings: findings}
	table := r.parse(data)
	if table == nil {
		return p
	}
	r.checkSchemaVersion(table)
	readElsewhere := []string{"schema", "sidecar", "limits", "cold", "class", "host", "service"}
	readKeys(r, table, "", platformKeys(), readElsewhere, p)
	if s := r.subtable(table, "sidecar"); s != nil {
		readKeys(r, s, "sidecar.", defaultsKeys(), nil, &p.Sidecar)
	}
	if s := r.subtable(table, "limits"); s != nil {
		readKeys(r, s, "limits.", limitsKeys(), nil, &p.Limits)
	}
	if s := r.subtable(table, "cold"); s != nil {
		readKeys(r, s, "cold.", warmUpKeys(), nil, &p.WarmUp)
	}
	for _, s := range r.tableList(table, "class", true) {
		c := Class{Line: s.Line}
		readKeys(r, s, "class.", classKeys(), nil, &c)
		p.Classes = append(p.Classes, c)
	}
	for _, s := range r.tableList(table, "host", false) {
		h := Host{Line: s.Line}
		readKeys(r, s, "host.", hostKeys(), nil, &h)
		p.Hosts = append(p.Hosts, h)
	}
	for _, s := range r.tableList(table, "service", true) {
		x := Service{Line: s.Line}
		readKeys(r, s, "service.", serviceKeys(), nil, &x)
		p.Services = append(p.Services, x)
	}
	p.applyDefaults()
	p.check(r)
	return p
}

// parse parses the TOML of a file; nil if nothing could be read.
func (r *fileReader) parse(data []byte) *document.Table {
	if len(data) > document.MaxFileSize {
		r.report(TooLarge, 0, "", "", fmt.Sprintf("%d bytes", document.MaxFileSize), "the file is too large")
		return nil
	}
	if len(strings.TrimSpace(string(data))) == 0 {
		r.report(EmptyFile, 0, "", "", "", "the file is empty")
		return nil
	}
	table, syntaxErrors := document.Parse(data)
	for _, f := range syntaxErrors {
		code := Syntax
		if f.Duplicate {
			code = DuplicateKey
		} else {
			r.hasSyntaxErrors = true
		}
		r.report(code, f.Line, f.Key, "", "", f.Text)
	}
	return table
}

// checkSchemaVersion reports a missing, invalid or newer schema version.
func (r *fileReader) checkSchemaVersion(table *document.Table) {
	v, exists := table.Values["schema"]
	version, ok := v.V.(int64)
	switch {
	case !exists && r.hasSyntaxErrors:
	case !exists:
		r.report(MissingKey, 1, "schema", "", fmt.Sprint(Schema), "the version of the description")
	case !ok:
		r.report(WrongType, v.Line, "schema", v.Text, fmt.Sprint(Schema), "not a whole number")
	case version > Schema:
		r.report(NewSchema, v.Line, "schema", v.Text, fmt.Sprintf("up to %d", Schema), "a newer schema than this program knows")
	case version < 1:
		r.report(OutOfRange, v.Line, "schema", v.Text, fmt.Sprintf("1 to %d", Schema), "no such schema")
	}
}

// subtable returns the table with a name; nil if there is none.
func (r *fileReader) subtable(table *document.Table, name string) *document.Table {
	v, exists := table.Values[name]
	if !exists {
		return nil
	}
	subtable, ok := v.V.(*document.Table)
	if !ok {
		r.report(WrongType, v.Line, name, v.Text, "["+name+"]", "not a table")
	}
	return subtable
}

// tableList returns the tables of an array of tables; nil if there is none.
func (r *fileReader) tableList(table *document.Table, name string, required bool) []*document.Table {
	v, exists := table.Values[name]
	if !exists {
		if required && !r.hasSyntaxErrors {
			r.report(MissingKey, 1, name, "", "[["+name+"]]", "there must be one at the least")
		}
		return nil
	}
	all, ok := v.V.([]document.Value)
	var tables []*document.Table
	for _, element := range all {
		elementTable, isTable := element.V.(*document.Table)
		if !isTable {
			ok = false
			break
		}
		tables = append(tables, elementTable)
	}
	if !ok {
		r.report(WrongType, v.Line, name, v.Text, "[["+name+"]]", "not a list of tables")
		return nil
	}
	return tables
}

// setDefault sets a value that no file gives.
func setDefault[T any](target *Located[T], value T) {
	if target.Line == 0 {
		target.V = value
	}
}

// applyDefaults sets the values of keys that the file leaves out.
func (p *Platform) applyDefaults() {
	setDefault(&p.EphemeralFrom, 32768)
	setDefault(&p.EphemeralTo, 60999)
	setDefault(&p.Sidecar.MemoryMB, 32)
	setDefault(&p.Sidecar.Descriptors, 256)
	setDefault(&p.Sidecar.Cores, 0.25)
	setDefault(&p.Sidecar.Binary, "/usr/local/bin/curlewring")
	setDefault(&p.Sidecar.User, "curlewring")
	setDefault(&p.Limits.MaxAttempts, 4)
	setDefault(&p.Limits.MaxRetryAfter, time.Second)
	setDefault(&p.Limits.ConnIdle, 10*time.Second)
	setDefault(&p.Limits.ConnectTimeout, 250*time.Millisecond)
	setDefault(&p.Limits.AnswerGrace, 10*time.Millisecond)
	setDefault(&p.Limits.DrainGrace, 500*time.Millisecond)
	setDefault(&p.Limits.ResubscribeWithin, 10*time.Second)
	setDefault(&p.WarmUp.ColdCapacity, 0.4)
	setDefault(&p.WarmUp.WarmupTime, 5*time.Second)
	setDefault(&p.WarmUp.CollapseMultiple, 2.5)
	setDefault(&p.WarmUp.CollapseWindow, time.Second)
}

// check reports contradictions within the platform.
func (p *Platform) check(r *fileReader) {
	if p.EphemeralFrom.V > p.EphemeralTo.V {
		r.report(InvalidHost, max(p.EphemeralFrom.Line, p.EphemeralTo.Line), "ephemeral_from", fmt.Sprint(p.EphemeralFrom.V),
			fmt.Sprintf("at most ephemeral_to, %d", p.EphemeralTo.V), "the range ends before it begins")
	}
	if p.Limits.Budgets.V && p.Limits.SecondCopies.V {
		r.report(InvalidHost, max(p.Limits.Budgets.Line, p.Limits.SecondCopies.Line), "limits.budgets", "true", "second_copies = false",
			"what two copies spend below is not told apart")
	}
	parseAddress(r, "discovery", p.Discovery)
	for _, s := range p.Sites.V {
		r.checkName("sites", Located[string]{V: s, File: r.file, Line: p.Sites.Line})
	}
	firstLine := map[string]int{}
	checkUnique := func(table string, name Located[string]) {
		if name.V == "" {
			return
		}
		r.checkName(table+".name", name)
		if first := firstLine[table+name.V]; first > 0 {
			r.report(InvalidHost, name.Line, table+".name", quote(name.V), "", fmt.Sprintf("the name stands already in line %d", first))
		}
		firstLine[table+name.V] = name.Line
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		checkUnique("class", c.Name)
		if c.LatencyTarget.IsSet() && c.Deadline.IsSet() && c.LatencyTarget.V > c.Deadline.V {
			r.report(InvalidClass, c.LatencyTarget.Line, "class.aim", c.LatencyTarget.V.String(), "at most the deadline, "+c.Deadline.V.String(), "wanted later than given up")
		}
		keyed := c.Idempotency.V == "keyed"
		if keyed && !c.KeyTTL.Invalid && c.KeyTTL.V == 0 {
			r.report(InvalidClass, c.Line, "class.window", "", "a duration", "a keyed class needs the time for which its key is kept")
		}
		if keyed && !c.Group.Invalid && c.Group.V == "" {
			r.report(InvalidClass, c.Line, "class.group", "", "all, site, rack", "a keyed class needs the group that keeps its key")
		}
		if !keyed && c.Idempotency.IsSet() && c.KeyTTL.IsSet() {
			r.report(InvalidClass, c.KeyTTL.Line, "class.window", c.KeyTTL.V.String(), "", "only keyed classes have a window")
		}
		if !keyed && c.Idempotency.IsSet() && c.Group.IsSet() {
			r.report(InvalidClass, c.Group.Line, "class.group", quote(c.Group.V), "", "only keyed classes have a group")
		}
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		served := c.Name.V == ""
		for j := range p.Services {
			served = served || contains(p.Services[j].Classes.V, c.Name.V) || p.Services[j].Classes.Invalid
		}
		if !served && len(p.Services) > 0 {
			r.report(ClassNotServed, c.Name.Line, "class.name", quote(c.Name.V), "", "no service serves the class")
		}
	}
	for i := range p.Hosts {
		h := &p.Hosts[i]
		checkUnique("host", h.Name)
		if h.Site.IsSet() && len(p.Sites.V) > 0 && !contains(p.Sites.V, h.Site.V) {
			r.report(UnknownSite, h.Site.Line, "host.site", quote(h.Site.V), strings.Join(p.Sites.V, ", "), "sites name no such site")
		}
	}
	for i := range p.Services {
		s := &p.Services[i]
		checkUnique("service", s.Name)
		parseAddress(r, "service.discovery", s.Discovery)
		for _, c := range s.Classes.V {
			if p.class(c) == nil {
				r.report(UnknownClass, s.Classes.Line, "service.classes", quote(c), strings.Join(p.classNames(), ", "), "the platform names no such class")
			}
		}
	}
}

// classNames returns the names of all classes.
func (p *Platform) classNames() []string {
	var names []string
	for i := range p.Classes {
		names = append(names, p.Classes[i].Name.V)
	}
	return names
}

func quote(s string) string { return fmt.Sprintf("%q", s) }

// checkName checks that a name can be used in the names of files and systemd
// units. Letters of any script are allowed.
func (r *fileReader) checkName(key string, name Located[string]) {
	if !name.IsSet() {
		return
	}
	problem := ""
	switch {
	case len(name.V) > 64:
		problem = "longer than 64 bytes"
	case !norm.NFC.IsNormalString(name.V):
		problem = "not composed: another name could look the same"
	case strings.ContainsFunc(name.V, func(c rune) bool {
		return !unicode.IsLetter(c) && !unicode.IsDigit(c) && !unicode.IsMark(c) && !strings.ContainsRune("-_.", c)
	}):
		problem = "it holds a character that names can't have"
	case !unicode.IsLetter([]rune(name.V)[0]) && !unicode.IsDigit([]rune(name.V)[0]):
		problem = "it begins with no letter or digit"
	default:
		return
	}
	r.report(InvalidName, name.Line, key, quote(name.V), "letters, digits, - _ .", problem)
}

// parseAddress parses a numeric host:port, and reports one that is invalid.
func parseAddress(r *fileReader, key string, value Located[string]) (netip.AddrPort, bool) {
	if !value.IsSet() {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(value.V)
	if err != nil || address.Port() == 0 {
		r.report(InvalidAddress, value.Line, key, quote(value.V), `as "127.0.0.1:8500" or "[::1]:8500"`, "no numeric address with a port")
		return netip.AddrPort{}, false
	}
	return address, true
}
