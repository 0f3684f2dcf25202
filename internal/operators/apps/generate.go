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

// nodeSettings are the settings of an application's sidecars, encoded and decoded.
type nodeSettings struct {
	classes []string
	json    json.RawMessage
	decide  decide.Settings
}

// routesEnv returns what package routes needs to check route tables.
func (n *nodeSettings) routesEnv() routes.Env {
	return routes.Env{Classes: n.classes, Settings: n.decide}
}

// settingsJSON is the settings object in the order in which it is written. Package
// settings reads the same keys.
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

// makeNodeSettings builds the settings of an application's sidecars without the
// values that depend on the host; nil if the platform is not complete enough.
func (a *App) makeNodeSettings(p *Platform) *nodeSettings {
	text := a.settingsFor(p, "", firstNonEmpty(firstOrEmpty(a.Sites.V), "-"))
	n := &nodeSettings{json: text}
	var object settings.Object
	if json.Unmarshal(text, &object) != nil {
		return nil
	}
	translated, err := object.Translate()
	if err != nil {
		return nil
	}
	n.decide = translated
	for _, category := range object.Categories {
		n.classes = append(n.classes, category.Name)
	}
	return n
}

// firstOrEmpty returns the first element, or "" of an empty list.
func firstOrEmpty(list []string) string {
	if len(list) > 0 {
		return list[0]
	}
	return ""
}

// settingsFor encodes the settings of a sidecar on a host; nil if they can't be
// encoded.
func (a *App) settingsFor(p *Platform, host, site string) json.RawMessage {
	object := settingsJSON{
		Limits: limitsJSON{
			Cancel: true, ConnIdle: p.Limits.ConnIdle.V, ConnectTimeout: p.Limits.ConnectTimeout.V, SecondCopies: p.Limits.SecondCopies.V,
			RetryAfter: p.Limits.MaxRetryAfter.V > 0, MaxRetryAfter: p.Limits.MaxRetryAfter.V, MaxTries: p.Limits.MaxAttempts.V, StreamsPerConn: 1,
		},
		Obligations: obligationsJSON{
			AskWithin: p.Limits.ResubscribeWithin.V, ColdFrom: p.WarmUp.ColdCapacity.V, ColdFor: p.WarmUp.WarmupTime.V, DrainGrace: p.Limits.DrainGrace.V,
			FallMultiple: p.WarmUp.CollapseMultiple.V, FallFor: p.WarmUp.CollapseWindow.V, AnswerGrace: p.Limits.AnswerGrace.V,
		},
		Areas: p.Sites.V, Me: a.instanceNumber(host), Instances: a.budgetParts(), RegistryMode: "subscribe", Tiers: []string{firstNonEmpty(a.Service.V, "-")},
		WeightSource: "none", Zone: site,
	}
	object.Callers.MarksRetry, object.Family.PassesDeadline = true, true
	semantics := map[string]string{"repeatable": "repeatable", "keyed": "by_key", "once": "once"}
	groups := map[string]string{"all": "all", "site": "zone", "rack": "cell"}
	for _, name := range a.Classes.V {
		if c := p.class(name); c != nil {
			object.Categories = append(object.Categories, categoryJSON{
				Name: name, Aim: c.LatencyTarget.V, Deadline: c.Deadline.V, Worth: c.Worth.V, Semantics: semantics[c.Idempotency.V],
				Group: firstNonEmpty(groups[c.Group.V], "all"), KeyTTL: c.KeyTTL.V,
			})
		}
	}
	text, err := json.Marshal(object)
	if err != nil { // only NaN or an infinity, which the reader rejects
		return nil
	}
	return text
}

// instanceNumber returns the sidecar's number among all nodes. It is a hash of names
// only, so that other applications never change it; two sidecars may share one.
func (a *App) instanceNumber(host string) int {
	hash := fnv.New32a()
	hash.Write([]byte(a.Name.V + "\x00" + host))
	return int(hash.Sum32() >> 12)
}

// GeneratedFile is one file of a generated set.
type GeneratedFile struct {
	Path string // separated by slashes, relative to the set's folder
	Text []byte
}

// provenanceJSON says how a generated file was made.
type provenanceJSON struct {
	Generator      string `json:"by"`
	Source         string `json:"source"`
	SourceSHA256   string `json:"source_sha256"`
	PlatformSHA256 string `json:"platform_sha256"`
	Checksum       string `json:"sum"`
}

// GeneratorName is the generator's name in generated files.
const GeneratorName = "curlewctl write"

// checksumPlaceholder stands in for a file's checksum while that is computed.
func checksumPlaceholder() string { return strings.Repeat("0", checksumLength) }

// Sources holds the texts that a set was read from, by file name.
type Sources map[string][]byte

// sha256Hex returns the SHA-256 of a text in hexadecimal.
func sha256Hex(text []byte) string {
	hash := sha256.Sum256(text)
	return hex.EncodeToString(hash[:])
}

// A generated file contains its own checksum behind one of these prefixes.
const (
	jsonChecksumPrefix    = `"sum": "`
	commentChecksumPrefix = "# sum "
	checksumLength        = sha256.Size * 2
)

// VerifyChecksum reports whether a file contains a checksum, and whether that
// matches its text.
func VerifyChecksum(text []byte) (valid, present bool) {
	for _, prefix := range []string{jsonChecksumPrefix, commentChecksumPrefix} {
		start := bytes.Index(text, []byte(prefix))
		if start < 0 || start+len(prefix)+checksumLength > len(text) {
			continue
		}
		start += len(prefix)
		cleared := bytes.Clone(text)
		copy(cleared[start:], checksumPlaceholder())
		return sha256Hex(cleared) == string(text[start:start+checksumLength]), true
	}
	return false, false
}

// insertChecksum replaces the placeholder behind the first prefix by the checksum
// of the text. It changes text in place.
func insertChecksum(text []byte, prefix string) []byte {
	checksum := sha256Hex(text)
	start := bytes.Index(text, []byte(prefix)) + len(prefix)
	copy(text[start:], checksum)
	return text
}

// Generate makes all files of a set: for each sidecar on each host its node's
// configuration, its route table if it has routes, and its systemd unit. The same
// sources give the same bytes. The set must be without errors.
func (s *Set) Generate(sources Sources) []GeneratedFile {
	files := []GeneratedFile{}
	platformSHA256 := sha256Hex(sources[s.Platform.File])
	for _, a := range s.Apps {
		sourceSHA256 := sha256Hex(sources[a.File])
		for _, host := range a.Hosts.V {
			site := ""
			if h := s.Platform.host(host); h != nil {
				site = h.Site.V
			}
			dir := path.Join(host, a.Name.V)
			files = append(files, GeneratedFile{path.Join(dir, "node.json"), a.nodeConfig(s.Platform, host, site, sourceSHA256, platformSHA256)})
			if len(a.routeTables()) > 0 {
				files = append(files, GeneratedFile{path.Join(dir, "operator.toml"), a.operatorFile(sourceSHA256)})
			}
			files = append(files, GeneratedFile{path.Join(host, "units", unitName(a.Name.V)), a.systemdUnit(s.Platform, host, sourceSHA256)})
		}
	}
	return files
}

// nodeConfig generates a node's configuration; nil if it can't be encoded.
func (a *App) nodeConfig(p *Platform, host, site, sourceSHA256, platformSHA256 string) []byte {
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
	config := struct {
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
		Written:   provenanceJSON{GeneratorName, path.Base(a.File), sourceSHA256, platformSHA256, checksumPlaceholder()},
		Name:      a.Name.V + "@" + host,
		Discovery: a.Discovery.V, Seed: sha256Hex([]byte(a.Name.V + "\x00" + host))[:16],
		Limits:   limits{a.Cores.V, a.MemoryMB.V, a.Descriptors.V},
		Budgets:  p.Limits.Budgets.V,
		Sidecar:  sidecar{a.Application.V, a.Socket.V, a.Command.V},
		Settings: a.settingsFor(p, host, site),
	}
	if a.listenAddress.IsValid() {
		config.Listen = a.listenAddress.String()
	}
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(config); err != nil { // only NaN or an infinity, which the reader rejects
		return nil
	}
	return insertChecksum(b.Bytes(), jsonChecksumPrefix)
}

// operatorFile generates the node's file of route tables from the routes of the
// application's description.
func (a *App) operatorFile(sourceSHA256 string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# written by %s from %s (sha256 %s): edit that\n", GeneratorName, path.Base(a.File), sourceSHA256)
	fmt.Fprintf(&b, "%s%s\n\n", commentChecksumPrefix, checksumPlaceholder())
	fmt.Fprintf(&b, "route_count = %d\n\n", len(a.routeTables()))
	b.Write(bytes.TrimLeft(a.Routes, "\n"))
	if !bytes.HasSuffix(b.Bytes(), []byte("\n")) {
		b.WriteByte('\n')
	}
	return insertChecksum(b.Bytes(), commentChecksumPrefix)
}

// routeTables returns the routes of the description; none if they were not read.
func (a *App) routeTables() []routes.Route {
	if a.routesFile == nil {
		return nil
	}
	return a.routesFile.Routes
}

// unitName returns the name of a sidecar's unit, escaped by the rules of systemd
// (systemd.unit(5), "String escaping for inclusion in unit names").
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

// systemdUnit generates the sidecar's unit (systemd.service(5),
// systemd.resource-control(5)). With a command the sidecar starts its application.
// Without one the application's own unit has to be bound to the sidecar's: Requires=
// and After= there, Before= and PartOf= here.
func (a *App) systemdUnit(p *Platform, host, sourceSHA256 string) []byte {
	dir := path.Join("/etc/curlewring/current", host, a.Name.V)
	var b bytes.Buffer
	fmt.Fprintf(&b, "# written by %s from %s (sha256 %s): edit that\n", GeneratorName, path.Base(a.File), sourceSHA256)
	fmt.Fprintf(&b, "%s%s\n\n", commentChecksumPrefix, checksumPlaceholder())
	fmt.Fprintf(&b, "[Unit]\nDescription=curlewring beside %s\nAfter=network.target\nStartLimitIntervalSec=0\n", escapeUnitWord(a.Application.V))
	if len(a.Command.V) == 0 {
		fmt.Fprintf(&b, "Before=%s.service\nPartOf=%s.service\n", unitNamePart(a.Application.V), unitNamePart(a.Application.V))
	}
	longestDeadline := time.Duration(0)
	for _, name := range a.Classes.V {
		if c := p.class(name); c != nil {
			longestDeadline = max(longestDeadline, c.Deadline.V)
		}
	}
	command := escapeUnitWord(p.Sidecar.Binary.V)
	if len(a.routeTables()) > 0 {
		command += " --operator " + escapeUnitWord(path.Join(dir, "operator.toml"))
	}
	fmt.Fprintf(&b, "\n[Service]\nType=exec\nUser=%s\nEnvironment=%s\nExecStart=%s\nExecReload=/bin/kill -HUP $MAINPID\n",
		escapeUnitWord(p.Sidecar.User.V), escapeUnitWord("LB_CONFIG="+path.Join(dir, "node.json")), command)
	fmt.Fprintf(&b, "Restart=always\nRestartSec=200ms\nKillSignal=SIGTERM\nKillMode=mixed\nTimeoutStopSec=%ds\n", int((longestDeadline + 5*time.Second).Seconds()))
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

// unitNamePart returns a name escaped for use in the name of a unit.
func unitNamePart(name string) string {
	return strings.TrimSuffix(strings.TrimPrefix(unitName(name), "curlewring-"), ".service")
}

// escapeUnitWord quotes a word of a unit (systemd.syntax(7), "Quoting") and escapes
// percent signs and dollars, which systemd would expand.
func escapeUnitWord(s string) string {
	s = strings.NewReplacer("%", "%%", "$", "$$").Replace(s)
	if strings.ContainsAny(s, " \t\"'\\;") {
		return strconv.Quote(s)
	}
	return s
}

// routeAt returns the route that begins in a line; an empty one if there is none.
func (a *App) routeAt(line int) *routes.Route {
	for i := range a.routeTables() {
		if a.routesFile.Routes[i].Line == line {
			return &a.routesFile.Routes[i]
		}
	}
	return &routes.Route{}
}
