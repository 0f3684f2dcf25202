package apps

import (
	"fmt"
	"strings"
	"testing"
)

// An application may name as many hosts as a fleet is planned to have. A list above
// the bound must give a finding that names key and bound.
func TestManyHosts(t *testing.T) {
	hosts := func(n int) (platform, list string) {
		var tables, names strings.Builder
		for i := range n {
			fmt.Fprintf(&tables, "[[host]]\nname = \"h%04d\"\nsite = \"zuerich\"\n", i)
			fmt.Fprintf(&names, "\"h%04d\", ", i)
		}
		return platformText + tables.String(), appText("a", "boxen", `"zustand"`, "port = 15001\nhosts = ["+names.String()+"]\n")
	}
	const plannedHosts = 5400
	platform, text := hosts(plannedHosts)
	var findings Findings
	parsedPlatform := ReadPlatform("platform.toml", []byte(platform), &findings)
	application := ReadApp("a.toml", []byte(text), parsedPlatform, &findings)
	if findings.Worst() == 2 || len(parsedPlatform.Hosts) != plannedHosts+1 || len(application.Hosts.V) != plannedHosts {
		t.Errorf("%d hosts, %d of the application: %v", len(parsedPlatform.Hosts), len(application.Hosts.V), findings)
	}
	platform, text = hosts(maxListLength + 1)
	findings = Findings{}
	ReadApp("a.toml", []byte(text), ReadPlatform("platform.toml", []byte(platform), &findings), &findings)
	reported := fmt.Sprint(findings)
	if findings.Worst() != 2 || !strings.Contains(reported, "hosts") || !strings.Contains(reported, fmt.Sprintf("1 to %d of them", maxListLength)) {
		t.Errorf("%d hosts: %s", maxListLength+1, reported)
	}
}
