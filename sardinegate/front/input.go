package front

import (
	"net"
	"syscall"
)

// hasInput reports whether input waits on a connection, also while another goroutine waits to read it.
func hasInput(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // an error means no input
	})
	return err == nil && n > 0
}
