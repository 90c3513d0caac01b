package front

import (
	"net/http"
	"strconv"
	"time"

	"sardinecross.example/lib/core"
	"sardinecross.example/sardined/runner"
)

// maxTimeout is the longest X-Request-Timeout that a caller may set.
const maxTimeout = time.Hour

// httpSink is a runner.Sink that writes an answer to a caller.
type httpSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	// isHead reports that the method is HEAD, so that the answer has no body.
	isHead bool
	// bodyUnread reports that the request has a body that was not read to its end.
	bodyUnread bool
	// writeTimeout bounds the write of the answer; it starts when the head is written.
	writeTimeout time.Duration
}

var _ runner.Sink = (*httpSink)(nil)

func newHTTPSink(w http.ResponseWriter, req *http.Request) *httpSink {
	return &httpSink{
		w:            w,
		controller:   http.NewResponseController(w),
		isHead:       req.Method == http.MethodHead,
		bodyUnread:   req.ContentLength != 0,
		writeTimeout: defaultWriteTimeout,
	}
}

// SetWriteTimeout implements runner.Sink.
func (s *httpSink) SetWriteTimeout(left time.Duration) { s.writeTimeout = left }

// WriteHead implements runner.Sink.
func (s *httpSink) WriteHead(status int, header http.Header, length int64) error {
	// Every answer sets the deadline, since one set for an earlier request on the connection may have passed.
	if err := s.controller.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return err
	}
	h := s.w.Header()
	for k, v := range header {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing the type from the body.
		h["Content-Type"] = nil
	}
	delete(h, "Content-Length")
	if length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	s.w.WriteHeader(status)
	return nil
}

// Write implements runner.Sink.
func (s *httpSink) Write(p []byte) (int, error) {
	if s.isHead {
		return len(p), nil
	}
	return s.w.Write(p)
}

// Flush implements runner.Sink.
func (s *httpSink) Flush() error { return s.controller.Flush() }

// refusedRequestError reports a request that is refused before it reaches the reducer. Its fields are those of
// runner.Refusal.
type refusedRequestError struct {
	status  int
	code    string
	message string
}

// Error implements error.
func (e *refusedRequestError) Error() string { return e.message }

// refuse answers a request that was not run with e.
func refuse(s *httpSink, e *refusedRequestError) {
	if s.bodyUnread {
		// Without this field net/http waits for the rest of the body before it sends the answer.
		s.w.Header()["Connection"] = []string{"close"}
	}
	_ = runner.WriteRefusal(s, runner.Refusal{Status: e.status, Code: e.code, Run: core.RunNo, Message: e.message})
}
