package caller

import (
	"fmt"
	"net/netip"
)

// LoopbackError reports an address outside loopback that the options do not allow.
type LoopbackError struct{ Address string }

// Error implements error.
func (e *LoopbackError) Error() string {
	return fmt.Sprintf("%s is not a loopback address; -allow-other permits it", e.Address)
}

// AnswerError reports an answer that does not follow the protocol.
type AnswerError struct{ Problem string }

// Error implements error.
func (e *AnswerError) Error() string { return e.Problem }

// isLoopback reports whether a dialled address is one of this machine.
func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().Unmap().IsLoopback()
}
