package node

import (
	"log/slog"
	"net/http"
	"strings"
	"testing"

	. "curlewring/internal/node/nodetest"
)

// Debug lines must show for one request, by its X-Txn, which servers were tried, the outcomes
// and the reason of the answer. Nothing of it may be logged at level info.
func TestDebugLinesFollowARequest(t *testing.T) {
	for _, level := range []slog.Level{slog.LevelInfo, slog.LevelDebug} {
		t.Run(level.String(), func(t *testing.T) {
			s := NewServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Turned-Away", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			var lines lockedBuffer
			log := slog.New(slog.NewTextHandler(&lines, &slog.HandlerOptions{Level: level}))
			n := startNodeWithLog(t, testConfig(t, DeadAddress(t), ServerList(1, true, s.Addr()), 1024), log)
			resp, _ := exchange(t, request(t, n.url, "/act/1", "x", "X-Txn", "feedbeef"))
			if resp.StatusCode != http.StatusTooManyRequests {
				t.Fatalf("answered %s", resp.Status)
			}
			for _, want := range []string{
				"msg=request txn=feedbeef", "msg=attempt txn=feedbeef number=0", `number=3 server=`, `result="turned away"`,
				`msg=answer txn=feedbeef ending=refused reason="out of attempts" attempts=4`,
			} {
				if has := strings.Contains(lines.String(), want); has != (level == slog.LevelDebug) {
					t.Errorf("%q logged: %v\n%s", want, has, lines.String())
				}
			}
		})
	}
}
