package applog

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against an append that is reported as not applied although it may have taken effect: such an append is
// repeated, so the record would be appended twice.
func TestAppendErrorTellsWhetherApplied(t *testing.T) {
	t.Run("connection refused", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		assertNotApplied(t, appendTo(t, l.Addr().String()), true)
	})
	for name, c := range map[string]struct {
		status     int
		body       string
		notApplied bool
	}{
		"rate limit":      {429, "", true},
		"outage":          {503, "", true},
		"internal error":  {500, "", false},
		"redirect":        {302, "", false},
		"not JSON":        {200, "x", false},
		"no offset":       {200, "{}", false},
		"negative offset": {200, `{"offset":-1}`, false},
		"too long":        {200, strings.Repeat(" ", maxAppendResponseBytes+1), false},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				w.Write([]byte(c.body))
			})
			assertNotApplied(t, appendTo(t, s), c.notApplied)
		})
	}
	t.Run("connection closed without a response", func(t *testing.T) {
		var calls atomic.Int64
		s := startServer(t, func(http.ResponseWriter, *http.Request) {
			calls.Add(1)
			panic(http.ErrAbortHandler)
		})
		assertNotApplied(t, appendTo(t, s), false)
		if n := calls.Load(); n != 1 {
			t.Errorf("append sent %d times, want 1", n)
		}
	})
	t.Run("cancelled while waiting", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			cancel()
			<-r.Context().Done()
		})
		c := New(s)
		defer c.Close()
		_, err := c.Append(ctx, "config", []byte("x"))
		assertNotApplied(t, err, false)
	})
	t.Run("closed client", func(t *testing.T) {
		c := New("127.0.0.1:1")
		c.Close()
		_, err := c.Append(t.Context(), "config", nil)
		assertNotApplied(t, err, true)
	})
}

// Guards against a repeated append: net/http may resend a request if the server closes a reused connection.
func TestAppendNotRepeatedOnReusedConnection(t *testing.T) {
	var calls atomic.Int64
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		w.Write([]byte(`{"offset":1}`))
	})
	c := New(s)
	defer c.Close()
	if n, err := c.Append(t.Context(), "config", []byte("a")); err != nil || n != 1 {
		t.Fatalf("first append: got offset %d, error %v, want offset 1", n, err)
	}
	_, err := c.Append(t.Context(), "config", []byte("b"))
	assertNotApplied(t, err, false)
	if n := calls.Load(); n != 2 {
		t.Errorf("server received %d appends, want 2", n)
	}
}

// Guards against a Close that returns while a call still uses the client: it must cancel the call and wait for it.
func TestCloseCancelsCalls(t *testing.T) {
	started := make(chan struct{})
	s := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	})
	c := New(s)
	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(t.Context(), "config", 0, 1)
		ended <- err
	}()
	<-started
	c.Close()
	var re *ReadError
	if err := <-ended; !errors.As(err, &re) {
		t.Errorf("read ended with %v, want a ReadError", err)
	}
}

// Guards against a batch with a gap in its offsets: hosts would reach different decisions from the same log.
func TestDecodeBatchRejectsGaps(t *testing.T) {
	for body, ok := range map[string]bool{
		`{"records":[{"offset":4,"data":"YQ=="},{"offset":5,"data":""}],"first":2,"next":7}`: true,
		`{"records":[{"offset":4},{"offset":6}],"first":2,"next":7}`:                         false,
		`{"records":[{"offset":5}],"first":2,"next":7}`:                                      false,
		`{"records":[{"offset":6}],"first":6,"next":7}`:                                      true,
		`{"first":0,"next":0}`: true,
		`{"records":[{"offset":4},{"offset":4}],"first":2,"next":7}`:              false,
		`{"records":[{"offset":7}],"first":2,"next":7}`:                           false,
		`{"records":[{"offset":3}],"first":2,"next":7}`:                           false,
		`{"records":[{}],"first":0,"next":7}`:                                     false,
		`{"records":[{"offset":4,"data":"?"}],"first":2,"next":7}`:                false,
		`{"records":[],"first":8,"next":7}`:                                       false,
		`{"records":[],"first":1}`:                                                false,
		`{"records":[{"offset":4},{"offset":5},{"offset":6}],"first":2,"next":7}`: false,
	} {
		if _, err := decodeBatch([]byte(body), 4, 2); (err == nil) != ok {
			t.Errorf("decoding %s: got error %v, want success %v", body, err, ok)
		}
	}
}

// Guards against accepted batches with offsets that are out of range or not ascending.
func FuzzDecodeBatch(f *testing.F) {
	f.Add([]byte(`{"records":[{"offset":4,"data":"YQ=="}],"first":2,"next":7}`), int64(3))
	f.Fuzz(func(t *testing.T, body []byte, from int64) {
		b, err := decodeBatch(body, from, 10)
		if err != nil {
			return
		}
		for i, r := range b.Records {
			if r.Offset < from || r.Offset < b.First || r.Offset >= b.Next || i > 0 && r.Offset <= b.Records[i-1].Offset {
				t.Errorf("accepted %s", body)
			}
		}
	})
}

// Guards against an accepted negative offset.
func FuzzDecodeAppend(f *testing.F) {
	f.Add([]byte(`{"offset":4}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if n, err := decodeAppend(body); err == nil && n < 0 {
			t.Errorf("accepted %s", body)
		}
	})
}

// startServer starts a log server with the given handler and returns its address.
func startServer(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// appendTo appends one record with a new client and returns the error.
func appendTo(t *testing.T, address string) error {
	t.Helper()
	c := New(address)
	defer c.Close()
	_, err := c.Append(t.Context(), "config", []byte("x"))
	return err
}

// assertNotApplied checks that err is a NotAppliedError if want is true, and otherwise an UnknownOutcomeError.
func assertNotApplied(t *testing.T, err error, want bool) {
	t.Helper()
	var na *NotAppliedError
	var un *UnknownOutcomeError
	if errors.As(err, &na) != want || errors.As(err, &un) == want {
		t.Errorf("got error %v, want a NotAppliedError: %v", err, want)
	}
}
