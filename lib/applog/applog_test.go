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

// An append reported as not applied is repeated by the caller, so a wrong report doubles it.
func TestAppendErrors(t *testing.T) {
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
			s := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				w.Write([]byte(c.body))
			})
			assertNotApplied(t, appendTo(t, s), c.notApplied)
		})
	}
	t.Run("connection closed without an answer", func(t *testing.T) {
		var calls atomic.Int64
		s := serve(t, func(http.ResponseWriter, *http.Request) {
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
		s := serve(t, func(_ http.ResponseWriter, r *http.Request) {
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

// A kept connection that the server closed must not make net/http repeat the append.
func TestAppendNotRepeatedOnReusedConnection(t *testing.T) {
	var calls atomic.Int64
	s := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		w.Write([]byte(`{"offset":1}`))
	})
	c := New(s)
	defer c.Close()
	if n, err := c.Append(t.Context(), "config", []byte("a")); err != nil || n != 1 {
		t.Fatalf("first append: %d, %v", n, err)
	}
	_, err := c.Append(t.Context(), "config", []byte("b"))
	assertNotApplied(t, err, false)
	if n := calls.Load(); n != 2 {
		t.Errorf("%d appends arrived, want 2", n)
	}
}

// Close must not return while a call uses the client.
func TestCloseEndsCalls(t *testing.T) {
	started := make(chan struct{})
	s := serve(t, func(_ http.ResponseWriter, r *http.Request) {
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

// A batch with a gap in its order makes hosts decide differently from the same log.
func TestDecodeBatch(t *testing.T) {
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
			t.Errorf("decode %s: %v, want ok %v", body, err, ok)
		}
	}
}

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

func FuzzDecodeAppend(f *testing.F) {
	f.Add([]byte(`{"offset":4}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if n, err := decodeAppend(body); err == nil && n < 0 {
			t.Errorf("accepted %s", body)
		}
	})
}

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func appendTo(t *testing.T, address string) error {
	t.Helper()
	c := New(address)
	defer c.Close()
	_, err := c.Append(t.Context(), "config", []byte("x"))
	return err
}

func assertNotApplied(t *testing.T, err error, want bool) {
	t.Helper()
	var na *NotAppliedError
	var un *UnansweredError
	if errors.As(err, &na) != want || errors.As(err, &un) == want {
		t.Errorf("error %v, want not applied %v", err, want)
	}
}
