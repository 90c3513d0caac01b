package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopFields are the header fields that apply to a single connection. Upgrades are not supported.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internalAnswerFields are not passed from the upstream to the caller: the first two are meant for sardinecross, and
// X-Run is set by sardinecross alone.
var internalAnswerFields = []string{"X-Request-Nonce", "X-Not-Run", "X-Run"}

// RemoveHopByHop removes from h the hop-by-hop fields, including those that the field Connection names.
func RemoveHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, k := range hopByHopFields {
		delete(h, k)
	}
}
