package node

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"syscall"

	"curlewring/internal/node/front"
)

// listen binds the address or unix socket that clients connect to.
func listen(c *Config) (net.Listener, error) {
	if c.Sidecar != nil && c.Sidecar.Socket != "" {
		return listenUnix(c.Sidecar.Socket)
	}
	address, err := net.ResolveTCPAddr("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	l, err := net.ListenTCP("tcp", address)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, fmt.Errorf("another process listens on %s: %w", c.Listen, err)
	}
	if err != nil { // no nil *net.TCPListener in the interface
		return nil, err
	}
	return l, nil
}

// unixListener owns its socket path as long as it holds the lock file next to it.
type unixListener struct {
	*net.UnixListener
	lock *os.File
}

// Close closes the listener, removes the socket, and releases the lock.
func (l *unixListener) Close() error {
	err := l.UnixListener.Close()
	if err2 := l.lock.Close(); err == nil {
		err = err2
	}
	return err
}

// listenUnix binds a unix socket and replaces one that a dead process left behind. A lock
// file keeps two processes from using one path (flock(2): the kernel releases the lock when
// its process ends).
func listenUnix(path string) (net.Listener, error) {
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("another process listens on %s", path)
		}
		return nil, fmt.Errorf("locking %s: %w", path, err)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode().Type() != fs.ModeSocket {
			lock.Close()
			return nil, fmt.Errorf("%s exists and is not a socket", path)
		}
		if err := os.Remove(path); err != nil {
			lock.Close()
			return nil, err
		}
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		lock.Close()
		return nil, err
	}
	return &unixListener{l, lock}, nil
}

// newTransport creates the front's transport. The portable one, a goroutine per connection,
// is for systems without epoll and for comparisons.
func newTransport(l net.Listener) (front.Transport, error) {
	if os.Getenv("CURLEWRING_FRONT") == "goroutines" {
		return front.NewGoroutineTransport(l)
	}
	return front.NewTransport(l)
}
