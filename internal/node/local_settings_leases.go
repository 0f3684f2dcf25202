package node

import (
	"path/filepath"
	"time"

	"curlewring/internal/node/leases"
	"curlewring/internal/operators/document"
)

const minReplaceAfter, maxReplaceAfter = 10 * time.Second, 24 * time.Hour

// leases reads the table [leases].
func (r *localSettingsReader) leases(t *document.Table) *leases.Settings {
	s := &leases.Settings{}
	for _, key := range t.KeyOrder {
		v := t.Values[key]
		switch key {
		case "replace_after":
			s.ReplaceAfter = r.duration(v, "leases."+key, minReplaceAfter, maxReplaceAfter)
		case "record":
			on, ok := v.V.(bool)
			if !ok {
				r.fault(v, "leases."+key, "want true or false")
			}
			s.ShareLists = on
		default:
			r.fault(v, "leases."+key, "unknown key; known are replace_after and record")
		}
	}
	return s
}

// duration reads a duration within bounds.
func (r *localSettingsReader) duration(v document.Value, key string, shortest, longest time.Duration) time.Duration {
	text, ok := v.V.(string)
	d, err := time.ParseDuration(text)
	if !ok || err != nil || d < shortest || d > longest {
		r.fault(v, key, "want a duration as text with its unit, from %v to %v", shortest, longest)
		return shortest
	}
	return d
}

// faultInjectionEnv must be set to faultInjectionValue for the table [trial] to be accepted.
const faultInjectionEnv, faultInjectionValue = "CURLEWRING_TRIAL", "yes"

// trial reads the table [trial], which has a node fail on purpose in tests.
func (r *localSettingsReader) trial(v document.Value, t *document.Table, allowed bool) (folder string) {
	if !allowed {
		r.fault(v, "trial", "it injects faults, which is allowed only with %s=%s", faultInjectionEnv, faultInjectionValue)
	}
	for _, key := range t.KeyOrder {
		v := t.Values[key]
		folder, _ = v.V.(string)
		switch {
		case key != "folder":
			r.fault(v, "trial."+key, "unknown key; known is folder")
		case !filepath.IsAbs(folder):
			r.fault(v, "trial.folder", "want an absolute path as text")
		}
	}
	if folder == "" {
		r.missing(v, "trial.folder")
	}
	return folder
}
