package standin

import (
	"fmt"
	"time"

	"curlewring/internal/rig/registry"
)

// Bounds of a registry's settings.
const (
	maxLines         = 1e6
	maxQueueTimeout  = time.Minute
	maxBacklogFactor = 1000
)

// SettingError reports a setting that is out of its bounds.
type SettingError struct {
	Key      string
	Value    any
	Min, Max any
	Reason   string // explains the bounds where they are not obvious
}

func (e *SettingError) Error() string {
	text := fmt.Sprintf("%s is %v, allowed: %v to %v", e.Key, e.Value, e.Min, e.Max)
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	return text
}

// validateCapacity checks a registry's settings.
func validateCapacity(s registry.Settings) error {
	for _, bound := range []struct {
		key   string
		value float64
		max   float64
	}{
		{"registry.lines_per_second", s.LinesPerSecond, maxLines},
		{"registry.call_lines", s.LinesPerCall, maxLines},
		{"registry.overbook", s.BacklogFactor, maxBacklogFactor},
		{"registry.other_lines_per_second", s.ExternalLinesPerSecond, maxLines},
	} {
		if !(bound.value >= 0 && bound.value <= bound.max) { // also rejects NaN
			return &SettingError{Key: bound.key, Value: bound.value, Min: 0, Max: bound.max}
		}
	}
	if s.QueueTimeout < 0 || s.QueueTimeout > maxQueueTimeout {
		return &SettingError{Key: "registry.queue_timeout", Value: s.QueueTimeout, Min: time.Duration(0), Max: maxQueueTimeout}
	}
	return nil
}

// validateRegistry checks a plan's settings of discovery.
func (p *Plan) validateRegistry() error {
	if err := validateCapacity(p.Registry); err != nil {
		return err
	}
	if p.AnswerInOutage && p.Registry.QueueTimeout == 0 {
		return &SettingError{
			Key: "registry.queue_timeout", Value: p.Registry.QueueTimeout, Min: time.Nanosecond, Max: maxQueueTimeout,
			Reason: "a call during an outage of discovery is answered after it",
		}
	}
	return nil
}
