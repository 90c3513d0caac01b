package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the fields that belong to one connection. Upgrades are not supported.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internalAnswerFields are between sardinecross and the upstream; X-Run is set by sardinecross alone.
var internalAnswerFields = []string{"X-Request-Nonce", "X-Not-Run", "X-Run"}

// RemoveHopByHop removes the fields of h that belong to one connection.
func RemoveHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, k := range hopByHop {
		delete(h, k)
	}
}
