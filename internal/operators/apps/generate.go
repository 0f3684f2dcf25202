package apps

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"path"
	"strconv"
	"strings"
	"time"

	"curlewring/decide"
	"curlewring/internal/operators/routes"
	"curlewring/internal/operators/settings"
)

// nodeSettings are the settings that a sidecar's node goes by.
type nodeSettings struct {
	classes []string
	json    json.RawMessage
	decide  decide.Settings
}

func (n *nodeSettings) routesEnv() routes.Env {
	return routes.Env{Classes: n.classes, Settings: n.decide}
}

// The settings object, in the order in which it is written. The names are those
// of the platform's page, as package settings reads them.
type settingsJSON struct {
	Categories  []categoryJSON  `json:"categories"`
	Limits      limitsJSON      `json:"limits"`
	Obligations obligationsJSON `json:"obligations"`
	Callers     struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"callers"`
	Family struct {
		PassesDeadline bool `json:"passes_deadline"`
	} `json:"family_info"`
	Areas        []string `json:"areas"`
	Me           int      `json:"me"`
	Instances    int      `json:"n_instances"`
	RegistryMode string   `json:"registry_mode"`
	Tier         int      `json:"tier"`
	Tiers        []string `json:"tiers"`
	WeightSource string   `json:"weight_source"`
	Zone         string   `json:"zone"`
}

type categoryJSON struct {
	Name      string        `json:"name"`
	Aim       time.Duration `json:"aim_ns"`
	Deadline  time.Duration `json:"deadline_ns"`
	Worth     float64       `json:"worth"`
	LateWorth float64       `json:"late_worth"`
	Semantics string        `json:"semantics"`
	Group     string        `json:"group"`
	KeyTTL    time.Duration `json:"key_ttl_ns"`
}

type limitsJSON struct {
	Cancel         bool          `json:"cancel"`
	ConnIdle       time.Duration `json:"conn_idle_ns"`
	ConnectTimeout time.Duration `json:"connect_timeout_ns"`
	MayProbe       bool          `json:"may_probe"`
	SecondCopies   bool          `json:"second_copies"`
	RetryAfter     bool          `json:"retry_after"`
	MaxRetryAfter  time.Duration `json:"max_retry_after_ns"`
	MaxHeld        int           `json:"most_held"`
	MaxTries       int           `json:"most_tries"`
	StreamsPerConn int           `json:"streams_per_conn"`
}

type obligationsJSON struct {
	AskWithin    time.Duration `json:"ask_within_ns"`
	ColdFrom     float64       `json:"cold_from"`
	ColdFor      time.Duration `json:"cold_ns"`
	DrainGrace   time.Duration `json:"drain_grace_ns"`
	FallMultiple float64       `json:"fall_multiple"`
	FallFor      time.Duration `json:"fall_ns"`
	AnswerGrace  time.Duration `json:"grace_to_answer_ns"`
}

// node makes the settings of an application's sidecars, less what differs from
// host to host; nil where the platform lacks what is needed for it.
func (a *App) makeNodeSettings(p *Platform) *nodeSettings {
	text := a.settingsFor(p, "", firstNonEmpty(firstOrEmpty(a.Sites.V), "-"))
	n := &nodeSettings{json: text}
	var object settings.Object
	if json.Unmarshal(text, &object) != nil {
		return nil
	}
	set, err := object.Translate()
	if err != nil {
		return nil
	}
	n.decide = set
	for _, c := range object.Categories {
		n.classes = append(n.classes, c.Name)
	}
	return n
}

func firstOrEmpty(all []string) string {
	if len(all) > 0 {
		return all[0]
	}
	return ""
}

// settingsFor makes the settings of a sidecar on a host.
func (a *App) settingsFor(p *Platform, host, site string) json.RawMessage {
	t := settingsJSON{
		Limits: limitsJSON{
			Cancel: true, ConnIdle: p.Limits.ConnIdle.V, ConnectTimeout: p.Limits.ConnectTimeout.V, SecondCopies: p.Limits.SecondCopies.V,
			RetryAfter: p.Limits.MaxRetryAfter.V > 0, MaxRetryAfter: p.Limits.MaxRetryAfter.V, MaxTries: p.Limits.MaxAttempts.V, StreamsPerConn: 1,
		},
		Obligations: obligationsJSON{
			AskWithin: p.Limits.AskWithin.V, ColdFrom: p.WarmUp.From.V, ColdFor: p.WarmUp.For.V, DrainGrace: p.Limits.DrainGrace.V,
			FallMultiple: p.WarmUp.FallMultiple.V, FallFor: p.WarmUp.FallFor.V, AnswerGrace: p.Limits.AnswerGrace.V,
		},
		Areas: p.Sites.V, Me: a.instanceNumber(host), Instances: a.budgetParts(), RegistryMode: "subscribe", Tiers: []string{firstNonEmpty(a.Service.V, "-")},
		WeightSource: "none", Zone: site,
	}
	t.Callers.MarksRetry, t.Family.PassesDeadline = true, true
	words := map[string]string{"repeatable": "repeatable", "keyed": "by_key", "once": "once"}
	groups := map[string]string{"all": "all", "site": "zone", "rack": "cell"}
	for _, name := range a.Classes.V {
		if c := p.class(name); c != nil {
			t.Categories = append(t.Categories, categoryJSON{
				Name: name, Aim: c.Aim.V, Deadline: c.Deadline.V, Worth: c.Worth.V, Semantics: words[c.Effect.V],
				Group: firstNonEmpty(groups[c.Group.V], "all"), KeyTTL: c.Window.V,
			})
		}
	}
	text, err := json.Marshal(t)
	if err != nil { // numbers that are none, which the reading keeps out
		return nil
	}
	return text
}

// number is a sidecar's among all nodes. It depends on nothing but names, so
// that no other application changes it; two may share one.
func (a *App) instanceNumber(host string) int {
	h := fnv.New32a()
	h.Write([]byte(a.Name.V + "\x00" + host))
	return int(h.Sum32() >> 12)
}

// Written is one file of a set.
type GeneratedFile struct {
	Path string // with slashes, below the set's folder
	Text []byte
}

// What a written file says of itself.
type provenanceJSON struct {
	Generator      string `json:"by"`
	Source         string `json:"source"`
	SourceSHA256   string `json:"source_sha256"`
	PlatformSHA256 string `json:"platform_sha256"`
	Checksum       string `json:"sum"`
}

// By is the writer's name in what it has written.
const GeneratorName = "curlewctl write"

// zeros stand in the place of a file's sum while that is made.
func checksumPlaceholder() string { return strings.Repeat("0", checksumLength) }

// Sources are the texts that a set is made of, by the files' names.
type Sources map[string][]byte

func sha256Hex(text []byte) string {
	s := sha256.Sum256(text)
	return hex.EncodeToString(s[:])
}

// sumMark is in front of a file's own sum, in JSON and in a comment alike.
const (
	jsonChecksumPrefix    = `"sum": "`
	commentChecksumPrefix = "# sum "
	checksumLength        = sha256.Size * 2
)

// Sealed tells whether a written file is as it was written; marked says whether
// it claims to be one.
func VerifyChecksum(text []byte) (sealed, marked bool) {
	for _, mark := range []string{jsonChecksumPrefix, commentChecksumPrefix} {
		at := bytes.Index(text, []byte(mark))
		if at < 0 || at+len(mark)+checksumLength > len(text) {
			continue
		}
		at += len(mark)
		open := bytes.Clone(text)
		copy(open[at:], checksumPlaceholder())
		return sha256Hex(open) == string(text[at:at+checksumLength]), true
	}
	return false, false
}

// seal puts a file's sum in the place of the zeros behind the first mark.
func insertChecksum(text []byte, mark string) []byte {
	s := sha256Hex(text)
	at := bytes.Index(text, []byte(mark)) + len(mark)
	copy(text[at:], s)
	return text
}

// Write makes all files of a set: for each sidecar on each host its node's
// configuration, its timing rules where it has any, and its unit. The same
// sources give the same bytes. The set must hold no error.
func (s *Set) Generate(sources Sources) []GeneratedFile {
	all := []GeneratedFile{}
	shared := sha256Hex(sources[s.Platform.File])
	for _, a := range s.Apps {
		source := sha256Hex(sources[a.File])
		for _, host := range a.Hosts.V {
			site := ""
			if h := s.Platform.host(host); h != nil {
				site = h.Site.V
			}
			dir := path.Join(host, a.Name.V)
			all = append(all, GeneratedFile{path.Join(dir, "node.json"), a.nodeConfig(s.Platform, host, site, source, shared)})
			if len(a.routeTables()) > 0 {
				all = append(all, GeneratedFile{path.Join(dir, "operator.toml"), a.operatorFile(source)})
			}
			all = append(all, GeneratedFile{path.Join(host, "units", unitName(a.Name.V)), a.systemdUnit(s.Platform, host, source)})
		}
	}
	return all
}

// config is a node's configuration.
func (a *App) nodeConfig(p *Platform, host, site, source, shared string) []byte {
	type sidecar struct {
		Application string   `json:"application"`
		Socket      string   `json:"socket,omitempty"`
		Command     []string `json:"command,omitempty"`
	}
	type limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	}
	c := struct {
		Schema    int             `json:"schema"`
		Written   provenanceJSON  `json:"written"`
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    limits          `json:"limits"`
		Budgets   bool            `json:"budgets,omitempty"`
		Sidecar   sidecar         `json:"sidecar"`
		Settings  json.RawMessage `json:"settings"`
	}{
		Schema:    Schema,
		Written:   provenanceJSON{GeneratorName, path.Base(a.File), source, shared, checksumPlaceholder()},
		Name:      a.Name.V + "@" + host,
		Discovery: a.Discovery.V, Seed: sha256Hex([]byte(a.Name.V + "\x00" + host))[:16],
		Limits:   limits{a.Cores.V, a.MemoryMB.V, a.Descriptors.V},
		Budgets:  p.Limits.Budgets.V,
		Sidecar:  sidecar{a.Application.V, a.Socket.V, a.Command.V},
		Settings: a.settingsFor(p, host, site),
	}
	if a.listenAddress.IsValid() {
		c.Listen = a.listenAddress.String()
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	if err := e.Encode(c); err != nil { // numbers that are none, which the reading keeps out
		return nil
	}
	return insertChecksum(b.Bytes(), jsonChecksumPrefix)
}

// operator is the node's file of timing rules: the application's routes in the
// lines where they stand in its description.
func (a *App) operatorFile(source string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# written by %s from %s (sha256 %s): edit that\n", GeneratorName, path.Base(a.File), source)
	fmt.Fprintf(&b, "%s%s\n\n", commentChecksumPrefix, checksumPlaceholder())
	fmt.Fprintf(&b, "route_count = %d\n\n", len(a.routeTables()))
	b.Write(bytes.TrimLeft(a.Routes, "\n"))
	if !bytes.HasSuffix(b.Bytes(), []byte("\n")) {
		b.WriteByte('\n')
	}
	return insertChecksum(b.Bytes(), commentChecksumPrefix)
}

func (a *App) routeTables() []routes.Route {
	if a.routesFile == nil {
		return nil
	}
	return a.routesFile.Routes
}

// unitName is the unit's name, escaped as systemd does it (systemd.unit(5),
// "String escaping for inclusion in unit names").
func unitName(name string) string {
	var b strings.Builder
	b.WriteString("curlewring-")
	for i := 0; i < len(name); i++ {
		c := name[i]
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '_', c == '.':
			b.WriteByte(c)
		default:
			fmt.Fprintf(&b, `\x%02x`, c)
		}
	}
	b.WriteString(".service")
	return b.String()
}

// unit is the sidecar's systemd unit (systemd.service(5), systemd.resource-control(5)).
// With a command the sidecar starts its application; else the application's own
// unit is bound to it: Requires= and After= in that, PartOf= in this one.
func (a *App) systemdUnit(p *Platform, host, source string) []byte {
	dir := path.Join("/etc/curlewring/current", host, a.Name.V)
	var b bytes.Buffer
	fmt.Fprintf(&b, "# written by %s from %s (sha256 %s): edit that\n", GeneratorName, path.Base(a.File), source)
	fmt.Fprintf(&b, "%s%s\n\n", commentChecksumPrefix, checksumPlaceholder())
	fmt.Fprintf(&b, "[Unit]\nDescription=curlewring beside %s\nAfter=network.target\nStartLimitIntervalSec=0\n", escapeUnitWord(a.Application.V))
	if len(a.Command.V) == 0 {
		fmt.Fprintf(&b, "Before=%s.service\nPartOf=%s.service\n", unitNamePart(a.Application.V), unitNamePart(a.Application.V))
	}
	longest := time.Duration(0)
	for _, name := range a.Classes.V {
		if c := p.class(name); c != nil {
			longest = max(longest, c.Deadline.V)
		}
	}
	exec := escapeUnitWord(p.Sidecar.Binary.V)
	if len(a.routeTables()) > 0 {
		exec += " --operator " + escapeUnitWord(path.Join(dir, "operator.toml"))
	}
	fmt.Fprintf(&b, "\n[Service]\nType=exec\nUser=%s\nEnvironment=%s\nExecStart=%s\nExecReload=/bin/kill -HUP $MAINPID\n",
		escapeUnitWord(p.Sidecar.User.V), escapeUnitWord("LB_CONFIG="+path.Join(dir, "node.json")), exec)
	fmt.Fprintf(&b, "Restart=always\nRestartSec=200ms\nKillSignal=SIGTERM\nKillMode=mixed\nTimeoutStopSec=%ds\n", int((longest + 5*time.Second).Seconds()))
	if a.Socket.IsSet() {
		if dir, ok := strings.CutPrefix(path.Dir(a.Socket.V), "/run/"); ok && !strings.Contains(dir, "/") {
			fmt.Fprintf(&b, "RuntimeDirectory=%s\nRuntimeDirectoryPreserve=yes\n", escapeUnitWord(dir))
		}
		b.WriteString("UMask=0117\n")
	}
	fmt.Fprintf(&b, "MemoryMax=%dM\nLimitNOFILE=%d\nCPUQuota=%d%%\nNoNewPrivileges=yes\n", a.MemoryMB.V*3/2, a.Descriptors.V,
		max(1, int(a.Cores.V*100+0.5)))
	fmt.Fprintf(&b, "\n[Install]\nWantedBy=multi-user.target\n")
	return insertChecksum(b.Bytes(), commentChecksumPrefix)
}

func unitNamePart(name string) string {
	return strings.TrimSuffix(strings.TrimPrefix(unitName(name), "curlewring-"), ".service")
}

// escaped quotes a word of a unit (systemd.syntax(7), "Quoting"); percent signs
// and dollars would be replaced.
func escapeUnitWord(s string) string {
	s = strings.NewReplacer("%", "%%", "$", "$$").Replace(s)
	if strings.ContainsAny(s, " \t\"'\\;") {
		return strconv.Quote(s)
	}
	return s
}

func (a *App) routeAt(line int) *routes.Route {
	for i := range a.routeTables() {
		if a.routesFile.Routes[i].Line == line {
			return &a.routesFile.Routes[i]
		}
	}
	return &routes.Route{}
}
