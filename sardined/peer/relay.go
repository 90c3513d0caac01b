package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/sardined/runner"
)

const (
	// codeAborted resets the stream of a relayed request that either host gave up.
	codeAborted quic.StreamErrorCode = 1
	// chunkBytes bounds one chunk of the body of a relayed answer; an empty chunk ends the body.
	chunkBytes = 32 << 10
	// headOverheadBytes is room for the fields of a request head besides the path and the caller's header.
	headOverheadBytes = 4 << 10
	// maxAnswerHeadBytes bounds the head of a relayed answer.
	maxAnswerHeadBytes = 128 << 10
)

// wireRequest is the head of a relayed request.
type wireRequest struct {
	Class      ident.ClassName     `cbor:"class"`
	Tenant     ident.Tenant        `cbor:"tenant,omitempty"`
	Timeout    time.Duration       `cbor:"timeout"`
	Token      string              `cbor:"token,omitempty"`
	Key        string              `cbor:"key,omitempty"`
	Depth      int                 `cbor:"depth,omitempty"`
	Retry      bool                `cbor:"retry,omitempty"`
	Method     string              `cbor:"method"`
	Path       string              `cbor:"path"`
	RawPath    string              `cbor:"rawPath,omitempty"`
	RawQuery   string              `cbor:"rawQuery,omitempty"`
	Header     map[string][]string `cbor:"header,omitempty"`
	BodyLength int                 `cbor:"bodyLength,omitempty"`
}

// wireAnswer is the head of a relayed answer.
type wireAnswer struct {
	Status int                 `cbor:"status"`
	Header map[string][]string `cbor:"header,omitempty"`
	// Length is the length of the body in bytes, negative if unknown.
	Length int64 `cbor:"length"`
}

// Relay implements runner.Links. It reports whether the head of the answer was passed to sink.
func (l *Links) Relay(ctx context.Context, to ident.HostID, req *runner.Request, sink runner.Sink) (bool, error) {
	l.mu.Lock()
	p := l.peers[to]
	l.mu.Unlock()
	if p == nil {
		return false, &UnreachableError{Host: to}
	}
	conn := p.activeConn()
	if conn == nil {
		return false, &UnreachableError{Host: to}
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return false, err
	}
	defer context.AfterFunc(ctx, func() { abort(stream) })()
	if err := l.sendRequest(stream, req); err != nil {
		abort(stream)
		return false, err
	}
	headSent, err := receiveAnswer(bufio.NewReaderSize(stream, chunkBytes), sink)
	if err != nil {
		abort(stream)
	}
	return headSent, err
}

// abort resets both directions of the stream of a relayed request.
func abort(stream *quic.Stream) {
	stream.CancelRead(codeAborted)
	stream.CancelWrite(codeAborted)
}

// sendRequest writes the head and the body of a request, and closes the sending direction of the stream.
func (l *Links) sendRequest(stream *quic.Stream, req *runner.Request) error {
	head := wireRequest{
		Class:      req.Class,
		Tenant:     req.Tenant,
		Timeout:    req.Timeout,
		Token:      req.Token,
		Key:        req.Key,
		Depth:      req.Depth,
		Retry:      req.Retry,
		Method:     req.Method,
		Path:       req.Path,
		RawPath:    req.RawPath,
		RawQuery:   req.RawQuery,
		Header:     req.Header,
		BodyLength: len(req.Body),
	}
	if err := writeFrame(stream, head, l.maxRequestHeadBytes()); err != nil {
		return err
	}
	if _, err := stream.Write(req.Body); err != nil {
		return err
	}
	return stream.Close()
}

// maxRequestHeadBytes bounds the encoded head of a relayed request. It is a multiple of MaxHeaderBytes because the path is
// sent in two forms, decoded and raw.
func (l *Links) maxRequestHeadBytes() int { return 3*l.cfg.MaxHeaderBytes + headOverheadBytes }

// receiveAnswer copies an answer to sink. It reports whether the head was passed to sink.
func receiveAnswer(r io.Reader, sink runner.Sink) (bool, error) {
	head, err := readAnswerHead(r)
	if err != nil {
		return false, err
	}
	if err := sink.WriteHead(head.Status, head.Header, head.Length); err != nil {
		return true, err
	}
	buf := make([]byte, chunkBytes)
	read := int64(0)
	for {
		chunk, err := readFrame(r, buf, chunkBytes)
		if err != nil {
			return true, err
		}
		if len(chunk) == 0 {
			return true, checkLength(head, read)
		}
		read += int64(len(chunk))
		if _, err := sink.Write(chunk); err != nil {
			return true, err
		}
		if head.Length < 0 {
			if err := sink.Flush(); err != nil {
				return true, err
			}
		}
	}
}

// checkLength returns an error if the body does not have its announced length. An empty body is accepted, since an answer
// to HEAD announces a length but has no body.
func checkLength(head wireAnswer, read int64) error {
	if head.Length >= 0 && read > 0 && read != head.Length {
		return &RangeError{Field: "length", Value: read}
	}
	return nil
}

func readAnswerHead(r io.Reader) (wireAnswer, error) {
	body, err := readFrame(r, nil, maxAnswerHeadBytes)
	if err != nil {
		return wireAnswer{}, err
	}
	return decodeAnswerHead(body)
}

// decodeAnswerHead decodes and validates the head of a relayed answer.
func decodeAnswerHead(body []byte) (wireAnswer, error) {
	var head wireAnswer
	if err := decMode.Unmarshal(body, &head); err != nil {
		return wireAnswer{}, &MessageError{Err: err}
	}
	if head.Status < http.StatusOK || head.Status > 999 {
		return wireAnswer{}, &MessageError{Err: &RangeError{Field: "status", Value: int64(head.Status)}}
	}
	return head, nil
}

// acceptRelays starts a goroutine for each request that the other host relays.
func (l *Links) acceptRelays(ctx context.Context, conn *quic.Conn, tasks *sync.WaitGroup) error {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return err
		}
		tasks.Go(func() { l.serveRelay(stream) })
	}
}

// serveRelay runs one relayed request and sends its answer. The stream's context ends when the other host gives up the
// request.
func (l *Links) serveRelay(stream *quic.Stream) {
	req, release, err := l.readRequest(stream)
	if err != nil {
		l.deps.Metrics.PeerMessagesInvalid.Inc(1)
		abort(stream)
		return
	}
	defer release()
	sink := &streamSink{stream: stream, w: bufio.NewWriterSize(stream, chunkBytes+lengthBytes)}
	if err := l.handler.Serve(stream.Context(), req, sink); err != nil {
		abort(stream)
		return
	}
	if err := sink.finish(); err != nil {
		abort(stream)
		return
	}
	_ = stream.Close()
}

// relayReadTimeout bounds the time for reading a relayed request from the stream.
const relayReadTimeout = 10 * time.Second

// readRequest reads a whole relayed request. The returned function must be called when the request has ended: it releases
// the body's share of bufferedBytes.
func (l *Links) readRequest(stream *quic.Stream) (*runner.Request, func(), error) {
	if err := stream.SetReadDeadline(time.Now().Add(relayReadTimeout)); err != nil {
		return nil, nil, err
	}
	body, err := readFrame(stream, nil, l.maxRequestHeadBytes())
	if err != nil {
		return nil, nil, err
	}
	head, err := decodeRequestHead(body, l.cfg.MaxBodyBytes)
	if err != nil {
		return nil, nil, err
	}
	size := int64(head.BodyLength)
	if l.bufferedBytes.Add(size) > l.cfg.MaxBufferedBytes {
		l.bufferedBytes.Add(-size)
		return nil, nil, &SizeError{Size: head.BodyLength, Limit: int(l.cfg.MaxBufferedBytes)}
	}
	req := head.toRequest()
	if _, err := io.ReadFull(stream, req.Body); err != nil {
		l.bufferedBytes.Add(-size)
		return nil, nil, err
	}
	return req, func() { l.bufferedBytes.Add(-size) }, nil
}

// decodeRequestHead decodes and validates the head of a relayed request.
func decodeRequestHead(body []byte, maxBody int) (wireRequest, error) {
	var head wireRequest
	if err := decMode.Unmarshal(body, &head); err != nil {
		return wireRequest{}, &MessageError{Err: err}
	}
	if head.BodyLength < 0 || head.BodyLength > maxBody {
		return wireRequest{}, &MessageError{Err: &SizeError{Size: head.BodyLength, Limit: maxBody}}
	}
	if head.Timeout <= 0 || head.Depth < 0 {
		return wireRequest{}, &MessageError{Err: &RangeError{Field: "timeout", Value: int64(head.Timeout)}}
	}
	if head.Token != "" && head.Key != "" {
		return wireRequest{}, &MessageError{Err: &ExclusiveFieldsError{Count: 2}}
	}
	return head, nil
}

// toRequest returns the request of a head, with room for the body.
func (w wireRequest) toRequest() *runner.Request {
	req := &runner.Request{
		Class:    w.Class,
		Tenant:   w.Tenant,
		Timeout:  w.Timeout,
		Token:    w.Token,
		Key:      w.Key,
		Depth:    w.Depth,
		Retry:    w.Retry,
		Relayed:  true,
		Method:   w.Method,
		Path:     w.Path,
		RawPath:  w.RawPath,
		RawQuery: w.RawQuery,
		Header:   w.Header,
	}
	if w.BodyLength > 0 {
		req.Body = make([]byte, w.BodyLength)
	}
	return req
}

// streamSink is a runner.Sink that writes an answer to the stream of a relayed request.
type streamSink struct {
	stream *quic.Stream
	w      *bufio.Writer
}

var _ runner.Sink = (*streamSink)(nil)

// SetWriteTimeout implements runner.Sink.
func (s *streamSink) SetWriteTimeout(left time.Duration) {
	// The error is ignored: if the deadline cannot be set, the writes to the stream fail as well.
	_ = s.stream.SetWriteDeadline(time.Now().Add(left))
}

// WriteHead implements runner.Sink.
func (s *streamSink) WriteHead(status int, header http.Header, length int64) error {
	return writeFrame(s.w, wireAnswer{Status: status, Header: header, Length: length}, maxAnswerHeadBytes)
}

// Write implements runner.Sink.
func (s *streamSink) Write(p []byte) (int, error) {
	n := 0
	for len(p) > 0 {
		part := p[:min(len(p), chunkBytes)]
		if err := s.writeChunk(part); err != nil {
			return n, err
		}
		n += len(part)
		p = p[len(part):]
	}
	return n, nil
}

// writeChunk writes one chunk of the body with its length.
func (s *streamSink) writeChunk(p []byte) error {
	var length [lengthBytes]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(p)))
	if _, err := s.w.Write(length[:]); err != nil {
		return err
	}
	_, err := s.w.Write(p)
	return err
}

// Flush implements runner.Sink.
func (s *streamSink) Flush() error { return s.w.Flush() }

// finish writes the empty chunk that marks the answer as complete.
func (s *streamSink) finish() error {
	return errors.Join(s.writeChunk(nil), s.w.Flush())
}

// UnreachableError reports that there is no link to a host.
type UnreachableError struct{ Host ident.HostID }

// Error implements error.
func (e *UnreachableError) Error() string { return "no open link to host " + string(e.Host) }
