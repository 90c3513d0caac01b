package pool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"sardinecross.example/lib/common/heads"
)

// startBroken starts an upstream that reads a request, writes text and ends the connection.
func startBroken(t *testing.T, text string) string {
	t.Helper()
	return startUpstream(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader, _ int) {
		if _, ok := readRequestID(br); ok {
			_, _ = io.WriteString(nc, text)
		}
	})
}

// assertBroken checks that a response with the given text is an error that says that the request may have run, and that nothing of
// its head is reported before that.
func assertBroken(t *testing.T, text string) error {
	t.Helper()
	r := newRequest(startBroken(t, text), "1")
	r.OnHeader = func(status int, h http.Header) {
		t.Errorf("status %d and header %v of a broken response were reported", status, h)
	}
	e := assertExchangeError(t, newPool(t), r)
	if !e.Answered {
		t.Error("the error says that nothing was read")
	}
	return e
}

// Guards against a response in whose head a field has an invalid name: the line is passed on, or it was meant to say where the body
// ends.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, text := range map[string]string{
		"blank in a name":                ok + "A B: c\r\nContent-Length: 2\r\n\r\nab",
		"blank after a name":             ok + "A : c\r\nContent-Length: 2\r\n\r\nab",
		"blank after Content-Length":     ok + "Content-Length : 2\r\n\r\nabcdef",
		"blank after Transfer-Encoding":  ok + "Transfer-Encoding : chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"both framings, one invalid":     ok + "Content-Length: 9\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"blank in the field of the ID":   "HTTP/1.1 200 OK\r\nId : 1\r\nId: 1\r\nContent-Length: 2\r\n\r\nab",
		"in an interim response":         "HTTP/1.1 103 Early Hints\r\nA B: c\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nab",
		"in a response that is skipped":  "HTTP/1.1 200 OK\r\nId: 2\r\nA B: c\r\nContent-Length: 0\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nab",
		"in a refusal":                   "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nA B: c\r\nContent-Length: 0\r\n\r\n",
		"of a response without a length": ok + "A B: c\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			var invalid *heads.FieldNameError
			if err := assertBroken(t, text); !errors.As(err, &invalid) {
				t.Errorf("got error %v, want a FieldNameError", err)
			}
		})
	}
}

// Guards against a response with a status that HTTP does not define: it is skipped like an interim one, and what follows on the
// connection is taken for the response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const fields = "Id: 1\r\nContent-Length: 2\r\n\r\nab"
	for _, status := range []string{"000", "001", "099"} {
		for name, next := range map[string]string{"alone": "", "before a response": "HTTP/1.1 200 OK\r\n" + fields} {
			t.Run(status+" "+name, func(t *testing.T) {
				var invalid *heads.StatusError
				if err := assertBroken(t, "HTTP/1.1 "+status+" \r\nId: 1\r\n\r\n"+next); !errors.As(err, &invalid) {
					t.Errorf("got error %v, want a StatusError", err)
				}
			})
		}
	}
}

// Guards against a status line that the library of net/http rejects already, should it change.
func TestMalformedStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"", "2", "20", "+20", "-20", "2000", "2x0", "0x1"} {
		t.Run(status, func(t *testing.T) {
			_ = assertBroken(t, "HTTP/1.1 "+status+" OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nab")
		})
	}
}

// Guards against field names with bytes that the library of net/http rejects already, should it change.
func TestControlByteInAFieldIsNoResponse(t *testing.T) {
	for name, field := range map[string]string{
		"control byte": "A\x01B: c", "tab": "A\tB: c", "NUL": "A\x00: c", "DEL": "A\x7f: c", "byte above 0x7f": "A\x80: c",
		"tab after a name": "A\t: c", "empty name": ": c", "no colon": "A", "control byte in a value": "A: b\x01c",
		"carriage return in a value": "A: b\rc", "name on two lines": "A\r\n : c",
	} {
		t.Run(name, func(t *testing.T) {
			_ = assertBroken(t, "HTTP/1.1 200 OK\r\nId: 1\r\n"+field+"\r\nContent-Length: 2\r\n\r\nab")
		})
	}
}

// Guards against a trailer with an invalid field name that ends a body like a valid one, also after the head was passed on.
func TestInvalidTrailerIsNoEndOfTheResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("10000\r\n"+strings.Repeat("b", 1<<16)+"\r\n", 48)
	for name, text := range map[string]string{
		"short": head + "2\r\nab\r\n0\r\nA B: c\r\n\r\n",
		"long":  head + long + "0\r\nA B: c\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readWhole(context.Background(), newPool(t), newRequest(startBroken(t, text), "1"))
			var invalid *heads.FieldNameError
			if !errors.As(err, &invalid) {
				t.Errorf("got error %v, want a FieldNameError", err)
			}
		})
	}
}
