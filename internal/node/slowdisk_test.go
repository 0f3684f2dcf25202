package node

import (
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"curlewring/internal/node/disk"
	. "curlewring/internal/node/nodetest"
)

// Compares the p99 of response times while servers drain and come back all the time, between a
// node that saves state on a disk with syncs of 2 s and one without saved state. The figures
// are for docs/PERFORMANCE.md.
func TestSlowDiskAgainstNone(t *testing.T) {
	if os.Getenv("CURLEWRING_LONG") == "" {
		t.Skip("CURLEWRING_LONG is not set")
	}
	p99 := func(syncTime time.Duration, saveState bool) time.Duration {
		a := NewServer(t, RespondWith("fine"))
		d := NewDiscoveryServer(t)
		c := testConfig(t, d.Listener.Addr().String(), "null", 1024)
		if saveState {
			f, err := disk.Open(filepath.Join(t.TempDir(), "s"))
			if err != nil {
				t.Fatal(err)
			}
			c.State = State{MaxMB: 16, fs: &slowDisk{FS: f, syncTime: syncTime}}
		}
		n := startNode(t, c)
		d.SendList(t, ServerList(1, true, a.Addr()))
		WaitFor(t, "ready", func() bool { return n.loop.ready.Load() })
		stop, listsDone := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(listsDone)
			for g := 2; ; g++ {
				select {
				case <-stop:
					return
				default:
					d.SendList(t, longListOf(g, false, 200, 1, [...]string{"DELETED", "DRAINING"}[g%2], ""))
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
		var mu sync.Mutex
		var took []time.Duration
		var clients sync.WaitGroup
		for range 8 {
			clients.Go(func() {
				tr := &http.Transport{}
				defer tr.CloseIdleConnections()
				client := &http.Client{Transport: tr}
				for startTime := time.Now(); time.Since(startTime) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
					at := time.Now()
					resp, err := client.Do(request(t, n.url, "/look/1", ""))
					if err != nil {
						t.Error(err)
						return
					}
					resp.Body.Close()
					mu.Lock()
					took = append(took, time.Since(at))
					mu.Unlock()
				}
			})
		}
		clients.Wait()
		close(stop)
		<-listsDone
		n.cancel()
		<-n.ended
		if saveState {
			WaitFor(t, "the state writer stops", func() bool { return n.stateWriter.Wait(time.Millisecond) == nil })
		}
		slices.Sort(took)
		return took[len(took)*99/100]
	}
	var none, slow []time.Duration
	for range 3 {
		none, slow = append(none, p99(0, false)), append(slow, p99(2*time.Second, true))
	}
	slices.Sort(none)
	slices.Sort(slow)
	t.Logf("p99 without saved state %v, with syncs of 2 s %v", none, slow)
	if slow[1] > 2*none[1]+5*time.Millisecond {
		t.Errorf("median p99 %v with syncs of 2 s, %v without saved state", slow[1], none[1])
	}
}
