// Package heads checks the heads and trailers of HTTP responses, of which net/http accepts some that are not valid.
package heads

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// minStatus is the lowest valid status. Those above 599 are not defined, but clients have to treat them as server errors (RFC 9110).
const minStatus = 100

// StatusError reports a response with a status below 100.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("invalid response status %03d", e.Status) }

// FieldNameError reports a field name in a head or trailer that is not valid. Such a field may have been meant to say where the
// response ends.
type FieldNameError struct{ Name string }

// Error implements error.
func (e *FieldNameError) Error() string {
	return fmt.Sprintf("invalid field name %.80q in a response", e.Name)
}

// Check returns an error if the head of a response is not valid. Nothing in the response can be relied on then, its end included.
// Otherwise it makes the body of the response fail at its end if the trailer is not valid.
func Check(resp *http.Response) error {
	if resp.StatusCode < minStatus {
		return &StatusError{resp.StatusCode}
	}
	if err := checkNames(resp.Header); err != nil {
		return err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &body{resp.Body, resp}
	}
	return nil
}

// checkNames returns an error if a field name is not valid.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &FieldNameError{name}
		}
	}
	return nil
}

// body is a response body that fails at its end if the trailer is not valid.
type body struct {
	io.ReadCloser
	resp *http.Response // its Trailer is complete at the end of the body
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if invalid := checkNames(b.resp.Trailer); invalid != nil {
		return n, invalid
	}
	return n, err
}
