package heads

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"testing"
)

// read reads a response with the given text, checks it, and reads its body.
func read(t *testing.T, text string) error {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := Check(resp); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// assertInvalidName checks that a response with the given text has an invalid field name.
func assertInvalidName(t *testing.T, text, name string) {
	t.Helper()
	err := read(t, text)
	var invalid *FieldNameError
	if !errors.As(err, &invalid) || invalid.Name != name {
		t.Errorf("got error %v, want a FieldNameError for %q", err, name)
	}
}

// Guards against valid responses that are rejected: names with all characters that a token may have, folded values, trailers, and
// statuses that HTTP does not define.
func TestValidResponses(t *testing.T) {
	for name, text := range map[string]string{
		"token":          "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: b\r\nContent-Length: 2\r\n\r\nab",
		"folded value":   "HTTP/1.1 200 OK\r\nA: b\r\n c d\r\nContent-Length: 2\r\n\r\nab",
		"trailer":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA: b\r\n\r\n",
		"without length": "HTTP/1.1 200 OK\r\n\r\nab",
		"status 999":     "HTTP/1.1 999 Other\r\nContent-Length: 2\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			if err := read(t, text); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against heads and trailers that net/http accepts although a field name is not valid.
func TestInvalidFieldNames(t *testing.T) {
	assertInvalidName(t, "HTTP/1.1 200 OK\r\nA B: c\r\n\r\n", "A B")
	assertInvalidName(t, "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nab", "Content-Length ")
	assertInvalidName(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA B: c\r\n\r\n", "A B")
}

// Guards against a status that HTTP does not define being taken for that of an interim response, and for one that says anything.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range []string{"000", "001", "099"} {
		var invalid *StatusError
		if err := read(t, "HTTP/1.1 "+status+" \r\nContent-Length: 0\r\n\r\n"); !errors.As(err, &invalid) {
			t.Errorf("got error %v, want a StatusError for status %s", err, status)
		}
	}
}

// Guards against interim responses without end, and against an invalid name in one of them.
func TestInterimResponses(t *testing.T) {
	var i Interim
	for range MaxInterim {
		if err := i.Check(http.StatusEarlyHints, textproto.MIMEHeader{"A": {"b"}}); err != nil {
			t.Fatal(err)
		}
	}
	var limit *InterimLimitError
	if err := i.Check(http.StatusEarlyHints, nil); !errors.As(err, &limit) {
		t.Errorf("got error %v, want an InterimLimitError", err)
	}
	var invalid *FieldNameError
	if err := new(Interim).Check(http.StatusEarlyHints, textproto.MIMEHeader{"A B": {"c"}}); !errors.As(err, &invalid) {
		t.Errorf("got error %v, want a FieldNameError", err)
	}
}
