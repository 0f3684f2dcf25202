package node

import (
	"strings"
	"testing"
)

// Each fault of the table [members] must be reported with its line, key, value and bound.
func TestLocalSettingsMembers(t *testing.T) {
	const good = "[members]\nfleet = \"x\"\nlisten = \"127.0.0.1:7946\"\n"
	for text, want := range map[string]string{
		good: "",
		good + "seeds = [\"127.0.0.1:7946\"]\n[members.via]\n\"127.0.0.2:1\" = \"127.0.0.3:2\"\n": "",
		"[members]\nfleet = \"x\"\nlisten = \":7946\"\n":                                          "",
		"[members]\nlisten = \":7946\"\n":                                                         "1: members.fleet: it is missing",
		"[members]\nfleet = \"x\"\n":                                                              "1: members.listen: it is missing",
		"[members]\nfleet = \"\"\nlisten = \":1\"\n":                                              `2: members.fleet = "": want a text of 1 to 64 bytes`,
		"[members]\nfleet = \"x\"\nlisten = \"here\"\n":                                           `3: members.listen = "here": want an address and a port`,
		"[members]\nfleet = \"x\"\nlisten = \"0.0.0.0:7946\"\n":                                   `3: members.listen = "0.0.0.0:7946": an unspecified address needs advertise`,
		good + "advertise = \"0.0.0.0:7946\"\n":                                                   `4: members.advertise = "0.0.0.0:7946": it is unspecified`,
		good + "seeds = []\n":                                                                     "4: members.seeds = : want a list of 1 to 6000 addresses",
		good + "seeds = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n":                                     `4: members.seeds = "127.0.0.1:1": duplicate address`,
		good + "pool = 1\n":                                                                       `4: members.pool = 1: want true or false`,
		good + "port = 3\n":                                                                       "4: members.port = 3: unknown key; known are fleet, listen",
		good + "[members.via]\nx = \"127.0.0.3:2\"\n":                                             `5: members.via.x = "127.0.0.3:2": the key is not an address`,
	} {
		local, faults := parseLocalSettings([]byte(text))
		if got := strings.Join(faults, "; "); want == "" && got != "" || !strings.HasPrefix(got, want) {
			t.Errorf("%q: %q, want %q", text, got, want)
		}
		if want == "" && (local.Members == nil || !local.Members.Listen.Addr().IsLoopback()) {
			t.Errorf("%q: %+v", text, local.Members)
		}
	}
}

// Each fault of the tables [leases] and [trial] must be reported, and [trial] must be accepted
// only with the environment variable for fault injection.
func TestLocalSettingsLeases(t *testing.T) {
	const good = "[state]\nfolder = \"/x\"\n[members]\nfleet = \"x\"\nlisten = \"127.0.0.1:7946\"\n[leases]\n"
	for text, want := range map[string]string{
		good: "",
		good + "replace_after = \"30s\"\nrecord = true\n": "",
		good + "replace_after = \"1s\"\n":                 `7: leases.replace_after = "1s": want a duration as text with its unit, from 10s to 24h0m0s`,
		good + "replace_after = 30\n":                     `7: leases.replace_after = 30: want a duration`,
		good + "record = 1\n":                             `7: leases.record = 1: want true or false`,
		good + "voters = 3\n":                             `7: leases.voters = 3: unknown key; known are replace_after and record`,
		"[leases]\n":                                      "1: leases = : it needs the tables [state] and [members]",
		"[members]\nfleet = \"x\"\nlisten = \"127.0.0.1:7946\"\n[leases]\n": "4: leases = : it needs the tables [state] and [members]",
		good + "[trial]\nfolder = \"/y\"\n":                                 "7: trial = : it injects faults, which is allowed only with CURLEWRING_TRIAL=yes",
	} {
		local, faults := parseLocalSettings([]byte(text))
		if got := strings.Join(faults, "; "); want == "" && got != "" || !strings.HasPrefix(got, want) {
			t.Errorf("%q: %q, want %q", text, got, want)
		}
		if want == "" && (local.Leases == nil || local.Leases.Folder != "/x" || local.Leases.WrapFS != nil) {
			t.Errorf("%q: %+v", text, local.Leases)
		}
	}
	t.Setenv("CURLEWRING_TRIAL", "yes")
	if local, faults := parseLocalSettings([]byte(good + "[trial]\nfolder = \"/y\"\n")); len(faults) > 0 || local.FaultFolder != "/y" || local.Leases.WrapFS == nil {
		t.Errorf("%v, %+v", faults, local)
	}
}
