package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sardinecross.example/lib/applog"
	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/common/prog"
	"sardinecross.example/lib/conf"
	"sardinecross.example/lib/roster"
)

// fakeSite is a fake log, a fake host list and a fake host that always has the newest version in force.
type fakeSite struct {
	records []applog.Record
	// onAppend holds one function for each of the next appends. It returns whether the append takes effect, and its error.
	onAppend []func() (applied bool, err error)
	// neverResponds makes appends take effect without a response.
	neverResponds bool
	readErr       error
	entries       []roster.Entry
	version       atomic.Int64
	settings      string
}

var (
	errNotApplied     = &applog.NotAppliedError{Stream: "config", Err: context.Canceled}
	errUnknownOutcome = &applog.UnknownOutcomeError{Stream: "config", Err: context.Canceled}
)

func (s *fakeSite) Append(ctx context.Context, _ string, data []byte) (int64, error) {
	if s.neverResponds {
		s.appendRecord(data)
		<-ctx.Done()
		return 0, errUnknownOutcome
	}
	applied, err := true, error(nil)
	if len(s.onAppend) > 0 {
		applied, err = s.onAppend[0]()
		s.onAppend = s.onAppend[1:]
	}
	if applied {
		s.appendRecord(data)
	}
	return int64(len(s.records) - 1), err
}

func (s *fakeSite) appendRecord(data []byte) {
	s.records = append(s.records, applog.Record{Offset: int64(len(s.records)), Data: data})
	s.version.Store(int64(len(s.records) - 1))
}

func (s *fakeSite) Read(ctx context.Context, _ string, from int64, _ int) (applog.Batch, error) {
	if ctx.Err() != nil {
		return applog.Batch{}, &applog.ReadError{Err: ctx.Err()}
	}
	n := int64(len(s.records))
	return applog.Batch{Records: s.records[min(from, n):], Next: n}, s.readErr
}

func (s *fakeSite) Close() {}

type fakeHostList struct{ *fakeSite }

func (l fakeHostList) Read(context.Context) ([]roster.Entry, error) { return l.entries, nil }

func newFakeSite(t *testing.T) *fakeSite {
	t.Helper()
	s := &fakeSite{}
	for _, dc := range []ident.DataCentre{"passau", "landshut"} {
		s.entries = append(s.entries, roster.Entry{ID: string(dc), DataCentre: dc})
	}
	s.version.Store(-1)
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"host":"passau-1","configuration":{"version":%d,"age":"1s"},"inService":true}`, s.version.Load())
	}))
	t.Cleanup(host.Close)
	s.settings = filepath.Join(t.TempDir(), "ops.json")
	writeFile(t, s.settings, `{"platform": {"log": "127.0.0.1:1", "hostList": "127.0.0.1:2"}, "admin": ["`+host.Listener.Addr().String()+`"]}`)
	return s
}

func writeFile(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// run executes a command line against the fake site and returns its exit code and output.
func (s *fakeSite) run(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errOut bytes.Buffer
	tool := newTool(&out, &errOut)
	tool.openLog = func(string) logClient { return s }
	tool.openHostList = func(string) hostList { return fakeHostList{s} }
	tool.pollInterval, tool.reappendAfter, tool.logTimeout = time.Millisecond, 20*time.Millisecond, 100*time.Millisecond
	code = tool.run(t.Context(), append([]string{"-settings", s.settings}, args...))
	return code, out.String(), errOut.String()
}

func assertRun(t *testing.T, s *fakeSite, wantCode int, wantText string, args ...string) {
	t.Helper()
	code, out, errOut := s.run(t, args...)
	if code != wantCode || !strings.Contains(out+errOut, wantText) {
		t.Fatalf("%v: exit code %d, want %d with %q\n%s%s", args, code, wantCode, wantText, out, errOut)
	}
}

func appendOutcome(applied bool, err error) func() (bool, error) {
	return func() (bool, error) { return applied, err }
}

var setOrdersClass = []string{"class", "set", "orders", "-service", "booking", "-target", "50ms", "-deadline", "2s"}

// Guards against a class flag that is not published, and against flags that are not set and change the published values.
func TestPublishClass(t *testing.T) {
	s := newFakeSite(t)
	assertRun(t, s, prog.ExitOK, "class/orders accepted as version 0\nin force on 1 of 1 hosts", setOrdersClass...)
	assertRun(t, s, prog.ExitOK, "class/orders accepted as version 1", "class", "set", "orders", "-target", "80ms")
	assertRun(t, s, prog.ExitOK, "orders  booking  80ms    2s        false       1     1", "class", "list")
	assertRun(t, s, prog.ExitOK, `"target": "80ms"`, "class", "list", "-json")
	assertRun(t, s, prog.ExitOK, "unchanged as version 1", "class", "set", "orders", "-rank", "1")
	assertRun(t, s, prog.ExitUsage, "target: is not above zero", "class", "set", "x", "-service", "s")
}

// Guards against two faults after an append without a response: reporting "accepted" although the record was not read
// back from the log, and reporting a failure although the append took effect.
func TestAppendWithoutResponse(t *testing.T) {
	t.Run("applied", func(t *testing.T) {
		s := newFakeSite(t)
		s.onAppend = append(s.onAppend, appendOutcome(true, errUnknownOutcome))
		assertRun(t, s, prog.ExitOK, "accepted as version 0", setOrdersClass...)
	})
	t.Run("no response", func(t *testing.T) {
		s := newFakeSite(t)
		s.neverResponds = true
		assertRun(t, s, prog.ExitOK, "accepted as version 0", setOrdersClass...)
	})
	t.Run("not applied, appended again", func(t *testing.T) {
		s := newFakeSite(t)
		s.onAppend = append(s.onAppend, appendOutcome(false, errUnknownOutcome))
		assertRun(t, s, prog.ExitOK, "accepted as version 0", setOrdersClass...)
	})
	t.Run("log unreadable afterwards", func(t *testing.T) {
		s := newFakeSite(t)
		s.onAppend = append(s.onAppend, func() (bool, error) {
			s.readErr = &applog.ReadError{Err: context.Canceled}
			return false, errUnknownOutcome
		})
		assertRun(t, s, exitUnknownOutcome, "outcome unknown", append([]string{"-timeout", "50ms"}, setOrdersClass...)...)
	})
	t.Run("known not to be applied", func(t *testing.T) {
		s := newFakeSite(t)
		s.onAppend = append(s.onAppend, appendOutcome(false, errNotApplied))
		assertRun(t, s, prog.ExitFailed, "not applied", setOrdersClass...)
	})
}

// Guards against overwriting the change of another operator. The other proposal reaches the log between reading the
// configuration and appending the own proposal.
func TestConflict(t *testing.T) {
	s := newFakeSite(t)
	s.onAppend = append(s.onAppend, func() (bool, error) {
		other, err := conf.NewProposal(conf.Proposal{ID: "other", Item: conf.DataCentreItem("passau"), Base: conf.NoVersion})
		if err != nil {
			t.Fatal(err)
		}
		s.appendRecord(other)
		return true, nil
	})
	assertRun(t, s, exitConflict, "conflict", "out", "dataCentre", "passau")
}

// Guards against taking the whole site out of service, by the last data centre in service or by a misspelt name.
func TestLastDataCentre(t *testing.T) {
	s := newFakeSite(t)
	assertRun(t, s, prog.ExitOK, "accepted", "out", "dataCentre", "passau")
	assertRun(t, s, prog.ExitFailed, "last data centre", "out", "dataCentre", "landshut")
	assertRun(t, s, prog.ExitFailed, "no data centre", "out", "dataCentre", "landhsut")
	assertRun(t, s, prog.ExitOK, "data centres out: [passau]", "status")
	assertRun(t, s, prog.ExitOK, "accepted", "back", "dataCentre", "passau")
	assertRun(t, s, prog.ExitOK, "accepted", "out", "dataCentre", "landshut", "-force")
	assertRun(t, s, prog.ExitOK, "accepted", "out", "upstream", "booking-1")
	assertRun(t, s, prog.ExitOK, `"booking-1"`, "status", "-json")
}

// Guards against counting hosts with an older version, or without a response, as hosts on which the version is in force.
func TestInForceReportsMissingHosts(t *testing.T) {
	behind := hostStatus{Address: "a", Host: "passau-1"}
	f := countInForce([]hostStatus{behind, {Address: "b", Error: "refused"}}, 3)
	if want := "in force on 0 of 2 hosts\n  not on a passau-1: has version 0\n  not on b : refused\n"; f.text() != want {
		t.Fatalf("got %q", f.text())
	}
}

// Guards against help without examples or exit codes, and against invalid command lines that don't exit with ExitUsage.
func TestUsage(t *testing.T) {
	s := newFakeSite(t)
	for _, c := range commands() {
		args := append(strings.Fields(c.name), "--help")
		assertRun(t, s, prog.ExitOK, "Examples:\n  sardinectl "+c.examples[0], args...)
	}
	assertRun(t, s, prog.ExitOK, "Exit codes", "--help")
	assertRun(t, s, prog.ExitOK, "sardinectl ", "--version")
	for _, line := range []string{"", "fly", "out passau", "out host passau-1", "status -x", "class set", "keys host -ca x", "status -settings="} {
		if code, out, _ := s.run(t, strings.Fields(line)...); code != prog.ExitUsage || out != "" {
			t.Errorf("%q: exit code %d, output %q", line, code, out)
		}
	}
}

// Guards against an error in a settings file that is not reported, or is reported without its position.
func TestSettingsCheck(t *testing.T) {
	s := newFakeSite(t)
	assertRun(t, s, prog.ExitOK, "ok", "settings", "check", "-program", "sardinectl", s.settings)
	assertRun(t, s, prog.ExitUsage, ":1:1: host: is missing", "settings", "check", s.settings)
	assertRun(t, s, prog.ExitUsage, "no such file", "settings", "check", s.settings+"x")
	writeFile(t, s.settings, `{"admin": []}`)
	assertRun(t, s, prog.ExitUsage, "admin: length 0 is below 1", "status")
}

// Guards against certificates that hosts reject when they connect to each other, by ID or by address, as server or
// client, and against a host's certificate being accepted as a CA.
func TestKeys(t *testing.T) {
	s := newFakeSite(t)
	_, ca, _ := s.run(t, "keys", "ca", "-site", "hofbauer")
	file := filepath.Join(t.TempDir(), "ca.pem")
	writeFile(t, file, ca)
	code, identity, errOut := s.run(t, "keys", "host", "-ca", file, "-id", "passau-1", "-address", "127.0.1.1")
	if code != prog.ExitOK {
		t.Fatal(errOut)
	}
	pair, err := tls.X509KeyPair([]byte(identity), []byte(identity))
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM([]byte(ca))
	for _, name := range []string{"passau-1", "127.0.1.1"} {
		_, err = pair.Leaf.Verify(x509.VerifyOptions{
			DNSName: name, Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	writeFile(t, file, identity)
	var notCA *notCAError
	if _, err := loadCA(file); !errors.As(err, &notCA) {
		t.Fatalf("loading a host's certificate as a CA: got error %v, want notCAError", err)
	}
}
