package accept

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// ListenUnix binds a unix socket that only this user may access. A socket left by an earlier
// process is replaced, unless a process accepts a connection on it within the timeout.
func ListenUnix(path string, timeout time.Duration) (net.Listener, error) {
	if c, err := net.DialTimeout("unix", path, timeout); err == nil {
		c.Close()
		return nil, fmt.Errorf("another process listens on %s", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}
