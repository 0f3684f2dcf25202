package front

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Slow turns and late answers are told as a warning, but not each second, and a calm second only at level debug.
func TestLoadIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		level    slog.Level
		turn     time.Duration // length of the longest turn in each second
		late     int
		seconds  int
		warnings int
		details  int
	}{
		"calm":             {slog.LevelInfo, time.Millisecond, 0, 25, 0, 0},
		"calm, debug":      {slog.LevelDebug, time.Millisecond, 0, 25, 0, 25},
		"slow turns":       {slog.LevelInfo, slowTurn, 0, 25, 3, 0},
		"slow turns once":  {slog.LevelInfo, slowTurn, 0, 1, 1, 0},
		"late answers":     {slog.LevelInfo, time.Millisecond, 1, 25, 3, 0},
		"slow turns debug": {slog.LevelDebug, slowTurn, 0, 25, 3, 22},
	} {
		t.Run(name, func(t *testing.T) {
			var text bytes.Buffer
			log := slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{Level: c.level}))
			m := newLoadMonitor(log, c.level == slog.LevelDebug, 0)
			for second := range c.seconds {
				m.requestReceived(77, 5, 100)
				m.current.late += c.late
				end := time.Duration(second+1) * time.Second
				m.turnEnded(end-c.turn, end, 3)
			}
			warnings, details := strings.Count(text.String(), "serving clients is slow"), strings.Count(text.String(), "clients served")
			if warnings != c.warnings || details != c.details {
				t.Errorf("%d warnings and %d debug lines, want %d and %d", warnings, details, c.warnings, c.details)
			}
			if warnings > 0 && !strings.Contains(text.String(), "queued=3 busiest=77 in_a_row=5 unread=100") {
				t.Errorf("the line does not tell the busiest connection: %s", text.String())
			}
		})
	}
}
