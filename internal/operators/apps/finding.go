package apps

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"curlewring/internal/operators/routes"
)

// Code identifies a kind of finding. Its meaning never changes.
type Code string

// The codes. Codes describes each of them.
const (
	Unreadable         Code = "SC001"
	TooLarge           Code = "SC002"
	EmptyFile          Code = "SC003"
	Syntax             Code = "SC004"
	DuplicateKey       Code = "SC005"
	UnknownKey         Code = "SC006"
	WrongType          Code = "SC007"
	OutOfRange         Code = "SC008"
	MissingKey         Code = "SC009"
	InvalidWord        Code = "SC010"
	InvalidName        Code = "SC011"
	NewSchema          Code = "SC013"
	ChangedDuringRead  Code = "SC014"
	DuplicateFile      Code = "SC015"
	UnknownService     Code = "SC020"
	UnknownClass       Code = "SC021"
	ClassNotServed     Code = "SC022"
	UnknownSite        Code = "SC023"
	UnknownHost        Code = "SC024"
	HostOutsideSites   Code = "SC025"
	NoListener         Code = "SC026"
	NotLoopback        Code = "SC027"
	PrivilegedPort     Code = "SC028"
	EphemeralPort      Code = "SC029"
	ApplicationPort    Code = "SC030"
	DiscoveryPort      Code = "SC031"
	InvalidAddress     Code = "SC032"
	InvalidSocket      Code = "SC033"
	UnusedRoute        Code = "SC034"
	DuplicateName      Code = "SC040"
	DuplicatePort      Code = "SC041"
	PortOfOtherApp     Code = "SC042"
	DuplicateSocket    Code = "SC043"
	HostMemory         Code = "SC044"
	HostDescriptors    Code = "SC045"
	HostCores          Code = "SC046"
	SharesExceedBudget Code = "SC047"
	CallLoop           Code = "SC050"
	AttemptsMultiply   Code = "SC051"
	ChainExceedsWindow Code = "SC052"
	NoTimeLeft         Code = "SC053"
	InsufficientTime   Code = "SC054"
	ServiceNotServed   Code = "SC055"
	HandEdited         Code = "SC060"
	OutdatedFile       Code = "SC061"
	OrphanFile         Code = "SC062"
	NotWritten         Code = "SC063"
	NodeRefuses        Code = "SC064"
	SchemaTooOld       Code = "SC065"
	SchemaTooNew       Code = "SC066"
	NoPlatform         Code = "SC070"
	InvalidClass       Code = "SC071"
	InvalidHost        Code = "SC072"
)

// CodeInfo describes a code.
type CodeInfo struct {
	Code    Code
	Warning bool   // a sidecar can start all the same
	Rule    string // one of the four rules that it protects, or "form" or "sense"
	Meaning string
	Remedy  string // what to do
}

// Codes lists all codes in their order. Findings in route tables have the codes of
// package routes.
func Codes() []CodeInfo {
	return []CodeInfo{
		{Unreadable, false, "form", "the file cannot be read", "give the tool the right to read it, or leave it out"},
		{TooLarge, false, "form", "the file is larger than 1 MB", "a description needs ten lines"},
		{EmptyFile, false, "form", "the file holds nothing", "write a description, or remove the file"},
		{Syntax, false, "form", "the text is not TOML", "mend the line that is named"},
		{DuplicateKey, false, "form", "a key stands twice", "remove one of them"},
		{UnknownKey, false, "form", "there is no such key", "see the schema in docs/; the bound lists the keys"},
		{WrongType, false, "form", "the value is of another kind", "write it as the bound shows"},
		{OutOfRange, false, "form", "the value is outside its bounds", "choose one within the bound"},
		{MissingKey, false, "form", "a key that must be there is not", "add it"},
		{InvalidWord, false, "form", "the word is none of those allowed", "use one that the bound lists"},
		{InvalidName, false, "form", "the name cannot be one: it becomes a file's and a unit's name",
			"letters and digits of any script, and - _ . within; composed (NFC), at most 64 bytes"},
		{NewSchema, false, "form", "the description is of a newer schema", "use a newer curlewctl"},
		{ChangedDuringRead, false, "sense", "the file changed while it was read", "run the check again when nobody writes there"},
		{DuplicateFile, true, "sense", "a file is reached by two names, or two files hold the same", "remove one; the first counts"},
		{UnknownService, false, "sense", "the platform names no such service", "use one that the bound lists, or add it to platform.toml"},
		{UnknownClass, false, "sense", "the platform names no such class", "use one that the bound lists"},
		{ClassNotServed, false, "sense", "the service does not serve the class", "call the service that serves it"},
		{UnknownSite, false, "sense", "the platform names no such site", "use one that the bound lists"},
		{UnknownHost, false, "sense", "the platform names no such host", "use one that the bound lists"},
		{HostOutsideSites, false, "sense", "a host is at none of the application's sites", "add the site, or take another host"},
		{NoListener, false, "sense", "the sidecar needs a port or a socket, and one only", "set port or socket"},
		{NotLoopback, false, "sense", "a sidecar serves its own application only", "listen on 127.0.0.1 or ::1, or on a socket"},
		{PrivilegedPort, false, "sense", "ports under 1024 take privileges", "choose a port from 1024 up to the ephemeral range"},
		{EphemeralPort, false, "sense", "the system gives such ports to outgoing connections: the start fails by chance",
			"choose a port below the range, or above it"},
		{ApplicationPort, false, "sense", "the application itself listens there", "choose another port for the sidecar"},
		{DiscoveryPort, false, "sense", "discovery listens there", "choose another port"},
		{InvalidAddress, false, "form", "the address cannot be read", "write host:port with a numeric host"},
		{InvalidSocket, false, "form", "the socket's path cannot be used", "an absolute path of at most 107 bytes, without . and .."},
		{UnusedRoute, false, "sense", "a route is for a class that the application does not use", "remove it, or add the class to classes"},
		{DuplicateName, false, "sense", "two descriptions have one name", "rename one"},
		{DuplicatePort, false, "sense", "two sidecars on a host have one port", "give one another port"},
		{PortOfOtherApp, false, "sense", "another application on the host listens there", "choose another port"},
		{DuplicateSocket, false, "sense", "two sidecars on a host have one socket", "give one another path"},
		{HostMemory, false, "sense", "the sidecars of a host have more memory than it gives them", "lower memory_mb, or move one"},
		{HostDescriptors, false, "sense", "the sidecars of a host have more descriptors than it gives them", "lower descriptors, or move one"},
		{HostCores, true, "sense", "the sidecars of a host have more cores than it gives them", "lower cores, or move one"},
		{SharesExceedBudget, false, "rule 4", "all sidecars before a service together may send a cold server more than its budget",
			"lower share, or raise nodes of the service"},
		{CallLoop, false, "rule 1", "applications call each other in a loop", "break the loop; a request would go round until its time is up"},
		{AttemptsMultiply, true, "rule 2", "attempts of chained sidecars multiply beyond 4", "let one of them retry, best the innermost"},
		{ChainExceedsWindow, false, "rule 2", "the last attempt of a chain may come after the key's window", "fewer attempts or shorter time-outs"},
		{NoTimeLeft, false, "rule 1", "nothing is left of the time at the end of a chain", "longer time-outs outside, less work inside"},
		{InsufficientTime, true, "rule 1", "an inner sidecar has more attempts than time for them", "longer time-outs outside, fewer attempts inside"},
		{ServiceNotServed, false, "sense", "no application serves the service, and it has no discovery", "add discovery, or who serves it"},
		{HandEdited, false, "sense", "a written file was edited by hand", "edit the description, and write again"},
		{OutdatedFile, true, "sense", "a written file is older than its description", "write again"},
		{OrphanFile, true, "sense", "a written file has no description any more", "write again: it goes with the next set"},
		{NotWritten, true, "sense", "a description was not written yet", "curlewctl write"},
		{NodeRefuses, false, "sense", "the node refuses the configuration", "mend what the node names"},
		{SchemaTooOld, true, "form", "a written configuration is of an older schema", "write again: that is the whole migration; nodes read one step older meanwhile"},
		{SchemaTooNew, false, "form", "a written configuration is newer by more than one step", "use a newer curlewring"},
		{NoPlatform, false, "form", "there is no platform file", "name it by --platform, or put platform.toml beside the descriptions"},
		{InvalidClass, false, "sense", "a class of the platform contradicts itself", "aim <= deadline; a keyed class has a window and a group"},
		{InvalidHost, false, "sense", "the platform contradicts itself", "each name once, and hosts at sites that it names"},
	}
}

// Finding is one fault in a file.
type Finding struct {
	Code   string `json:"code"`
	Level  string `json:"level"` // error, warning
	Rule   string `json:"rule"`  // rule 1 to rule 4, form, sense
	File   string `json:"file"`
	Line   int    `json:"line"` // 1 is the first; 0: the file as a whole
	Key    string `json:"key,omitempty"`
	Value  string `json:"value,omitempty"`
	Bound  string `json:"bound,omitempty"` // the values that are allowed
	Text   string `json:"text"`
	Remedy string `json:"instead,omitempty"`
}

// String formats the finding on one line, in the manner of compiler errors.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	fmt.Fprintf(&b, ": %s: %s", f.Level, f.Code)
	if f.Key != "" {
		fmt.Fprintf(&b, " %s", f.Key)
	}
	if f.Value != "" {
		fmt.Fprintf(&b, " = %s", f.Value)
	}
	fmt.Fprintf(&b, ": %s", f.Text)
	if f.Bound != "" {
		fmt.Fprintf(&b, "; allowed: %s", f.Bound)
	}
	if f.Rule != "form" && f.Rule != "sense" {
		fmt.Fprintf(&b, " (%s)", f.Rule)
	}
	if f.Remedy != "" {
		fmt.Fprintf(&b, "; instead: %s", f.Remedy)
	}
	return b.String()
}

// Findings collects the results of a check.
type Findings []Finding

// add appends a finding with a code of this package.
func (f *Findings) add(code Code, file string, line int, key, value, bound, text string) {
	for _, info := range Codes() {
		if info.Code != code {
			continue
		}
		level := "error"
		if info.Warning {
			level = "warning"
		}
		*f = append(*f, Finding{string(code), level, info.Rule, file, line, key, value, bound, text, info.Remedy})
		return
	}
	panic("apps: code is missing in Codes: " + string(code))
}

// Add appends a finding of another package, such as an unreadable file.
func (f *Findings) Add(code Code, file string, line int, text string) {
	f.add(code, file, line, "", "", "", text)
}

// addRouteFinding appends a finding of package routes.
func (f *Findings) addRouteFinding(file string, r routes.Finding) {
	*f = append(*f, Finding{string(r.Code), "error", r.Code.Rule(), file, r.Line, r.Key, r.Value, r.Bound, r.Text, ""})
}

// Sort orders findings by file, line and code, and removes duplicates.
func (f *Findings) Sort() {
	slices.SortStableFunc(*f, func(x, y Finding) int {
		return cmp.Or(cmp.Compare(x.File, y.File), cmp.Compare(x.Line, y.Line), cmp.Compare(x.Code, y.Code),
			cmp.Compare(x.Key, y.Key), cmp.Compare(x.Text, y.Text))
	})
	*f = slices.Compact(*f)
}

// Worst returns 0 without findings, 1 with warnings only, 2 with errors.
func (f Findings) Worst() int {
	worst := 0
	for i := range f {
		if f[i].Level == "error" {
			return 2
		}
		worst = 1
	}
	return worst
}
