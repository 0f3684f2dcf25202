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

// Schema is the version of descriptions, and of what is written of them. Version
// 0 is a node's configuration of before there were descriptions: it has no schema
// key. A node reads its own version, the one before and the one after.
const Schema = settings.Schema

// Platform is what all applications share.
type Platform struct {
	File      string
	Name      Located[string]
	Sites     Located[[]string]
	Discovery Located[string]
	// The hosts' range of ports for outgoing connections, both ends included.
	EphemeralFrom, EphemeralTo Located[int]

	Sidecar  Defaults
	Limits   Limits
	WarmUp   WarmUp
	Classes  []Class
	Hosts    []Host
	Services []Service
}

// Defaults are what a sidecar has where its application says nothing else.
type Defaults struct {
	MemoryMB    Located[int]
	Descriptors Located[int]
	Cores       Located[float64]
	Binary      Located[string]
	User        Located[string]
}

// Limits are what the platform lets nodes do.
type Limits struct {
	MaxAttempts    Located[int]
	MaxRetryAfter  Located[time.Duration] // 0: refusals carry none
	SecondCopies   Located[bool]
	Budgets        Located[bool]
	ConnIdle       Located[time.Duration]
	ConnectTimeout Located[time.Duration]
	AnswerGrace    Located[time.Duration]
	DrainGrace     Located[time.Duration]
	AskWithin      Located[time.Duration]
}

// Cold is how servers warm up, and when a cold one falls over.
type WarmUp struct {
	From         Located[float64]
	For          Located[time.Duration]
	FallMultiple Located[float64]
	FallFor      Located[time.Duration]
}

// Class is a class of requests.
type Class struct {
	Line     int
	Name     Located[string]
	Aim      Located[time.Duration]
	Deadline Located[time.Duration]
	Worth    Located[float64]
	Effect   Located[string] // repeatable, keyed, once
	Group    Located[string] // all, site, rack
	Window   Located[time.Duration]
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

// Service is what sidecars send to.
type Service struct {
	Line      int
	Name      Located[string]
	Classes   Located[[]string]
	Discovery Located[string]
	Nodes     Located[int]
}

func (p *Platform) service(name string) *Service {
	for i := range p.Services {
		if p.Services[i].Name.V == name {
			return &p.Services[i]
		}
	}
	return nil
}

func (p *Platform) host(name string) *Host {
	for i := range p.Hosts {
		if p.Hosts[i].Name.V == name {
			return &p.Hosts[i]
		}
	}
	return nil
}

func (p *Platform) class(name string) *Class {
	for i := range p.Classes {
		if p.Classes[i].Name.V == name {
			return &p.Classes[i]
		}
	}
	return nil
}

const (
	minMemoryMB    = 32 // as the node's own reader has it
	minDescriptors = 64
	maxDuration    = 24 * time.Hour
)

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
			func(l *Limits) *Located[time.Duration] { return &l.AskWithin }),
	}
}

func coldKeys() []key[WarmUp] {
	return []key[WarmUp]{
		numberKey("from", 0.01, 1, false, "part of its capacity that a server has at its start (0.4)", func(c *WarmUp) *Located[float64] { return &c.From }),
		durationKey("for", 0, time.Hour, false, `after which it has all of it ("5s")`, func(c *WarmUp) *Located[time.Duration] { return &c.For }),
		numberKey("fall_multiple", 1, 100, false, "times what it can do, beyond which it falls over (2.5)",
			func(c *WarmUp) *Located[float64] { return &c.FallMultiple }),
		durationKey("fall_for", time.Millisecond, time.Minute, false, `the time over which that is summed up ("1s")`,
			func(c *WarmUp) *Located[time.Duration] { return &c.FallFor }),
	}
}

func classKeys() []key[Class] {
	return []key[Class]{
		textKey("name", true, "what the class is called", func(c *Class) *Located[string] { return &c.Name }),
		durationKey("aim", time.Millisecond, maxDuration, true, "the wanted response time", func(c *Class) *Located[time.Duration] { return &c.Aim }),
		durationKey("deadline", time.Millisecond, maxDuration, true, "how long its callers wait", func(c *Class) *Located[time.Duration] { return &c.Deadline }),
		numberKey("worth", 0, 1e6, true, "what an answer in time counts, against others", func(c *Class) *Located[float64] { return &c.Worth }),
		textKey("effect", true, "whether it may run again", func(c *Class) *Located[string] { return &c.Effect }, "repeatable", "keyed", "once"),
		textKey("group", false, "which servers drop a repeat of a keyed request", func(c *Class) *Located[string] { return &c.Group }, "all", "site", "rack"),
		durationKey("window", time.Millisecond, maxDuration, false, "how long they remember its key", func(c *Class) *Located[time.Duration] { return &c.Window }),
	}
}

func hostKeys() []key[Host] {
	return []key[Host]{
		textKey("name", true, "what the host is called", func(h *Host) *Located[string] { return &h.Name }),
		textKey("site", true, "where it stands", func(h *Host) *Located[string] { return &h.Site }),
		integerKey("memory_mb", minMemoryMB, 1<<24, false, "memory for all sidecars, in MB", func(h *Host) *Located[int] { return &h.MemoryMB }),
		integerKey("descriptors", minDescriptors, 1<<30, false, "file descriptors for all sidecars", func(h *Host) *Located[int] { return &h.Descriptors }),
		numberKey("cores", 0.01, 4096, false, "cores for all sidecars", func(h *Host) *Located[float64] { return &h.Cores }),
	}
}

func serviceKeys() []key[Service] {
	return []key[Service]{
		textKey("name", true, "what the service is called", func(s *Service) *Located[string] { return &s.Name }),
		textListKey("classes", true, "the classes that it serves", func(s *Service) *Located[[]string] { return &s.Classes }),
		textKey("discovery", false, "where discovery tells its servers, host:port", func(s *Service) *Located[string] { return &s.Discovery }),
		integerKey("nodes", 1, 100000, true, "how many nodes may send to it at the most, sidecars and others",
			func(s *Service) *Located[int] { return &s.Nodes }),
	}
}

// ReadPlatform reads the shared file. What could be read is returned, also where
// there are findings.
func ReadPlatform(file string, data []byte, findings *Findings) *Platform {
	p := &Platform{File: file}
	r := &fileReader{file: file, findings: findings}
	t := r.parse(data)
	if t == nil {
		return p
	}
	r.checkSchemaVersion(t)
	lists := []string{"schema", "sidecar", "limits", "cold", "class", "host", "service"}
	readKeys(r, t, "", platformKeys(), lists, p)
	if s := r.subtable(t, "sidecar"); s != nil {
		readKeys(r, s, "sidecar.", defaultsKeys(), nil, &p.Sidecar)
	}
	if s := r.subtable(t, "limits"); s != nil {
		readKeys(r, s, "limits.", limitsKeys(), nil, &p.Limits)
	}
	if s := r.subtable(t, "cold"); s != nil {
		readKeys(r, s, "cold.", coldKeys(), nil, &p.WarmUp)
	}
	for _, s := range r.tableList(t, "class", true) {
		c := Class{Line: s.Line}
		readKeys(r, s, "class.", classKeys(), nil, &c)
		p.Classes = append(p.Classes, c)
	}
	for _, s := range r.tableList(t, "host", false) {
		h := Host{Line: s.Line}
		readKeys(r, s, "host.", hostKeys(), nil, &h)
		p.Hosts = append(p.Hosts, h)
	}
	for _, s := range r.tableList(t, "service", true) {
		x := Service{Line: s.Line}
		readKeys(r, s, "service.", serviceKeys(), nil, &x)
		p.Services = append(p.Services, x)
	}
	p.applyDefaults()
	p.check(r)
	return p
}

// parse reads a file's form; nil where nothing could be read.
func (r *fileReader) parse(data []byte) *document.Table {
	if len(data) > document.MaxFileSize {
		r.report(TooLarge, 0, "", "", fmt.Sprintf("%d bytes", document.MaxFileSize), "the file is too large")
		return nil
	}
	if len(strings.TrimSpace(string(data))) == 0 {
		r.report(EmptyFile, 0, "", "", "", "the file is empty")
		return nil
	}
	t, faults := document.Parse(data)
	for _, f := range faults {
		code := Syntax
		if f.Duplicate {
			code = DuplicateKey
		} else {
			r.hasSyntaxErrors = true
		}
		r.report(code, f.Line, f.Key, "", "", f.Text)
	}
	return t
}

// schema checks the version of a file.
func (r *fileReader) checkSchemaVersion(t *document.Table) {
	v, there := t.Values["schema"]
	n, ok := v.V.(int64)
	switch {
	case !there && r.hasSyntaxErrors:
	case !there:
		r.report(MissingKey, 1, "schema", "", fmt.Sprint(Schema), "the version of the description")
	case !ok:
		r.report(WrongType, v.Line, "schema", v.Text, fmt.Sprint(Schema), "not a whole number")
	case n > Schema:
		r.report(NewSchema, v.Line, "schema", v.Text, fmt.Sprintf("up to %d", Schema), "a newer schema than this program knows")
	case n < 1:
		r.report(OutOfRange, v.Line, "schema", v.Text, fmt.Sprintf("1 to %d", Schema), "no such schema")
	}
}

// sub is a table of the file, if it is there.
func (r *fileReader) subtable(t *document.Table, name string) *document.Table {
	v, there := t.Values[name]
	if !there {
		return nil
	}
	s, ok := v.V.(*document.Table)
	if !ok {
		r.report(WrongType, v.Line, name, v.Text, "["+name+"]", "not a table")
	}
	return s
}

// list is a list of tables of the file.
func (r *fileReader) tableList(t *document.Table, name string, must bool) []*document.Table {
	v, there := t.Values[name]
	if !there {
		if must && !r.hasSyntaxErrors {
			r.report(MissingKey, 1, name, "", "[["+name+"]]", "there must be one at the least")
		}
		return nil
	}
	all, ok := v.V.([]document.Value)
	var tables []*document.Table
	for _, x := range all {
		s, isTable := x.V.(*document.Table)
		if !isTable {
			ok = false
			break
		}
		tables = append(tables, s)
	}
	if !ok {
		r.report(WrongType, v.Line, name, v.Text, "[["+name+"]]", "not a list of tables")
		return nil
	}
	return tables
}

func setDefault[T any](a *Located[T], v T) {
	if a.Line == 0 {
		a.V = v
	}
}

// defaults fills in what the file does not say.
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
	setDefault(&p.Limits.AskWithin, 10*time.Second)
	setDefault(&p.WarmUp.From, 0.4)
	setDefault(&p.WarmUp.For, 5*time.Second)
	setDefault(&p.WarmUp.FallMultiple, 2.5)
	setDefault(&p.WarmUp.FallFor, time.Second)
}

// check finds what contradicts itself.
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
	seen := map[string]int{}
	once := func(what string, name Located[string]) {
		if name.V == "" {
			return
		}
		r.checkName(what+".name", name)
		if before := seen[what+name.V]; before > 0 {
			r.report(InvalidHost, name.Line, what+".name", quote(name.V), "", fmt.Sprintf("the name stands already in line %d", before))
		}
		seen[what+name.V] = name.Line
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		once("class", c.Name)
		if c.Aim.IsSet() && c.Deadline.IsSet() && c.Aim.V > c.Deadline.V {
			r.report(InvalidClass, c.Aim.Line, "class.aim", c.Aim.V.String(), "at most the deadline, "+c.Deadline.V.String(), "wanted later than given up")
		}
		keyed := c.Effect.V == "keyed"
		if keyed && !c.Window.Invalid && c.Window.V == 0 {
			r.report(InvalidClass, c.Line, "class.window", "", "a duration", "a keyed class needs the time for which its key is kept")
		}
		if keyed && !c.Group.Invalid && c.Group.V == "" {
			r.report(InvalidClass, c.Line, "class.group", "", "all, site, rack", "a keyed class needs the group that keeps its key")
		}
		if !keyed && c.Effect.IsSet() && c.Window.IsSet() {
			r.report(InvalidClass, c.Window.Line, "class.window", c.Window.V.String(), "", "only keyed classes have a window")
		}
		if !keyed && c.Effect.IsSet() && c.Group.IsSet() {
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
		once("host", h.Name)
		if h.Site.IsSet() && len(p.Sites.V) > 0 && !contains(p.Sites.V, h.Site.V) {
			r.report(UnknownSite, h.Site.Line, "host.site", quote(h.Site.V), strings.Join(p.Sites.V, ", "), "sites name no such site")
		}
	}
	for i := range p.Services {
		s := &p.Services[i]
		once("service", s.Name)
		parseAddress(r, "service.discovery", s.Discovery)
		for _, c := range s.Classes.V {
			if p.class(c) == nil {
				r.report(UnknownClass, s.Classes.Line, "service.classes", quote(c), strings.Join(p.classNames(), ", "), "the platform names no such class")
			}
		}
	}
}

func (p *Platform) classNames() []string {
	var all []string
	for i := range p.Classes {
		all = append(all, p.Classes[i].Name.V)
	}
	return all
}

func quote(s string) string { return fmt.Sprintf("%q", s) }

// name checks that a name can be a file's and a unit's, in any script.
func (r *fileReader) checkName(key string, a Located[string]) {
	if !a.IsSet() {
		return
	}
	why := ""
	switch {
	case len(a.V) > 64:
		why = "longer than 64 bytes"
	case !norm.NFC.IsNormalString(a.V):
		why = "not composed: another name could look the same"
	case strings.ContainsFunc(a.V, func(c rune) bool {
		return !unicode.IsLetter(c) && !unicode.IsDigit(c) && !unicode.IsMark(c) && !strings.ContainsRune("-_.", c)
	}):
		why = "it holds a character that names can't have"
	case !unicode.IsLetter([]rune(a.V)[0]) && !unicode.IsDigit([]rune(a.V)[0]):
		why = "it begins with no letter or digit"
	default:
		return
	}
	r.report(InvalidName, a.Line, key, quote(a.V), "letters, digits, - _ .", why)
}

// address checks a numeric host:port, and returns it.
func parseAddress(r *fileReader, key string, a Located[string]) (netip.AddrPort, bool) {
	if !a.IsSet() {
		return netip.AddrPort{}, false
	}
	at, err := netip.ParseAddrPort(a.V)
	if err != nil || at.Port() == 0 {
		r.report(InvalidAddress, a.Line, key, quote(a.V), `as "127.0.0.1:8500" or "[::1]:8500"`, "no numeric address with a port")
		return netip.AddrPort{}, false
	}
	return at, true
}
