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
	// Discovery works through calls in turn. A call without an answer after this time is considered
	// lost.
	callTimeout    = 5 * time.Second
	connectTimeout = time.Second
	// A node with a list fetches the whole list only when in doubt. If it gets none in this time,
	// it asks for changes instead.
	wholeListTimeout = 3 * time.Second
	agentListTimeout = 350 * time.Millisecond // the same for a local agent, which answers at once
	agentRetryPause  = 50 * time.Millisecond  // pause after a failed call to an agent
	minOpenTime      = 500 * time.Millisecond // a connection that ends sooner may never have reached discovery
	// An answer counts as delivered from its first byte, so it has timeouts of its own: one between
	// two pieces, and one for all of it. An answer that takes longer than partialReportDelay is
	// reported as partial, because the drain grace leaves no more time than that.
	answerStallTimeout = time.Second
	answerTimeout      = 10 * time.Second
	partialReportDelay = 200 * time.Millisecond
	maxListSize        = 4 << 20 // a list of 5400 servers takes 0.9 MB, indented 1.3 MB, with long names 3 MB
	maxHeaderSize      = 64 << 10
)

// Client calls the discovery service for the list of servers, as requested by the balancer.
type Client struct {
	service          atomic.Pointer[service]
	resumeGeneration atomic.Pointer[uint64] // where a watch without a list starts; nil: fetch the whole list
	serverCount      atomic.Int64           // number of servers in the node's list
	log              *slog.Logger
	watchWanted      chan bool     // turns the watch on or off; the latest value counts
	restartWatch     chan bool     // restarts the watch; true: with the whole list
	fetchRequested   chan struct{} // requests one call for the whole list
	report           func(Update)  // receives the result of each call
	listsPushed      bool          // a local agent pushes the lists, and the watch runs without being requested

	// The fields of this group belong to RunWatch. pollTimes is PollSchedule.NextPoll.
	pollTimes     func(wall time.Duration, unproven bool) (wait, timeout time.Duration)
	pacer         *endpoints.CallPacer
	acceptedAfter time.Duration        // a long poll that is pending for longer has been accepted
	queueTime     time.Duration        // a younger call may still be queued at discovery
	moveDelay     func() time.Duration // delay of the first call to a new address

	mu         sync.Mutex
	callTiming *endpoints.CallTiming // adapts the timeout of calls for the whole list
}

// Update is the result of a call to discovery, or news of one that is pending.
type Update struct {
	List         *endpoints.List       // nil: the call failed or is pending
	CallDuration time.Duration         // with List: duration of the call
	PollWait     time.Duration         // with List: time for which discovery was asked to wait for changes
	WatchPaused  bool                  // with List: the next call is delayed, and so is news of changes
	PollAccepted bool                  // discovery holds a long poll open, so it has no newer list than this node
	Failure      endpoints.CallFailure // reason for the missing list; only valid without one
	Unavailable  []endpoints.Entry     // with PartialAnswer: draining and removed servers received so far
	MoreExpected bool                  // with PartialAnswer: the rest, or another call's answer, may still arrive
}

// service is the discovery service at one address.
type service struct {
	address   string
	client    *http.Client
	moved     context.Context // canceled when discovery moves to another address
	markMoved context.CancelFunc
}

func newService(address string) *service {
	moved, markMoved := context.WithCancel(context.Background())
	return &service{
		address: address,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 1,
			MaxConnsPerHost:     3, // two watch calls and one fetch

			MaxResponseHeaderBytes: maxHeaderSize,
		}},
		moved: moved, markMoved: markMoved,
	}
}

// New returns a client for the node at a position in its fleet.
func New(address string, position endpoints.FleetPosition, log *slog.Logger, report func(Update)) *Client {
	callTiming := endpoints.NewCallTiming(position.NodeCount, callTimeout)
	pacer := endpoints.NewCallPacer(position)
	d := &Client{
		log:            log,
		watchWanted:    make(chan bool, 1),
		restartWatch:   make(chan bool, 1),
		fetchRequested: make(chan struct{}, 1),
		report:         report,
		listsPushed:    position.Pushed,
		pollTimes:      endpoints.NewPollSchedule(position).NextPoll,
		pacer:          pacer,
		moveDelay:      func() time.Duration { return pacer.SpreadDelay(callTiming.StartSpread()) },
		queueTime:      maxQueueTime, acceptedAfter: endpoints.PollAcceptedAfter,
		callTiming: callTiming,
	}
	d.service.Store(newService(address))
	return d
}

// SetAddress sends all calls to another address from now on. Pending calls to the old address are
// repeated at the new one, and their end is not a failure. What the old address has written by then
// still counts as delivered.
func (d *Client) SetAddress(address string) {
	old := d.service.Swap(newService(address))
	old.markMoved()
	old.client.CloseIdleConnections()
}

// Address returns the current address of discovery.
func (d *Client) Address() string { return d.service.Load().address }

// SetWatch turns the watch on or off. It doesn't block. Only the loop calls it.
func (d *Client) SetWatch(on bool) {
	select {
	case <-d.watchWanted:
	default:
	}
	d.watchWanted <- on
}

// ResumeFrom makes a watch that hasn't started begin at a generation up to which the node has the
// list.
func (d *Client) ResumeFrom(generation uint64) { d.resumeGeneration.Store(&generation) }

// SetServerCount sets the number of servers in the node's list, which determines what an answer
// with the whole list costs discovery.
func (d *Client) SetServerCount(n int) { d.serverCount.Store(int64(n)) }

// RestartWatch makes a new watch call, with the latest generation or for the whole list, in case
// the network has lost the pending one. The previous call continues for a while, as its answer may
// be on the way. It doesn't block. Only the loop calls it.
func (d *Client) RestartWatch(whole bool) {
	select {
	case pending := <-d.restartWatch:
		whole = whole || pending
	default:
	}
	d.restartWatch <- whole
}

// fetchWholeList asks for the whole list with an adaptive timeout, which maxWait limits unless it
// is 0.
func (d *Client) fetchWholeList(ctx context.Context, fetch fetchFunc, maxWait time.Duration) (*endpoints.List, error) {
	d.mu.Lock()
	timeout := d.callTiming.Timeout()
	d.mu.Unlock()
	if maxWait > 0 {
		timeout = min(timeout, maxWait)
	}
	started := time.Now()
	l, err := fetch(ctx, "", timeout)
	took := time.Since(started)
	if ctx.Err() == nil && !errors.Is(err, errMoved) {
		d.mu.Lock()
		d.callTiming.RecordCall(took, err != nil && took >= timeout)
		d.mu.Unlock()
	}
	return l, err
}

// FetchList requests a call for the whole list. It doesn't block. Only the loop calls it.
func (d *Client) FetchList() {
	select {
	case d.fetchRequested <- struct{}{}:
	default: // a request is pending already
	}
}

// RunFetches makes the calls of FetchList until the context ends.
func (d *Client) RunFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.fetchRequested:
		}
		started := time.Now()
		l, err := d.fetchWholeList(ctx, d.call, 0)
		for errors.Is(err, errMoved) {
			l, err = d.fetchWholeList(ctx, d.call, 0)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			d.log.Warn("fetching the server list failed", "err", err)
		}
		d.report(Update{List: l, CallDuration: time.Since(started), Failure: classifyFailure(err, time.Since(started), 0), Unavailable: unavailableOf(err)})
	}
}

// reportStarted reports an answer that has started and is taking long: its contents already count
// as delivered.
func (d *Client) reportStarted() {
	d.report(Update{Failure: endpoints.CallFailure{Reason: endpoints.PartialAnswer}, MoreExpected: true})
}

// unavailableOf returns the draining and removed servers of a PartialError, or nil for other
// errors.
func unavailableOf(err error) (entries []endpoints.Entry) {
	var partial *PartialError
	if errors.As(err, &partial) {
		return partial.Unavailable
	}
	return nil
}

// errMoved means that discovery moved to another address during a call.
var errMoved = errors.New("discovery moved to another address")

// statusError is a response with another status than 200: calls reach discovery, which may be
// overloaded.
type statusError string

func (e statusError) Error() string { return "discovery answered " + string(e) }

// classifyFailure returns why a call brought no list.
func classifyFailure(err error, took, pollWait time.Duration) endpoints.CallFailure {
	f := endpoints.CallFailure{Took: took, PollWait: pollWait}
	var status statusError
	var partial *PartialError
	switch {
	case errors.As(err, &partial):
		f.Reason, f.Generation = endpoints.PartialAnswer, partial.Generation
	case errors.As(err, &status):
		f.Reason = endpoints.Overloaded
	case took >= minOpenTime && isConnectionEnd(err):
		f.Reason = endpoints.PollReset
	}
	return f
}

// isConnectionEnd reports whether the peer ended the connection during a call.
func isConnectionEnd(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// fetchFunc makes one call.
type fetchFunc func(ctx context.Context, query string, timeout time.Duration) (*endpoints.List, error)

// fetchFrom returns a fetchFunc for one address.
func (d *Client) fetchFrom(at *service) fetchFunc {
	return func(ctx context.Context, query string, timeout time.Duration) (*endpoints.List, error) {
		return at.call(ctx, query, timeout, d.reportStarted)
	}
}

// call makes a call to the current address. It returns errMoved if discovery moves to another
// address meanwhile.
func (d *Client) call(ctx context.Context, query string, timeout time.Duration) (*endpoints.List, error) {
	at := d.service.Load()
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(at.moved, cancel)()
	l, err := d.fetchFrom(at)(callCtx, query, timeout)
	if err != nil && ctx.Err() == nil && at.moved.Err() != nil {
		return nil, errMoved
	}
	return l, err
}

// errTimeout means that no answer came in time, or that an answer stalled.
var errTimeout = fmt.Errorf("discovery: no answer in time: %w", context.DeadlineExceeded)

// call asks for a list and waits up to timeout for the answer to start. It calls onSlow if an
// answer has started but takes long.
func (s *service) call(ctx context.Context, query string, timeout time.Duration, onSlow func()) (*endpoints.List, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(timeout, func() { cancel(errTimeout) })
	defer stallTimer.Stop()
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
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeaderSize)) // otherwise the connection can't be reused
		return nil, statusError(resp.Status)
	}
	stallTimer.Reset(answerStallTimeout)
	slowTimer := time.AfterFunc(partialReportDelay, onSlow)
	defer slowTimer.Stop()
	answerTimer := time.AfterFunc(answerTimeout, func() { cancel(errTimeout) })
	defer answerTimer.Stop()
	body := &progressReader{Reader: http.MaxBytesReader(nil, resp.Body, maxListSize), onProgress: func() { stallTimer.Reset(answerStallTimeout) }}
	l, err := readList(body)
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return nil, fmt.Errorf("discovery: the answer of %s to /v1/endpoints%s is larger than %d bytes", s.address, query, tooLarge.Limit)
	}
	if err == nil && query == "" && !l.Whole {
		err = fmt.Errorf("malformed list: requested the whole list, got changes")
	}
	if err != nil {
		return nil, fmt.Errorf("discovery: after %d bytes: %w", body.bytesRead, withCause(ctx, err))
	}
	return l, nil
}

// withCause adds the cancellation cause of a context, if any, to an error.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		return errors.Join(cause, err)
	}
	return err
}

// progressReader calls onProgress for each piece that it reads.
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
