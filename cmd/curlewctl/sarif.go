package main

import (
	"encoding/json"
	"io"
	"path/filepath"

	"curlewring/internal/operators/apps"
)

// printJSON prints a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// The properties of SARIF (OASIS, version 2.1.0) that findings use.
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
		ID                   string    `json:"id"`
		ShortDescription     sarifText `json:"shortDescription"`
		Help                 sarifText `json:"help"`
		DefaultConfiguration struct {
			Level string `json:"level"`
		} `json:"defaultConfiguration"`
	}
	sarifText struct {
		Text string `json:"text"`
	}
	sarifResult struct {
		RuleID    string          `json:"ruleId"`
		Level     string          `json:"level"`
		Message   sarifText       `json:"message"`
		Locations []sarifLocation `json:"locations"`
	}
	sarifLocation struct {
		PhysicalLocation struct {
			ArtifactLocation struct {
				URI string `json:"uri"`
			} `json:"artifactLocation"`
			Region *sarifRegion `json:"region,omitempty"`
		} `json:"physicalLocation"`
	}
	sarifRegion struct {
		StartLine int `json:"startLine"`
	}
)

// printSARIF prints findings as a SARIF log with one run, whose rules are all finding codes.
func printSARIF(out io.Writer, findings apps.Findings) error {
	run := sarifRun{Tool: sarifTool{sarifDriver{Name: "curlewctl check"}}, Results: []sarifResult{}}
	for _, code := range apps.Codes() {
		rule := sarifRule{ID: string(code.Code), ShortDescription: sarifText{code.Meaning}, Help: sarifText{code.Remedy}}
		rule.DefaultConfiguration.Level = "error"
		if code.Warning {
			rule.DefaultConfiguration.Level = "warning"
		}
		run.Tool.Driver.Rules = append(run.Tool.Driver.Rules, rule)
	}
	for i := range findings {
		finding := &findings[i]
		text := finding.Text
		if finding.Key != "" {
			text = finding.Key + ": " + text
		}
		if finding.Bound != "" {
			text += "; allowed: " + finding.Bound
		}
		if finding.Remedy != "" {
			text += "; instead: " + finding.Remedy
		}
		var location sarifLocation
		location.PhysicalLocation.ArtifactLocation.URI = filepath.ToSlash(finding.File)
		if finding.Line > 0 {
			location.PhysicalLocation.Region = &sarifRegion{finding.Line}
		}
		run.Results = append(run.Results, sarifResult{finding.Code, finding.Level, sarifText{text}, []sarifLocation{location}})
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(sarifLog{"https://json.schemastore.org/sarif-2.1.0.json", "2.1.0", []sarifRun{run}})
}
