package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"sardinecross.example/lib/common/prog"
	"sardinecross.example/lib/explain"
)

// runExplain executes sardinectl explain without a settings file.
func runExplain(t *testing.T, args ...string) (code int, output string) {
	t.Helper()
	var out bytes.Buffer
	code = newTool(&out, &out).run(t.Context(), append([]string{"explain"}, args...))
	return code, out.String()
}

// Guards against a wrong exit code, against a key in an address or an error, and against an answer of which parts are not shown.
func TestExplain(t *testing.T) {
	const key = "k-secret"
	answer := &explain.Answer{
		Host: "h", Configuration: &explain.Configuration{Version: 7, AgeMs: 12, Position: &explain.Position{Era: 2, Offset: 70}},
		List: &explain.Position{Era: 2, Offset: 90}, Route: "r", Service: "s", KeyNeeded: true, Organisation: "o",
		Split:     []explain.Share{{Service: "s", Share: 0.75}, {Service: "t", Share: 0.25}},
		Class:     &explain.Class{Priority: 2, Kind: "once", MaxAttempts: 3, TargetMs: 600, DeadlineMs: 2000},
		Allowance: &explain.Allowance{RatePerS: 5, Burst: 10, Owner: "p", State: explain.Rejected, DecidedAs: "owner", RetryAfterMs: 250},
		Selection: &explain.Selection{
			Owner: "p", AnsweredBy: "h", OwnView: "the owner did not answer", Waiting: 4, ExpectedWaitMs: 33, Upstreams: 2, LeftOut: 0,
			PassedOver: map[string]int{"cold": 1},
			Candidates: []explain.Candidate{{Upstream: "u1", ExpectedTimeMs: 45, InFlight: 1, Slots: 8}, {Upstream: "u2", PassedOver: "cold"}},
		},
		Rejection: &explain.Rejection{Status: 429, Reason: "allowance exceeded", RetryAfterMs: 250},
	}
	status := http.StatusOK
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Key") != key || strings.Contains(r.RequestURI, key) || r.URL.Path != explain.Path || r.URL.Query().Get("header") != "Deadline-Ms: 5" {
			t.Errorf("%s with the headers %v", r.RequestURI, r.Header)
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer)
	}))
	address := host.Listener.Addr().String()
	keyFile, emptyFile := filepath.Join(t.TempDir(), "key"), filepath.Join(t.TempDir(), "empty")
	writeFile(t, keyFile, key+"\n")
	writeFile(t, emptyFile, "\n")
	request := []string{"-host", "a.example", "-path", "/x"}
	valid := append([]string{"-address", address, "-header", "Deadline-Ms: 5", "-key-file", keyFile}, request...)
	_, text := runExplain(t, valid...)
	for _, part := range []string{
		"rejected with 429: allowance exceeded, retry after 250 ms", "version 7, confirmed 12 ms ago, era 2, offset 70", "passed over: cold 1, era 2, offset 90", "s 75%, t 25%", "organisation o", "priority 2, once, at most 3",
		"retried only if it has not run", "target 600 ms, deadline 2000 ms", "5/s, burst 10, owner p", "view of h alone: the owner did not answer",
		"4 waiting, expected wait 33 ms", "passed over: cold 1", "45 ms", "1 of 8", "cold\n",
	} {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in\n%s", part, text)
		}
	}
	var got explain.Answer
	if code, text := runExplain(t, append(valid, "-json")...); code != prog.ExitOK || json.Unmarshal([]byte(text), &got) != nil || got.Rejection.Status != 429 {
		t.Errorf("exit code %d with\n%s", code, text)
	}
	status = http.StatusTooManyRequests
	for name, c := range map[string]struct {
		args []string
		code int
		text string
	}{
		"too many":        {valid, prog.ExitFailed, "HTTP status 429"},
		"unknown flag":    {append([]string{"-x"}, valid...), prog.ExitUsage, "-x"},
		"operand":         {append([]string{"x"}, valid...), prog.ExitUsage, "usage"},
		"header":          {append([]string{"-header", "x"}, valid...), prog.ExitUsage, "-header"},
		"key in a header": {append([]string{"-header", "Key: " + key}, valid...), prog.ExitUsage, "-header"},
		"no port":         {append([]string{"-address", "127.0.0.1"}, request...), prog.ExitUsage, "not IP:PORT"},
		"odd port":        {append([]string{"-address", "127.0.0.1:x"}, request...), prog.ExitUsage, "not IP:PORT"},
		"no address":      {request, prog.ExitUsage, "not IP:PORT"},
		"no path":         {[]string{"-address", address, "-host", "a.example"}, prog.ExitUsage, "-path"},
		"no key file":     {append([]string{"-key-file", keyFile + "x"}, append([]string{"-address", address}, request...)...), prog.ExitUsage, "-key-file"},
		"empty key file":  {append([]string{"-key-file", emptyFile, "-address", address}, request...), prog.ExitUsage, "-key-file"},
		"unreachable":     {append([]string{"-address", "127.0.0.1:1", "-key-file", keyFile}, request...), prog.ExitFailed, "connection refused"},
	} {
		t.Run(name, func(t *testing.T) {
			if code, text := runExplain(t, c.args...); code != c.code || !strings.Contains(text, c.text) || strings.Contains(text, key) {
				t.Errorf("exit code %d, want %d with %q and without the key:\n%s", code, c.code, c.text, text)
			}
		})
	}
	host.Close()
}

// Guards against an explanation in a response with an invalid head, whose end and content cannot be relied on.
func TestExplainRejectsBrokenHeads(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer nc.Close()
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 2\r\n\r\n{}")
	}))
	defer host.Close()
	code, text := runExplain(t, "-address", host.Listener.Addr().String(), "-host", "a.example", "-path", "/x")
	if code == prog.ExitOK || !strings.Contains(text, "invalid field name") {
		t.Errorf("exit code %d with\n%s\nwant an error that names the field", code, text)
	}
}
