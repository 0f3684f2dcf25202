package node

import (
	"strings"
	"testing"
)

// Each fault of [members] is told with line, key, value and bound.
func TestOwnMembers(t *testing.T) {
	const good = "[members]\nfleet = \"x\"\nlisten = \"127.0.0.1:7946\"\n"
	for text, want := range map[string]string{
		good: "",
		good + "seeds = [\"127.0.0.1:7946\"]\n[members.via]\n\"127.0.0.2:1\" = \"127.0.0.3:2\"\n": "",
		"[members]\nfleet = \"x\"\nlisten = \":7946\"\n":                                          "",
		"[members]\nlisten = \":7946\"\n":                                                         "1: members.fleet: it is missing",
		"[members]\nfleet = \"x\"\n":                                                              "1: members.listen: it is missing",
		"[members]\nfleet = \"\"\nlisten = \":1\"\n":                                              `2: members.fleet = "": want a text of 1 to 64 bytes`,
		"[members]\nfleet = \"x\"\nlisten = \"here\"\n":                                           `3: members.listen = "here": want an address and a port`,
		"[members]\nfleet = \"x\"\nlisten = \"0.0.0.0:7946\"\n":                                   `3: members.listen = "0.0.0.0:7946": with no address of its own`,
		good + "advertise = \"0.0.0.0:7946\"\n":                                                   `4: members.advertise = "0.0.0.0:7946": nobody can send`,
		good + "seeds = []\n":                                                                     "4: members.seeds = : want a list of 1 to 6000 addresses",
		good + "seeds = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n":                                     `4: members.seeds = "127.0.0.1:1": it stands there twice`,
		good + "pool = 1\n":                                                                       `4: members.pool = 1: want true or false`,
		good + "port = 3\n":                                                                       "4: members.port = 3: there are fleet, listen",
		good + "[members.via]\nx = \"127.0.0.3:2\"\n":                                             `5: members.via.x = "127.0.0.3:2": the key is no address`,
	} {
		own, faults := parseLocalSettings([]byte(text))
		if got := strings.Join(faults, "; "); want == "" && got != "" || !strings.HasPrefix(got, want) {
			t.Errorf("%q: %q, want %q", text, got, want)
		}
		if want == "" && (own.Members == nil || !own.Members.Listen.Addr().IsLoopback()) {
			t.Errorf("%q: %+v", text, own.Members)
		}
	}
}

// Each fault of [leases] and [trial] is told, and nobody fails on purpose outside a trial.
func TestOwnLeases(t *testing.T) {
	const good = "[state]\nfolder = \"/x\"\n[members]\nfleet = \"x\"\nlisten = \"127.0.0.1:7946\"\n[leases]\n"
	for text, want := range map[string]string{
		good: "",
		good + "replace_after = \"30s\"\nrecord = true\n": "",
		good + "replace_after = \"1s\"\n":                 `7: leases.replace_after = "1s": want a duration as text with its unit, from 10s to 24h0m0s`,
		good + "replace_after = 30\n":                     `7: leases.replace_after = 30: want a duration`,
		good + "record = 1\n":                             `7: leases.record = 1: want true or false`,
		good + "voters = 3\n":                             `7: leases.voters = 3: there are replace_after and record`,
		"[leases]\n":                                      "1: leases = : they need [state] and [members]",
		"[members]\nfleet = \"x\"\nlisten = \"127.0.0.1:7946\"\n[leases]\n": "4: leases = : they need [state] and [members]",
		good + "[trial]\nfolder = \"/y\"\n":                                 "7: trial = : it makes a node fail on purpose, and is read in trials alone, with CURLEWRING_TRIAL=yes",
	} {
		own, faults := parseLocalSettings([]byte(text))
		if got := strings.Join(faults, "; "); want == "" && got != "" || !strings.HasPrefix(got, want) {
			t.Errorf("%q: %q, want %q", text, got, want)
		}
		if want == "" && (own.Leases == nil || own.Leases.Folder != "/x" || own.Leases.WrapFS != nil) {
			t.Errorf("%q: %+v", text, own.Leases)
		}
	}
	t.Setenv("CURLEWRING_TRIAL", "yes")
	if own, faults := parseLocalSettings([]byte(good + "[trial]\nfolder = \"/y\"\n")); len(faults) > 0 || own.FaultFolder != "/y" || own.Leases.WrapFS == nil {
		t.Errorf("%v, %+v", faults, own)
	}
}
