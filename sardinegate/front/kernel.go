package front

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasInput reports whether input waits on a connection, also while another goroutine waits to read it.
func hasInput(nc net.Conn) bool {
	return askKernel(nc, func(fd int) bool {
		var first [1]byte
		n, _, err := unix.Recvfrom(fd, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err == nil && n > 0
	})
}

// hasOutput reports whether the peer of a connection has not received all that was written to it.
func hasOutput(nc net.Conn) bool {
	return askKernel(nc, func(fd int) bool {
		n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		return err == nil && n > 0
	})
}

// hasConnection reports whether a connection waits on a listener to be accepted.
func hasConnection(ln net.Listener) bool {
	return askKernel(ln, func(fd int) bool {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		return err == nil && n > 0
	})
}

// askKernel returns what ask says of the file descriptor of a connection or listener, or false if it has none.
func askKernel(v any, ask func(fd int) bool) bool {
	sc, ok := v.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	yes := false
	err = raw.Control(func(fd uintptr) { yes = ask(int(fd)) })
	return err == nil && yes
}
