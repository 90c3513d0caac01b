package front

import (
	"net"
	"syscall"
	"unsafe"
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

// hasOutput reports whether the peer of a connection has not received all that was written to it.
func hasOutput(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var n int32
	var errno syscall.Errno
	err = raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n)))
	})
	return err == nil && errno == 0 && n > 0
}

// hasConnection reports whether a connection waits on a listener to be accepted.
func hasConnection(ln net.Listener) bool {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	err = raw.Control(func(fd uintptr) { waits = pollInput(int(fd)) })
	return err == nil && waits
}

// pollInput reports whether input waits on fd. An error counts as no input.
func pollInput(fd int) bool {
	epfd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return false
	}
	defer syscall.Close(epfd) //nolint:errcheck // nothing was written
	if err := syscall.EpollCtl(epfd, syscall.EPOLL_CTL_ADD, fd, &syscall.EpollEvent{Events: syscall.EPOLLIN}); err != nil {
		return false
	}
	var events [1]syscall.EpollEvent
	n, _ := syscall.EpollWait(epfd, events[:], 0) // n is negative on an error
	return n > 0
}
