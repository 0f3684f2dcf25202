// Package resource is a stand-in for what tasks under a lease access: it records who accessed it, when and
// under which token, independently of the lease service.
//
// A program accesses the resource by connecting, sending its name and token on one line and staying
// connected, so that an access ends at the latest when the program exits. The Resource owns its sockets and
// goroutines. It listens on loopback only and knows nothing of leases.
package resource

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Access is one access, as the resource observed it.
type Access struct {
	Holder   string
	Token    uint64
	From, To time.Time // To is zero while the access lasts
	Refused  bool      // because of its token, if the resource checks tokens
}

// Resource records accesses and detects violations of mutual exclusion.
type Resource struct {
	Address string

	checkTokens bool
	listener    net.Listener
	workers     sync.WaitGroup

	mu         sync.Mutex // guards the fields below
	history    []*Access
	active     map[*Access]*net.TCPConn
	highest    uint64
	violations []string
}

// maxHistory limits the accesses that are recorded.
const maxHistory = 100_000

// Start starts a resource. With checkTokens, it refuses tokens below the highest that it has seen.
func Start(checkTokens bool) (*Resource, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("resource: %w", err)
	}
	r := &Resource{Address: l.Addr().String(), checkTokens: checkTokens, listener: l, active: map[*Access]*net.TCPConn{}}
	r.workers.Go(r.accept)
	return r, nil
}

// Close stops the resource.
func (r *Resource) Close() {
	r.listener.Close()
	r.mu.Lock()
	for _, c := range r.active {
		c.Close()
	}
	r.mu.Unlock()
	r.workers.Wait()
}

func (r *Resource) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.workers.Go(func() { r.serve(c.(*net.TCPConn)) })
	}
}

func (r *Resource) serve(c *net.TCPConn) {
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(c)
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	c.SetReadDeadline(time.Time{})
	holder, text, _ := strings.Cut(strings.TrimSpace(line), " ")
	token, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return
	}
	a := &Access{Holder: holder, Token: token, From: time.Now()}
	if !r.begin(a, c) {
		fmt.Fprintln(c, "refused")
		return
	}
	fmt.Fprintln(c, "go on")
	in.ReadString('\n') // until the program disconnects
	r.mu.Lock()
	defer r.mu.Unlock()
	a.To = time.Now()
	delete(r.active, a)
}

// begin records an access and its violations. It returns false if the access is refused.
func (r *Resource) begin(a *Access, c *net.TCPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.history) < maxHistory {
		r.history = append(r.history, a)
	}
	if a.Token < r.highest {
		if r.checkTokens {
			a.Refused, a.To = true, a.From
			return false
		}
		r.violations = append(r.violations, fmt.Sprintf("%s uses token %d after token %d was seen", a.Holder, a.Token, r.highest))
	}
	r.highest = max(r.highest, a.Token)
	for other, conn := range r.active {
		if other.Token == a.Token && other.Holder == a.Holder || connClosed(conn) {
			continue
		}
		r.violations = append(r.violations, fmt.Sprintf("%s begins under token %d while %s has been active under token %d for %v", a.Holder, a.Token, other.Holder, other.Token, a.From.Sub(other.From)))
	}
	r.active[a] = c
	return true
}

// connClosed reports whether the peer has closed the connection, even if the connection's reader has not
// noticed yet.
func connClosed(c *net.TCPConn) (closed bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	var b [1]byte
	if raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		// data, end of stream or a reset: the access is over
		closed = err == nil && n >= 0 || err != nil && !errors.Is(err, unix.EAGAIN)
	}) != nil {
		return true
	}
	return closed
}

// History returns all accesses so far.
func (r *Resource) History() []Access {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Access, 0, len(r.history))
	for _, a := range r.history {
		all = append(all, *a)
	}
	return all
}

// Violations returns the violations of mutual exclusion so far.
func (r *Resource) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}

// ActiveAccess is an access in progress, on the program's side.
type ActiveAccess struct{ conn net.Conn }

// Begin begins an access on behalf of a program. It fails if the access is refused or the resource cannot be
// reached.
func Begin(address, holder string, token uint64) (*ActiveAccess, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "%s %d\n", holder, token)
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || line != "go on\n" {
		c.Close()
		return nil, fmt.Errorf("the resource did not accept token %d: %q, %v", token, strings.TrimSpace(line), err)
	}
	c.SetDeadline(time.Time{})
	return &ActiveAccess{c}, nil
}

// End ends the access.
func (a *ActiveAccess) End() { a.conn.Close() }
