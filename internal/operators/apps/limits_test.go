package apps

import (
	"fmt"
	"strings"
	"testing"
)

// An application runs on as many hosts as are planned; above the bound the finding names key, value and bound.
func TestManyHosts(t *testing.T) {
	hosts := func(n int) (platform, list string) {
		var all, names strings.Builder
		for i := range n {
			fmt.Fprintf(&all, "[[host]]\nname = \"h%04d\"\nsite = \"zuerich\"\n", i)
			fmt.Fprintf(&names, "\"h%04d\", ", i)
		}
		return platformText + all.String(), app("a", "boxen", `"zustand"`, "port = 15001\nhosts = ["+names.String()+"]\n")
	}
	const planned = 5400
	platform, text := hosts(planned)
	var findings Findings
	p := ReadPlatform("platform.toml", []byte(platform), &findings)
	a := ReadApp("a.toml", []byte(text), p, &findings)
	if findings.Worst() == 2 || len(p.Hosts) != planned+1 || len(a.Hosts.V) != planned {
		t.Errorf("%d hosts, %d of the application: %v", len(p.Hosts), len(a.Hosts.V), findings)
	}
	platform, text = hosts(maxListLength + 1)
	findings = Findings{}
	ReadApp("a.toml", []byte(text), ReadPlatform("platform.toml", []byte(platform), &findings), &findings)
	told := fmt.Sprint(findings)
	if findings.Worst() != 2 || !strings.Contains(told, "hosts") || !strings.Contains(told, fmt.Sprintf("1 to %d of them", maxListLength)) {
		t.Errorf("%d hosts: %s", maxListLength+1, told)
	}
}
