package front

import (
	"net/http"
	"strconv"
	"time"

	"sardinecross.example/lib/core"
	"sardinecross.example/sardined/runner"
)

// maxTimeout is the longest time that a caller may give a request.
const maxTimeout = time.Hour

// sink writes an answer to a caller.
type sink struct {
	w    http.ResponseWriter
	ctl  *http.ResponseController
	head bool
	// unread reports that the request has a body that was not read to its end.
	unread bool
	// left is the time that the answer may take.
	left time.Duration
}

var _ runner.Sink = (*sink)(nil)

func newSink(w http.ResponseWriter, req *http.Request) *sink {
	return &sink{
		w:      w,
		ctl:    http.NewResponseController(w),
		head:   req.Method == http.MethodHead,
		unread: req.ContentLength != 0,
		left:   writeTime,
	}
}

// SetWriteTimeout implements runner.Sink.
func (s *sink) SetWriteTimeout(left time.Duration) { s.left = left }

// WriteHead implements runner.Sink.
func (s *sink) WriteHead(status int, header http.Header, length int64) error {
	// Every answer sets the deadline, since one set for an earlier request on the connection may have passed.
	if err := s.ctl.SetWriteDeadline(time.Now().Add(s.left)); err != nil {
		return err
	}
	h := s.w.Header()
	for k, v := range header {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing.
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
func (s *sink) Write(p []byte) (int, error) {
	if s.head {
		return len(p), nil
	}
	return s.w.Write(p)
}

// Flush implements runner.Sink.
func (s *sink) Flush() error { return s.ctl.Flush() }

// badRequestError reports a request that is refused before it reaches the reducer.
type badRequestError struct {
	status  int
	code    string
	message string
}

// Error implements error.
func (e *badRequestError) Error() string { return e.message }

func refuse(s *sink, e *badRequestError) {
	if s.unread {
		// Otherwise net/http waits for the rest of the body before it sends the answer.
		s.w.Header()["Connection"] = []string{"close"}
	}
	_ = runner.WriteRefusal(s, runner.Refusal{Status: e.status, Code: e.code, Run: core.RunNo, Message: e.message})
}
