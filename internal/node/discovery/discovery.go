package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"curlewring/internal/servers/endpoints"
)

const (
	// A call is worked through in turn; one that has had no answer by now is lost.
	callTimeout    = 5 * time.Second
	connectTimeout = time.Second
	// A node that has a list asks for the whole only in doubt: one that gets none in this time asks for changes.
	wholeListTimeout = 3 * time.Second
	agentListTimeout = 350 * time.Millisecond // the same of an agent, which answers at once
	agentRetryPause  = 50 * time.Millisecond  // between two calls of an agent that fail
	minOpenTime      = 500 * time.Millisecond // a connection that ends sooner may never have reached discovery
	// An answer that has begun counts as told. It has its own time: so long from one piece to the next, and in all. What takes
	// longer than the grace of drains leaves room for is told as partial meanwhile.
	answerStallTimeout = time.Second
	answerTimeout      = 10 * time.Second
	partialReportDelay = 200 * time.Millisecond
	maxListSize        = 4 << 20 // a list of 5400 servers takes 0.9 MB, indented 1.3 MB, with long names 3 MB
	maxHeaderSize      = 64 << 10
)

// Discovery makes the calls for the list of servers that the module asks for.
type Client struct {
	service          atomic.Pointer[service]
	resumeGeneration atomic.Pointer[uint64] // the generation that a watch which has none begins with; nil: the whole list
	serverCount      atomic.Int64           // that the node's list has
	log              *slog.Logger
	watchWanted      chan bool                                                          // on or off, the newest counts
	restartWatch     chan bool                                                          // the watch begins anew; true: with the whole list
	fetchRequested   chan struct{}                                                      // one call for the whole list
	report           func(Update)                                                       // called with what came of each call
	listsPushed      bool                                                               // an agent has the lists, and nobody asks for the watch
	pollTimes        func(wall time.Duration, lost bool) (wait, patience time.Duration) // PollSchedule.Wait; RunWatch's
	pacer            *endpoints.CallPacer                                               // RunWatch's
	acceptedAfter    time.Duration                                                      // a long poll that is out for so long is kept open; RunWatch's
	queueTime        time.Duration                                                      // RunWatch's: a call this young may still wait in discovery's queue
	moveDelay        func() time.Duration                                               // waits before the first call at a new address; RunWatch's

	mu          sync.Mutex
	listTimeout *endpoints.CallTiming // how long calls for the whole list may take
}

// Update is what came of a call to discovery.
type Update struct {
	List         *endpoints.List       // nil: the call failed, or is still out
	CallDuration time.Duration         // List: the call
	PollWait     time.Duration         // List: for which discovery was asked to wait for changes
	WatchPaused  bool                  // List: no call follows at once, so that what changes now is heard with the next answer
	PollAccepted bool                  // it is a long poll that discovery keeps open: it has nothing newer than this node
	Failure      endpoints.CallFailure // why there is no list; meaningless otherwise
	Unavailable  []endpoints.Entry     // Partial: servers that drain or are gone, by what has come
	MoreExpected bool                  // Partial: the rest of the answer, or another call's, may still come
}

// service is discovery at one address.
type service struct {
	address   string
	client    *http.Client
	moved     context.Context // ends when discovery moves elsewhere
	markMoved context.CancelFunc
}

func newService(address string) *service {
	left, leave := context.WithCancel(context.Background())
	return &service{
		address: address,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 1,
			MaxConnsPerHost:     3, // two calls of a watch and a fetch

			MaxResponseHeaderBytes: maxHeaderSize,
		}},
		moved: left, markMoved: leave,
	}
}

// New makes the calls of a node that stands there in its fleet.
func New(address string, place endpoints.FleetPosition, log *slog.Logger, report func(Update)) *Client {
	asking := endpoints.NewCallTiming(place.NodeCount, callTimeout)
	pace := endpoints.NewCallPacer(place)
	d := &Client{
		log:            log,
		watchWanted:    make(chan bool, 1),
		restartWatch:   make(chan bool, 1),
		fetchRequested: make(chan struct{}, 1),
		report:         report,
		listsPushed:    place.Pushed,
		pollTimes:      endpoints.NewPollSchedule(place).NextPoll,
		pacer:          pace,
		moveDelay:      func() time.Duration { return pace.SpreadDelay(asking.StartSpread()) },
		queueTime:      maxQueueTime, acceptedAfter: endpoints.PollAcceptedAfter,
		listTimeout: asking,
	}
	d.service.Store(newService(address))
	return d
}

// Move makes all calls at another address from now on. Those that are under way
// at the old one are made anew, and their end is no failure; what the old address has
// written by then still counts.
func (d *Client) SetAddress(address string) {
	old := d.service.Swap(newService(address))
	old.markMoved()
	old.client.CloseIdleConnections()
}

// Address is where discovery is now.
func (d *Client) Address() string { return d.service.Load().address }

// SetWatch turns the watch on or off. It does not block; only the loop calls it.
func (d *Client) SetWatch(on bool) {
	select {
	case <-d.watchWanted:
	default:
	}
	d.watchWanted <- on
}

// From has a watch that has not begun ask from a generation: this node has the list up to it.
func (d *Client) ResumeFrom(generation uint64) { d.resumeGeneration.Store(&generation) }

// Servers tells how many servers the node's list has: what an answer with the whole list costs discovery.
func (d *Client) SetServerCount(n int) { d.serverCount.Store(int64(n)) }

// Renew has the watch begin anew, from the newest generation: the network may have swallowed it; or with the whole
// list. The call before goes on beside it for a while, for its answer may be on its way. It does not block; only the
// loop calls it.
func (d *Client) RestartWatch(whole bool) {
	select {
	case was := <-d.restartWatch:
		whole = whole || was
	default:
	}
	d.restartWatch <- whole
}

// whole asks for the whole list, for as long as is worth waiting for: no longer than most, unless that is 0.
func (d *Client) fetchWholeList(ctx context.Context, ask fetchFunc, most time.Duration) (*endpoints.List, error) {
	d.mu.Lock()
	wait := d.listTimeout.Timeout()
	d.mu.Unlock()
	if most > 0 {
		wait = min(wait, most)
	}
	begun := time.Now()
	l, err := ask(ctx, "", wait)
	took := time.Since(begun)
	if ctx.Err() == nil && !errors.Is(err, errMoved) {
		d.mu.Lock()
		d.listTimeout.RecordCall(took, err != nil && took >= wait)
		d.mu.Unlock()
	}
	return l, err
}

// AskOnce asks for the whole list. It does not block; only the loop calls it.
func (d *Client) FetchList() {
	select {
	case d.fetchRequested <- struct{}{}:
	default: // one is waiting already
	}
}

// RunFetches makes single calls until the context ends.
func (d *Client) RunFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.fetchRequested:
		}
		begun := time.Now()
		l, err := d.fetchWholeList(ctx, d.call, 0)
		for errors.Is(err, errMoved) {
			l, err = d.fetchWholeList(ctx, d.call, 0)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			d.log.Warn("asking for the list failed", "err", err)
		}
		d.report(Update{List: l, CallDuration: time.Since(begun), Failure: classifyFailure(err, time.Since(begun), 0), Unavailable: unavailableOf(err)})
	}
}

// begun reports an answer that has begun and takes its time: what it will tell counts as told already.
func (d *Client) reportStarted() {
	d.report(Update{Failure: endpoints.CallFailure{Reason: endpoints.PartialAnswer}, MoreExpected: true})
}

// partial returns what came of an answer that broke off, if that is what an error says.
func unavailableOf(err error) (bad []endpoints.Entry) {
	var broken *PartialError
	if errors.As(err, &broken) {
		return broken.Unavailable
	}
	return nil
}

// errMoved says that discovery has moved while a call was out.
var errMoved = errors.New("discovery has moved")

// statusError is an answer that is no list: calls get through, and may be too many.
type statusError string

func (e statusError) Error() string { return "discovery answered " + string(e) }

// failure says why a call brought no list.
func classifyFailure(err error, took, wait time.Duration) endpoints.CallFailure {
	f := endpoints.CallFailure{Took: took, PollWait: wait}
	var status statusError
	var partial *PartialError
	switch {
	case errors.As(err, &partial):
		f.Reason = endpoints.PartialAnswer
	case errors.As(err, &status):
		f.Reason = endpoints.Overloaded
	case took >= minOpenTime && isConnectionEnd(err):
		f.Reason = endpoints.PollReset
	}
	return f
}

// connectionEnded tells whether the other side has ended the connection under a call.
func isConnectionEnd(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// asks makes one call.
type fetchFunc func(ctx context.Context, query string, wait time.Duration) (*endpoints.List, error)

// ask makes calls at one address.
func (d *Client) fetchFrom(at *service) fetchFunc {
	return func(ctx context.Context, query string, wait time.Duration) (*endpoints.List, error) {
		return at.call(ctx, query, wait, d.reportStarted)
	}
}

// call asks discovery. One that is out while discovery moves elsewhere ends with errMoved.
func (d *Client) call(ctx context.Context, query string, wait time.Duration) (*endpoints.List, error) {
	at := d.service.Load()
	staying, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(at.moved, cancel)()
	l, err := d.fetchFrom(at)(staying, query, wait)
	if err != nil && ctx.Err() == nil && at.moved.Err() != nil {
		return nil, errMoved
	}
	return l, err
}

// errSlow says that a call had no answer in time, or that one stopped coming.
var errTimeout = fmt.Errorf("discovery: no answer in time: %w", context.DeadlineExceeded)

// call asks for a list. It waits so long for an answer to begin; begun is called if one does and takes long.
func (s *service) call(ctx context.Context, query string, wait time.Duration, begun func()) (*endpoints.List, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := time.AfterFunc(wait, func() { cancel(errTimeout) })
	defer patience.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+"/v1/endpoints"+query, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", withCause(ctx, err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeaderSize)) // else its connection is of no further use
		return nil, statusError(resp.Status)
	}
	patience.Reset(answerStallTimeout)
	late := time.AfterFunc(partialReportDelay, begun)
	defer late.Stop()
	whole := time.AfterFunc(answerTimeout, func() { cancel(errTimeout) })
	defer whole.Stop()
	body := &progressReader{Reader: http.MaxBytesReader(nil, resp.Body, maxListSize), onProgress: func() { patience.Reset(answerStallTimeout) }}
	l, err := readList(body)
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return nil, fmt.Errorf("discovery: the answer of %s to /v1/endpoints%s is larger than %d bytes", s.address, query, tooLarge.Limit)
	}
	if err == nil && query == "" && !l.Whole {
		err = fmt.Errorf("malformed list: asked for the whole, got changes")
	}
	if err != nil {
		return nil, fmt.Errorf("discovery: after %d bytes: %w", body.bytesRead, withCause(ctx, err))
	}
	return l, nil
}

// whyEnded adds to an error what has ended its context, if anything.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		return errors.Join(cause, err)
	}
	return err
}

// progress tells of each piece of an answer that comes.
type progressReader struct {
	io.Reader
	bytesRead  int
	onProgress func()
}

func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	p.bytesRead += n
	if n > 0 {
		p.onProgress()
	}
	return n, err
}
