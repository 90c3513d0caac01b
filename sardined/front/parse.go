package front

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
	"sardinecross.example/sardined/proxy"
	"sardinecross.example/sardined/runner"
)

const (
	// classPrefix starts the paths of requests of a class.
	classPrefix = "/v1/classes/"
	// maxNameBytes bounds the names of classes, as the configuration does, and of tenants.
	maxNameBytes = conf.MaxNameBytes
	// maxIDOrKeyBytes bounds request IDs and idempotency keys.
	maxIDOrKeyBytes = 255
	// maxCallDepth bounds X-Call-Depth; a deeper call tree is taken for a loop. It is well above the deepest call tree
	// planned, which has 18 levels.
	maxCallDepth = 64
)

// badRequest returns a refusal with status 400.
func badRequest(code, message string) *refusedRequestError {
	return &refusedRequestError{http.StatusBadRequest, code, message}
}

// parseHead checks the head of a request of a class and returns the request without its body.
func (s *Server) parseHead(req *http.Request) (*runner.Request, *refusedRequestError) {
	if headBytes(req) > s.cfg.HeaderBytes {
		return nil, &refusedRequestError{http.StatusRequestHeaderFieldsTooLarge, "headerTooLarge", "the head of the request is too large"}
	}
	if req.Method == http.MethodConnect || req.Method == http.MethodTrace {
		return nil, badRequest("badMethod", "the method is not supported")
	}
	r := &runner.Request{Method: req.Method, RawQuery: req.URL.RawQuery}
	if err := parsePath(r, req.URL); err != nil {
		return nil, err
	}
	if err := parseFields(r, req.Header); err != nil {
		return nil, err
	}
	r.Header = req.Header
	proxy.RemoveHopByHop(r.Header)
	return r, nil
}

// headBytes returns the approximate size of the head of a request as it was sent.
func headBytes(req *http.Request) int {
	n := len(req.Method) + len(req.RequestURI) + len(req.Host)
	for k, values := range req.Header {
		for _, v := range values {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

// parsePath splits the path into the class and the path at the upstream.
func parsePath(r *runner.Request, u *url.URL) *refusedRequestError {
	class, path, ok := strings.Cut(strings.TrimPrefix(u.EscapedPath(), classPrefix), "/")
	if !ok || !isName(class) {
		return &refusedRequestError{http.StatusNotFound, "unknownPath", "the path must be " + classPrefix + "CLASS/PATH"}
	}
	r.Class = ident.ClassName(class)
	r.RawPath = "/" + path
	var err error
	if r.Path, err = url.PathUnescape(r.RawPath); err != nil {
		return badRequest("badPath", "the path is not escaped correctly")
	}
	return nil
}

// parseFields checks the header fields that sardinecross reads. A field given twice is an error, since the caller and
// the upstream could read different values.
func parseFields(r *runner.Request, h http.Header) *refusedRequestError {
	for _, k := range []string{"X-Request-Timeout", "X-Request-Id", "Idempotency-Key", "X-Tenant", "X-Call-Depth", "X-Retry"} {
		if len(h[k]) > 1 {
			return badRequest("badHeader", k+" is given more than once")
		}
	}
	var err *refusedRequestError
	if v, ok := h["X-Request-Timeout"]; ok {
		var ms int
		if ms, err = parseInt("X-Request-Timeout", v[0], 1, int(maxTimeout.Milliseconds())); err != nil {
			return err
		}
		r.Timeout = time.Duration(ms) * time.Millisecond
	}
	if v, ok := h["X-Call-Depth"]; ok {
		if r.Depth, err = parseInt("X-Call-Depth", v[0], 0, maxCallDepth); err != nil {
			return err
		}
	}
	if v, ok := h["X-Retry"]; ok {
		if r.Retry, err = parseBool("X-Retry", v[0]); err != nil {
			return err
		}
	}
	if v, ok := h["X-Tenant"]; ok {
		if !isName(v[0]) {
			return badRequest("badHeader", "X-Tenant is not a name")
		}
		r.Tenant = ident.Tenant(v[0])
	}
	return parseIDOrKey(r, h)
}

// parseIDOrKey reads the request ID or the idempotency key; a request may have only one of them.
func parseIDOrKey(r *runner.Request, h http.Header) *refusedRequestError {
	id, hasID := h["X-Request-Id"]
	key, hasKey := h["Idempotency-Key"]
	if hasID && hasKey {
		return badRequest("badHeader", "X-Request-Id and Idempotency-Key exclude each other")
	}
	if hasID {
		if !isIDOrKey(id[0]) {
			return badRequest("badHeader", "X-Request-Id is not an issued request ID")
		}
		r.Token = id[0]
	}
	if hasKey {
		if !isIDOrKey(key[0]) {
			return badRequest("badHeader", "Idempotency-Key must have 1 to 255 printable characters")
		}
		r.Key = key[0]
	}
	return nil
}

// parseInt parses a decimal number from low to high, without a plus sign.
func parseInt(field, v string, low, high int) (int, *refusedRequestError) {
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high || v[0] == '+' {
		return 0, badRequest("badHeader", field+" must be a number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
	return n, nil
}

func parseBool(field, v string) (bool, *refusedRequestError) {
	switch v {
	case "true", "1":
		return true, nil
	case "false", "0":
		return false, nil
	}
	return false, badRequest("badHeader", field+" must be true or false")
}

// isName reports whether s is a valid name of a class or tenant.
func isName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range []byte(s) {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '.', c == '_', c == '-':
		default:
			return false
		}
	}
	return true
}

// isIDOrKey reports whether s is a valid request ID or idempotency key: printable ASCII without spaces.
func isIDOrKey(s string) bool {
	if s == "" || len(s) > maxIDOrKeyBytes {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// queryClass returns the class named by the query, which must have no other parameter.
func queryClass(req *http.Request) (ident.ClassName, *refusedRequestError) {
	q, err := url.ParseQuery(req.URL.RawQuery)
	if err != nil || len(q) != 1 || len(q["class"]) != 1 || !isName(q["class"][0]) {
		return "", badRequest("badQuery", "the query must be class=NAME")
	}
	return ident.ClassName(q["class"][0]), nil
}

// readBody reads the whole body before the request is run, so that a request that was cut short never reaches an
// upstream. It first reserves memory for the body: its length, or BodyBytes if the body is chunked. The function that
// called readBody must call release when the body is no longer used.
func (s *Server) readBody(sink *httpSink, req *http.Request) (body []byte, release func(), reqErr *refusedRequestError) {
	if req.ContentLength == 0 {
		return nil, func() {}, nil
	}
	limit := int64(s.cfg.BodyBytes)
	if req.ContentLength > limit {
		return nil, nil, bodyTooLarge()
	}
	size := req.ContentLength
	if size < 0 {
		size = limit
	}
	if s.bufferedBytes.Add(size) > s.cfg.BufferedBytes {
		s.bufferedBytes.Add(-size)
		return nil, nil, &refusedRequestError{http.StatusServiceUnavailable, "buffersFull", "too many request bodies are in memory"}
	}
	release = func() { s.bufferedBytes.Add(-size) }
	if err := sink.controller.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		release()
		panic(http.ErrAbortHandler)
	}
	body, err := readAll(req, limit)
	if err != nil {
		release()
		var large *refusedRequestError
		if errors.As(err, &large) {
			return nil, nil, large
		}
		return nil, nil, &refusedRequestError{http.StatusBadRequest, "badBody", "the body is not complete"}
	}
	// net/http goes on reading to notice when the caller disconnects; the deadline of the body must not end that.
	if err := sink.controller.SetReadDeadline(time.Time{}); err != nil {
		release()
		panic(http.ErrAbortHandler)
	}
	sink.bodyUnread = false
	return body, release, nil
}

// readAll reads the body. It returns a refusedRequestError if a chunked body has more than limit bytes; the length of
// other bodies was checked before.
func readAll(req *http.Request, limit int64) ([]byte, error) {
	if req.ContentLength > 0 {
		body := make([]byte, req.ContentLength)
		if _, err := io.ReadFull(req.Body, body); err != nil {
			return nil, err
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, bodyTooLarge()
	}
	return body, err
}

func bodyTooLarge() *refusedRequestError {
	return &refusedRequestError{http.StatusRequestEntityTooLarge, "bodyTooLarge", "the body is too large"}
}
