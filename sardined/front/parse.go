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
	classPrefix = "/v1/classes/"
	// maxNameBytes bounds classes, whose names have at most conf.MaxNameBytes bytes, and tenants.
	maxNameBytes = conf.MaxNameBytes
	// maxTokenBytes bounds request IDs and keys.
	maxTokenBytes = 255
	// maxDepth is well above the deepest call tree planned, which has 18 levels; more is taken for a loop.
	maxDepth = 64
)

func bad(code, message string) *badRequestError {
	return &badRequestError{http.StatusBadRequest, code, message}
}

// parseHead checks the head of a request of a class.
func (s *Server) parseHead(req *http.Request) (*runner.Request, *badRequestError) {
	if headBytes(req) > s.cfg.HeaderBytes {
		return nil, &badRequestError{http.StatusRequestHeaderFieldsTooLarge, "headerTooLarge", "the head of the request is too large"}
	}
	if req.Method == http.MethodConnect || req.Method == http.MethodTrace {
		return nil, bad("badMethod", "the method is not supported")
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

func headBytes(req *http.Request) int {
	n := len(req.Method) + len(req.RequestURI) + len(req.Host)
	for k, values := range req.Header {
		for _, v := range values {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

func parsePath(r *runner.Request, u *url.URL) *badRequestError {
	class, path, ok := strings.Cut(strings.TrimPrefix(u.EscapedPath(), classPrefix), "/")
	if !ok || !isName(class) {
		return &badRequestError{http.StatusNotFound, "unknownPath", "the path must be " + classPrefix + "CLASS/PATH"}
	}
	r.Class = ident.ClassName(class)
	r.RawPath = "/" + path
	var err error
	if r.Path, err = url.PathUnescape(r.RawPath); err != nil {
		return bad("badPath", "the path is not escaped correctly")
	}
	return nil
}

// parseFields checks the fields that sardinecross reads. A field given twice is an error, since
// the caller and the upstream could read different ones.
func parseFields(r *runner.Request, h http.Header) *badRequestError {
	for _, k := range []string{"X-Request-Timeout", "X-Request-Id", "Idempotency-Key", "X-Tenant", "X-Call-Depth", "X-Retry"} {
		if len(h[k]) > 1 {
			return bad("badHeader", k+" is given more than once")
		}
	}
	var err *badRequestError
	if v, ok := h["X-Request-Timeout"]; ok {
		var ms int
		if ms, err = parseInt("X-Request-Timeout", v[0], 1, int(maxTimeout.Milliseconds())); err != nil {
			return err
		}
		r.Timeout = time.Duration(ms) * time.Millisecond
	}
	if v, ok := h["X-Call-Depth"]; ok {
		if r.Depth, err = parseInt("X-Call-Depth", v[0], 0, maxDepth); err != nil {
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
			return bad("badHeader", "X-Tenant is not a name")
		}
		r.Tenant = ident.Tenant(v[0])
	}
	return parseTokens(r, h)
}

func parseTokens(r *runner.Request, h http.Header) *badRequestError {
	id, hasID := h["X-Request-Id"]
	key, hasKey := h["Idempotency-Key"]
	if hasID && hasKey {
		return bad("badHeader", "X-Request-Id and Idempotency-Key exclude each other")
	}
	if hasID {
		if !isToken(id[0]) {
			return bad("badHeader", "X-Request-Id is not an issued request ID")
		}
		r.Token = id[0]
	}
	if hasKey {
		if !isToken(key[0]) {
			return bad("badHeader", "Idempotency-Key must have 1 to 255 printable characters")
		}
		r.Key = key[0]
	}
	return nil
}

func parseInt(field, v string, low, high int) (int, *badRequestError) {
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high || v[0] == '+' {
		return 0, bad("badHeader", field+" must be a number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
	return n, nil
}

func parseBool(field, v string) (bool, *badRequestError) {
	switch v {
	case "true", "1":
		return true, nil
	case "false", "0":
		return false, nil
	}
	return false, bad("badHeader", field+" must be true or false")
}

// isName reports whether s can be the name of a class or tenant.
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

// isToken reports whether s can be a request ID or a key.
func isToken(s string) bool {
	if s == "" || len(s) > maxTokenBytes {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

func queryClass(req *http.Request) (ident.ClassName, *badRequestError) {
	q, err := url.ParseQuery(req.URL.RawQuery)
	if err != nil || len(q) != 1 || len(q["class"]) != 1 || !isName(q["class"][0]) {
		return "", bad("badQuery", "the query must be class=NAME")
	}
	return ident.ClassName(q["class"][0]), nil
}

// readBody reads the whole body, so that a request that was cut short never reaches an upstream.
// The caller of readBody calls release when the body is no longer used.
func (s *Server) readBody(sink *sink, req *http.Request) (body []byte, release func(), bad *badRequestError) {
	if req.ContentLength == 0 {
		return nil, func() {}, nil
	}
	limit := int64(s.cfg.BodyBytes)
	if req.ContentLength > limit {
		return nil, nil, tooLarge()
	}
	size := req.ContentLength
	if size < 0 {
		size = limit
	}
	if s.buffered.Add(size) > s.cfg.BufferedBytes {
		s.buffered.Add(-size)
		return nil, nil, &badRequestError{http.StatusServiceUnavailable, "buffersFull", "too many request bodies are in memory"}
	}
	release = func() { s.buffered.Add(-size) }
	if err := sink.ctl.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		release()
		panic(http.ErrAbortHandler)
	}
	body, err := readAll(req, limit)
	if err != nil {
		release()
		var large *badRequestError
		if errors.As(err, &large) {
			return nil, nil, large
		}
		return nil, nil, &badRequestError{http.StatusBadRequest, "badBody", "the body is not complete"}
	}
	// The deadline must not end the wait for the caller to leave.
	if err := sink.ctl.SetReadDeadline(time.Time{}); err != nil {
		release()
		panic(http.ErrAbortHandler)
	}
	sink.unread = false
	return body, release, nil
}

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
		return nil, tooLarge()
	}
	return body, err
}

func tooLarge() *badRequestError {
	return &badRequestError{http.StatusRequestEntityTooLarge, "bodyTooLarge", "the body is too large"}
}
