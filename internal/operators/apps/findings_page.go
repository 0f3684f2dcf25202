package apps

import (
	"fmt"
	"strings"
)

// FindingsPage returns the text of docs/operators/findings.md, with the meaning of
// every code and the remedy.
func FindingsPage() string {
	var b strings.Builder
	b.WriteString(`# Findings of curlewctl check

This page is made from the code; a test keeps it current.

A finding is one line: file, line, level, code, key and value, what is wrong, what is allowed, the rule that it guards, and
what to write instead. The exit code is 0 without findings, 1 with warnings only, 2 with errors; ` + "`--json` and `--sarif`" + `
print the same for programs. A code never changes its meaning. Codes RT001 to RT071 are those of timing rules: see
[routes.md](routes.md). Errors keep ` + "`curlewctl write`" + ` from writing; warnings don't.

| code | level | rule | what it means | what to do |
| --- | --- | --- | --- | --- |
`)
	for _, info := range Codes() {
		level := "error"
		if info.Warning {
			level = "warning"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", info.Code, level, info.Rule, info.Meaning, info.Remedy)
	}
	b.WriteString(`
The four rules: 1, each request gets one answer before its client's time is up; 2, no effect twice; 3, nothing new to a server
that drains or is gone; 4, a cold server is never sent more than its budget by all nodes together.
`)
	return b.String()
}
