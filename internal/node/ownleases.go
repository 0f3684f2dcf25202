package node

import (
	"path/filepath"
	"time"

	"curlewring/internal/node/leases"
	"curlewring/internal/operators/document"
)

const minReplaceAfter, maxReplaceAfter = 10 * time.Second, 24 * time.Hour

// leases reads how a node takes part in the fleet's leases.
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
			r.fault(v, "leases."+key, "there are replace_after and record")
		}
	}
	return s
}

// duration reads a time span as text.
func (r *localSettingsReader) duration(v document.Value, key string, least, most time.Duration) time.Duration {
	text, ok := v.V.(string)
	d, err := time.ParseDuration(text)
	if !ok || err != nil || d < least || d > most {
		r.fault(v, key, "want a duration as text with its unit, from %v to %v", least, most)
		return least
	}
	return d
}

// trialEnv must be set where a node is to fail on purpose.
const faultInjectionEnv, faultInjectionValue = "CURLEWRING_TRIAL", "yes"

// trial reads how a node is to fail on purpose.
func (r *localSettingsReader) trial(v document.Value, t *document.Table, allowed bool) (folder string) {
	if !allowed {
		r.fault(v, "trial", "it makes a node fail on purpose, and is read in trials alone, with %s=%s", faultInjectionEnv, faultInjectionValue)
	}
	for _, key := range t.KeyOrder {
		v := t.Values[key]
		folder, _ = v.V.(string)
		switch {
		case key != "folder":
			r.fault(v, "trial."+key, "there is folder")
		case !filepath.IsAbs(folder):
			r.fault(v, "trial.folder", "want an absolute path as text")
		}
	}
	if folder == "" {
		r.missing(v, "trial.folder")
	}
	return folder
}
