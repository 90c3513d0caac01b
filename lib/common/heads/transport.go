package heads

import (
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport that returns an error in place of a response whose head is not valid. It closes the connection of
// such a response, since nobody can tell where the next one begins.
type Transport struct{ *http.Transport }

var _ http.RoundTripper = Transport{}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var nc net.Conn
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { nc = info.Conn },
		Got1xxResponse: new(Interim).Check,
	})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = nc.Close() // the response is discarded
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
