// Package resource is what tasks under a lease act on, as a stand-in: it keeps its own history of who acted
// when under which token, and hears nobody's opinion of it.
//
// A program acts by connecting, sending its name and token on one line, and staying connected for as long as it
// acts: an act that ends with its process ends here. The Resource owns its sockets and goroutines. It listens on
// loopback alone, and must know nothing of leases.
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

// Act is one act, as the resource saw it.
type Access struct {
	Holder   string
	Token    uint64
	From, To time.Time // To is zero while it lasts
	Refused  bool      // for its token, where the resource checks them
}

// Resource is one.
type Resource struct {
	Address string

	checkTokens bool
	listener    net.Listener
	workers     sync.WaitGroup

	mu         sync.Mutex // guards what follows
	history    []*Access
	active     map[*Access]*net.TCPConn
	highest    uint64
	violations []string
}

const maxHistory = 100_000

// Start starts a resource. One that checks tokens refuses those below the highest that it has seen.
func Start(checks bool) (*Resource, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("resource: %w", err)
	}
	r := &Resource{Address: l.Addr().String(), checkTokens: checks, listener: l, active: map[*Access]*net.TCPConn{}}
	r.workers.Go(r.accept)
	return r, nil
}

// Close ends the resource.
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
	who, text, _ := strings.Cut(strings.TrimSpace(line), " ")
	token, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return
	}
	a := &Access{Holder: who, Token: token, From: time.Now()}
	if !r.begin(a, c) {
		fmt.Fprintln(c, "refused")
		return
	}
	fmt.Fprintln(c, "go on")
	in.ReadString('\n') // until it ends
	r.mu.Lock()
	defer r.mu.Unlock()
	a.To = time.Now()
	delete(r.active, a)
}

// begin notes an act, and what is wrong with it.
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
		r.violations = append(r.violations, fmt.Sprintf("%s comes with token %d after %d", a.Holder, a.Token, r.highest))
	}
	r.highest = max(r.highest, a.Token)
	for x, other := range r.active {
		if x.Token == a.Token && x.Holder == a.Holder || connClosed(other) {
			continue
		}
		r.violations = append(r.violations, fmt.Sprintf("%s begins under token %d while %s acts under %d since %v", a.Holder, a.Token, x.Holder, x.Token, a.From.Sub(x.From)))
	}
	r.active[a] = c
	return true
}

// ended tells whether the other end is closed already, which its reader may not have come to yet.
func connClosed(c *net.TCPConn) (over bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	var b [1]byte
	if raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		over = err == nil && n >= 0 || err != nil && !errors.Is(err, unix.EAGAIN) // a line that it is over, the end, or a reset
	}) != nil {
		return true
	}
	return over
}

// Acts is the history so far.
func (r *Resource) History() []Access {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Access, 0, len(r.history))
	for _, a := range r.history {
		all = append(all, *a)
	}
	return all
}

// Wrong is all that must not have happened.
func (r *Resource) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}

// Acting is an act that goes on.
type ActiveAccess struct{ conn net.Conn }

// Begin begins an act, as a program does. An error says that it was refused, or that there is no resource.
func Begin(address, who string, token uint64) (*ActiveAccess, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "%s %d\n", who, token)
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || line != "go on\n" {
		c.Close()
		return nil, fmt.Errorf("the resource does not take token %d: %q, %v", token, strings.TrimSpace(line), err)
	}
	c.SetDeadline(time.Time{})
	return &ActiveAccess{c}, nil
}

// End ends the act.
func (a *ActiveAccess) End() { a.conn.Close() }
