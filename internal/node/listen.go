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

// listen binds the address, or the unix socket, that clients connect to.
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

// unixListener is a listener whose path is its own as long as it holds the lock
// beside it.
type unixListener struct {
	*net.UnixListener
	lock *os.File
}

// Close ends the listening, removes the socket, and gives the path free.
func (l *unixListener) Close() error {
	err := l.UnixListener.Close()
	if err2 := l.lock.Close(); err == nil {
		err = err2
	}
	return err
}

// listenUnix binds a unix socket. What a process left there that died is
// replaced; of two that want one path, the lock lets one have it (flock(2): it
// ends with its process, however that ends).
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
			return nil, fmt.Errorf("%s is there and is no socket", path)
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

// newTransport makes the way in which the front waits for its connections. The
// portable one is for systems without epoll, and for measuring against it.
func newTransport(l net.Listener) (front.Transport, error) {
	if os.Getenv("CURLEWRING_FRONT") == "goroutines" {
		return front.NewGoroutineTransport(l)
	}
	return front.NewTransport(l)
}
