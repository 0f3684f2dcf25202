package main

import (
	"encoding/json"
	"io"
	"path/filepath"

	"curlewring/internal/operators/apps"
)

// printJSON prints as people read it.
func printJSON(out io.Writer, x any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(x)
}

// The parts of SARIF (OASIS, version 2.1.0) that findings need.
type (
	sarifLog struct {
		Schema  string     `json:"$schema"`
		Version string     `json:"version"`
		Runs    []sarifRun `json:"runs"`
	}
	sarifRun struct {
		Tool    sarifTool     `json:"tool"`
		Results []sarifResult `json:"results"`
	}
	sarifTool struct {
		Driver sarifDriver `json:"driver"`
	}
	sarifDriver struct {
		Name  string      `json:"name"`
		Rules []sarifRule `json:"rules"`
	}
	sarifRule struct {
		ID      string    `json:"id"`
		Short   sarifText `json:"shortDescription"`
		Help    sarifText `json:"help"`
		Default struct {
			Level string `json:"level"`
		} `json:"defaultConfiguration"`
	}
	sarifText struct {
		Text string `json:"text"`
	}
	sarifResult struct {
		Rule      string          `json:"ruleId"`
		Level     string          `json:"level"`
		Message   sarifText       `json:"message"`
		Locations []sarifLocation `json:"locations"`
	}
	sarifLocation struct {
		Physical struct {
			Artifact struct {
				URI string `json:"uri"`
			} `json:"artifactLocation"`
			Region *sarifRegion `json:"region,omitempty"`
		} `json:"physicalLocation"`
	}
	sarifRegion struct {
		Line int `json:"startLine"`
	}
)

func printSARIF(out io.Writer, findings apps.Findings) error {
	run := sarifRun{Tool: sarifTool{sarifDriver{Name: "curlewctl check"}}, Results: []sarifResult{}}
	for _, a := range apps.Codes() {
		rule := sarifRule{ID: string(a.Code), Short: sarifText{a.Meaning}, Help: sarifText{a.Remedy}}
		rule.Default.Level = "error"
		if a.Warning {
			rule.Default.Level = "warning"
		}
		run.Tool.Driver.Rules = append(run.Tool.Driver.Rules, rule)
	}
	for i := range findings {
		f := &findings[i]
		text := f.Text
		if f.Key != "" {
			text = f.Key + ": " + text
		}
		if f.Bound != "" {
			text += "; allowed: " + f.Bound
		}
		if f.Remedy != "" {
			text += "; instead: " + f.Remedy
		}
		var at sarifLocation
		at.Physical.Artifact.URI = filepath.ToSlash(f.File)
		if f.Line > 0 {
			at.Physical.Region = &sarifRegion{f.Line}
		}
		run.Results = append(run.Results, sarifResult{f.Code, f.Level, sarifText{text}, []sarifLocation{at}})
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(sarifLog{"https://json.schemastore.org/sarif-2.1.0.json", "2.1.0", []sarifRun{run}})
}
