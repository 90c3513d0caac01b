package caller

import (
	"fmt"
	"net/netip"
)

// LoopbackError reports a connection to an address outside loopback, which the options do not allow.
type LoopbackError struct{ Address string }

// Error implements error.
func (e *LoopbackError) Error() string {
	return fmt.Sprintf("%s is not a loopback address; use -allow-other to allow it", e.Address)
}

// ResponseError reports a response of a host that is unsuccessful or does not follow the protocol.
type ResponseError struct{ Problem string }

// Error implements error.
func (e *ResponseError) Error() string { return e.Problem }

// isLoopback reports whether a dialled address is a loopback address.
func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().Unmap().IsLoopback()
}
