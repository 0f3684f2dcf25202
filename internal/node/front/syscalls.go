package front

import (
	"fmt"
	"io"

	"golang.org/x/sys/unix"
)

// readFD, writeFD and peekFD each make one system call on a non-blocking descriptor and return what
// Transport specifies.
func readFD(fd int, p []byte) (int, error) {
	for {
		n, err := unix.Read(fd, p)
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			return 0, ErrWouldBlock
		case err != nil:
			return 0, fmt.Errorf("reading from client socket: %w", err)
		case n == 0 && len(p) > 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

func writeFD(fd int, p []byte) (int, error) {
	for {
		n, err := unix.SendmsgN(fd, p, nil, nil, unix.MSG_NOSIGNAL)
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			return 0, ErrWouldBlock
		case err != nil:
			return 0, fmt.Errorf("writing to client socket: %w", err)
		default:
			return n, nil
		}
	}
}

func peekFD(fd int, p []byte) (int, error) {
	for {
		n, _, err := unix.Recvfrom(fd, p, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			return 0, ErrWouldBlock
		case err != nil:
			return 0, fmt.Errorf("peeking at client socket: %w", err)
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}
