package front

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"curlewring/internal/conns/idleconns"
	"curlewring/internal/node/worker"
	"curlewring/internal/sched/background"
)

// echoHandler responds to each request from another goroutine, as a node does.
type echoHandler struct {
	server *Server
	queue  chan Token
}

func (e *echoHandler) HandleRequest(t Token, r *http.Request, _ Arrival) (any, int, *Response) {
	io.Copy(io.Discard, r.Body)
	e.queue <- t
	return e, 0, nil
}

func (e *echoHandler) TimeLeft(*http.Request) time.Duration { return 0 }

func (e *echoHandler) ClientGone(any) {}

func (e *echoHandler) run(ctx context.Context) {
	for {
		select {
		case t := <-e.queue:
			e.server.Respond(t, Response{Status: http.StatusOK, ContentType: "text/x", Body: []byte("fine")})
		case <-ctx.Done():
			return
		}
	}
}

// pausableClock is a clock that can be paused.
type pausableClock struct {
	mu       sync.Mutex
	start    time.Time
	pausedAt time.Time // when it was paused; zero: it is running
	paused   time.Duration
}

func (c *pausableClock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pausedAt.IsZero() {
		return time.Since(c.start) - c.paused
	}
	return c.pausedAt.Sub(c.start) - c.paused
}

func (c *pausableClock) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedAt = time.Now()
}

func (c *pausableClock) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused += time.Since(c.pausedAt)
	c.pausedAt = time.Time{}
}

// loadFixture is a server with its background worker on a memoryTransport.
type loadFixture struct {
	clock  *pausableClock
	net    *memoryTransport
	server *Server
	worker *worker.Worker
	stop   func()
}

// startLoadFixture starts a server with an idle timeout. Without the scheduler, background work
// runs at once in the server's turns.
func startLoadFixture(t testing.TB, maxConns int, idleTimeout time.Duration, withoutScheduler bool) *loadFixture {
	t.Helper()
	clock := &pausableClock{start: time.Now()}
	now := clock.now
	rules, err := idleconns.Compile([]idleconns.Rule{{Class: -1, Timeout: idleTimeout}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	c := &loadFixture{clock: clock, net: newMemory()}
	c.worker = worker.New(background.Config{}, now, slog.New(slog.DiscardHandler))
	var expired, release *worker.Job
	config := Config{
		Transport: c.net, Log: slog.New(slog.DiscardHandler), Now: now, MaxConns: maxConns, MemoryBudget: 1 << 30,
		ClassWorths: []float64{1}, EvictionPolicy: idleconns.LowestValue, RememberedClients: 1 << 10, IdleRules: rules, MaxHeadSize: 1 << 10, MaxBodySize: 1 << 10,
	}
	if !withoutScheduler {
		config.Hooks = Hooks{CloseExpired: func() { expired.Wake(10 * time.Second) }, ReleaseBuffers: func() { release.Wake(0) }}
	}
	e := &echoHandler{queue: make(chan Token, 1024)}
	config.Handler = e
	c.server = New(config)
	e.server = c.server
	expired = c.worker.Add("expired", background.Reclaim, c.server.CloseExpired)
	release = c.worker.Add("release", background.Optional, c.server.ReleaseBuffers)
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	parts.Go(func() { e.run(ctx) })
	parts.Go(func() { c.worker.Run(ctx) })
	parts.Go(c.net.run)
	parts.Go(func() { c.server.Run(ctx) })
	c.stop = func() {
		cancel()
		parts.Wait()
	}
	return c
}

const loadRequest = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"

// park opens n connections, sends one request on each, and returns when all are parked.
func (c *loadFixture) park(t testing.TB, n int) {
	t.Helper()
	responses := make(chan struct{}, n)
	c.net.mu.Lock()
	c.net.onWrite = func(int32, []byte) { responses <- struct{}{} }
	c.net.conns = make([]memoryConn, 0, n+1000)
	c.net.mu.Unlock()
	first := int32(0)
	for i := range n {
		id := c.net.dial()
		if i == 0 {
			first = id
		}
	}
	go func() {
		for i := range n {
			c.net.send(first+int32(i), []byte(loadRequest))
		}
	}()
	for range n {
		<-responses
	}
	// If this takes longer than the idle timeout on a busy machine, some connections expire before
	// the last one is parked.
	for end := time.Now().Add(10 * time.Second); c.server.Stats().Parked < n && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// sendLoad sends requests at a rate on 64 more connections. It returns the response times, and how
// many connections were closed while each batch of events was waiting for the server.
func (c *loadFixture) sendLoad(rate int, length time.Duration) (latencies, closes *hdrhistogram.Histogram) {
	const clients = 64
	type slot struct {
		id   int32
		sent time.Time
	}
	var mu sync.Mutex
	latencies, closes = hdrhistogram.New(1, int64(time.Minute), 3), hdrhistogram.New(1, 1<<30, 3)
	slots := map[int32]*slot{}
	free := make(chan *slot, clients)
	c.net.mu.Lock()
	c.net.onWrite = func(id int32, _ []byte) {
		mu.Lock()
		defer mu.Unlock()
		if s := slots[id]; s != nil {
			latencies.RecordValue(int64(time.Since(s.sent)))
			free <- s
		}
	}
	c.net.onDelivered = func(closed int) { closes.RecordValue(int64(closed)) } // called with the transport's lock held
	c.net.mu.Unlock()
	for range clients {
		s := &slot{id: c.net.dial()}
		mu.Lock()
		slots[s.id] = s
		mu.Unlock()
		free <- s
	}
	started := time.Now()
	for n := 0; ; n++ {
		at := started.Add(time.Duration(n) * time.Second / time.Duration(rate))
		if at.Sub(started) > length {
			break
		}
		time.Sleep(time.Until(at))
		s := <-free
		mu.Lock()
		s.sent = time.Now() // open-loop load: a stalled server doesn't delay the sending
		mu.Unlock()
		c.net.send(s.id, []byte(loadRequest))
	}
	for range clients {
		<-free
	}
	c.net.mu.Lock()
	c.net.onDelivered = nil
	c.net.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	return latencies, closes
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// A parked connection must take less than 128 bytes of memory and no goroutine, and hardly any
// processing time of live traffic, however many are parked.
func TestParkedConnectionCost(t *testing.T) {
	sizes, length := []int{0, 20_000}, time.Second
	if os.Getenv("CURLEWRING_LONG") != "" {
		sizes, length = []int{0, 100_000, 1_000_000, 0, 100_000, 1_000_000, 0, 100_000, 1_000_000}, 6*time.Second
	}
	for _, n := range sizes {
		c := startLoadFixture(t, n+100, time.Hour, false)
		c.net.conns = make([]memoryConn, 0, n+1000)
		before, goroutines := heap(), runtime.NumGoroutine()
		c.park(t, n)
		c.net.mu.Lock()
		c.net.onWrite = nil
		c.net.queue = nil // used by the transport only
		c.net.mu.Unlock()
		used := float64(heap()-min(heap(), before)) / float64(max(n, 1))
		h, _ := c.sendLoad(1700, length)
		st := c.server.Stats()
		t.Logf("%8d parked: %5.0f B each in heap and stacks, %d more goroutines; of %d requests at 1700/s p50 %v p99 %v p99.9 %v; longest turn %v, max timers due %d",
			n, used, runtime.NumGoroutine()-goroutines, h.TotalCount(), time.Duration(h.ValueAtQuantile(50)),
			time.Duration(h.ValueAtQuantile(99)), time.Duration(h.ValueAtQuantile(99.9)), st.MaxTurnTime, st.MaxTimersDue)
		if n > 0 && used > 128 || runtime.NumGoroutine() > goroutines+2 {
			t.Errorf("%d parked: %.0f B each, %d more goroutines", n, used, runtime.NumGoroutine()-goroutines)
		}
		c.stop()
	}
}

// Many connections expire at once beside live traffic. Without the scheduler they are closed in one
// go, and live traffic has to wait. The test counts the closes during that wait instead of timing
// it, because a busy machine makes all times long. It counts from the moment when events are
// available until the server takes them: waits for the clients, the handler or the machine are not
// the server's.
func TestExpiryDoesNotStallLiveTraffic(t *testing.T) {
	n := 60_000
	if os.Getenv("CURLEWRING_LONG") != "" {
		n = 400_000
	}
	play := func(withoutScheduler bool) (maxCloses int64, expired uint64) {
		c := startLoadFixture(t, n+100, 4*time.Second, withoutScheduler)
		defer c.stop()
		c.net.mu.Lock()
		c.net.closeTime = 10 * time.Microsecond // about the time that closing a socket takes
		c.net.mu.Unlock()
		c.clock.pause() // all are parked at the same time, however long it takes
		c.park(t, n)
		c.clock.resume()
		h, closes := c.sendLoad(1700, 6*time.Second)
		for end := time.Now().Add(30 * time.Second); c.server.Stats().Expired < uint64(n) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		t.Logf("without scheduler %v: p99.9 of the responses %v, longest turn %v, closed %d; closed while events were waiting p50 %d, p99 %d, p99.9 %d, at most %d", withoutScheduler,
			time.Duration(h.ValueAtQuantile(99.9)), c.server.Stats().MaxTurnTime, c.server.Stats().Expired,
			closes.ValueAtQuantile(50), closes.ValueAtQuantile(99), closes.ValueAtQuantile(99.9), closes.Max())
		return closes.Max(), c.server.Stats().Expired
	}
	with, expired := play(false)
	without, expiredAtOnce := play(true)
	if with > 300 || with*4 > without {
		t.Errorf("up to %d connections are closed while events are waiting with the scheduler, %d without", with, without)
	}
	if expired < uint64(n) || expiredAtOnce < uint64(n) {
		t.Errorf("%d and %d of %d connections expired", expired, expiredAtOnce, n)
	}
}
