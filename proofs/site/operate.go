package site

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"
)

// CtlResult is the result of one run of the operators' program, sardinectl.
type CtlResult struct {
	s        *Site
	Stdout   []byte
	Stderr   string
	ExitCode int
}

// RunCtl runs the operators' program, sardinectl, without the settings of the site.
func (s *Site) RunCtl(args ...string) CtlResult {
	s.T.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "../bin/sardinectl", args...)
	var errs bytes.Buffer
	cmd.Stderr = &errs
	out, err := cmd.Output()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		s.T.Fatal(err)
	}
	return CtlResult{s: s, Stdout: out, Stderr: errs.String(), ExitCode: cmd.ProcessState.ExitCode()}
}

// RequireSuccess fails the test unless the program exited with 0.
func (r CtlResult) RequireSuccess() CtlResult {
	r.s.T.Helper()
	if r.ExitCode != 0 {
		r.s.T.Fatalf("sardinectl exited with %d: %s%s", r.ExitCode, r.Stdout, r.Stderr)
	}
	return r
}

// SaveStdout requires success and writes the standard output to a file in the site's directory.
func (r CtlResult) SaveStdout(name string) {
	r.s.T.Helper()
	r.RequireSuccess()
	if err := os.WriteFile(r.s.Path(name), r.Stdout, 0o600); err != nil {
		r.s.T.Fatal(err)
	}
}

// RunCtlWithSettings runs the operators' program with the settings of the site.
func (s *Site) RunCtlWithSettings(args ...string) CtlResult {
	s.T.Helper()
	return s.RunCtl(append([]string{"-settings", s.Path("operator.jsonc")}, args...)...)
}

// PublishClasses publishes a class for each service of the layout and waits until all hosts serve them.
func (s *Site) PublishClasses() {
	s.T.Helper()
	s.RunCtlWithSettings("class", "set", "orders", "-service", "booking", "-target", "100ms", "-deadline", "2s", "-rank", "1").RequireSuccess()
	if s.Layout.UpstreamsPerService["enquiry"] > 0 {
		s.RunCtlWithSettings("class", "set", "consultations", "-service", "enquiry", "-target", "50ms", "-deadline", "1s", "-idempotent", "-rank", "2").RequireSuccess()
	}
	reason := ""
	defer func() {
		if s.T.Failed() {
			s.T.Log("last reason why not all classes were in force: " + reason)
		}
	}()
	s.Wait("all classes to be in force on all hosts", func() bool {
		reason = s.unreadyReason()
		return reason == ""
	})
}

// unreadyReason says why a host that should be reachable does not serve all classes yet. It is empty if all hosts do.
func (s *Site) unreadyReason() string {
	for _, h := range s.LiveHosts() {
		st, err := s.Status(h)
		switch {
		case err != nil:
			return err.Error()
		case !st.InService || len(st.Classes) != len(s.Layout.UpstreamsPerService):
			return fmt.Sprintf("host %s: inService is %v, serves %d classes", h.ID, st.InService, len(st.Classes))
		}
		for _, m := range st.Members {
			if !m.Reachable && !s.ExpectedDown[m.ID] {
				return "host " + h.ID + " does not reach host " + m.ID
			}
		}
	}
	return ""
}

// HostStatus is the part of a host's answer to GET /status that tests and measurements read.
type HostStatus struct {
	Incarnation   string `json:"incarnation"`
	InService     bool   `json:"inService"`
	Leaving       bool   `json:"leaving"`
	Configuration struct {
		Version int64 `json:"version"`
	} `json:"configuration"`
	Classes []struct {
		Name   string `json:"name"`
		Target string `json:"target"`
	} `json:"classes"`
	Members []struct {
		ID        string `json:"id"`
		Reachable bool   `json:"reachable"`
	} `json:"members"`
	Upstreams []struct {
		ID    string `json:"id"`
		Owner string `json:"owner"`
		Limit int    `json:"limit"`
		Held  int    `json:"held"`
		Out   bool   `json:"out"`
	} `json:"upstreams"`
}

// Status asks a host for its status.
func (s *Site) Status(h *Host) (HostStatus, error) {
	var st HostStatus
	err := GetJSON("http://"+h.AdminAddr+"/status", &st)
	return st, err
}

// UpstreamStats is the part of the answer to the stand-in's GET /stats that the tests read about one upstream.
// LastWork is a Unix time in milliseconds; ProbeTime and ConnectionTime are in milliseconds. GreatestOver is the greatest
// number of requests in flight above what the upstream could bear at that moment. FellOver counts how often overload while
// it was cold made the upstream fail for a time.
type UpstreamStats struct {
	ID                   string  `json:"id"`
	Service              string  `json:"service"`
	DataCentre           string  `json:"dataCentre"`
	Slots                int     `json:"slots"`
	GreatestInFlight     int     `json:"greatestInFlight"`
	GreatestInFlightCold int     `json:"greatestInFlightCold"`
	GreatestOver         int     `json:"greatestOver"`
	FellOver             int64   `json:"fellOver"`
	Run                  int64   `json:"run"`
	LastWork             int64   `json:"lastWork"`
	ProbeTime            float64 `json:"probeTime"`
	ConnectionTime       float64 `json:"connectionTime"`
	Connections          int64   `json:"connections"`
	Probes               int64   `json:"probes"`
}

// UpstreamStats asks the stand-in of the upstreams for the counts of each of them.
func (s *Site) UpstreamStats() []UpstreamStats {
	s.T.Helper()
	var answer struct {
		Workers []UpstreamStats `json:"workers"`
	}
	if err := GetJSON("http://"+s.UpstreamControl()+"/stats", &answer); err != nil {
		s.T.Fatal(err)
	}
	return answer.Workers
}

// RunsPerOrder returns by order number how often each order ran on all upstreams together.
func (s *Site) RunsPerOrder() map[string]int {
	s.T.Helper()
	var answer struct {
		Orders map[string]struct {
			Run int `json:"run"`
		} `json:"orders"`
	}
	if err := GetJSON("http://"+s.UpstreamControl()+"/orders", &answer); err != nil {
		s.T.Fatal(err)
	}
	runs := map[string]int{}
	for number, e := range answer.Orders {
		runs[number] = e.Run
	}
	return runs
}

// PostControl sends a command to the control address of a stand-in, for example to switch a fault on or off.
func (s *Site) PostControl(addr, body string) {
	s.T.Helper()
	resp, err := HTTPClient.Post("http://"+addr+"/control", "application/json", strings.NewReader(body))
	if err != nil {
		s.T.Fatal(err)
	}
	defer resp.Body.Close() //nolint:errcheck // it was only read
	if text, _ := io.ReadAll(resp.Body); resp.StatusCode >= 300 {
		s.T.Fatalf("control command %s: %s: %s", body, resp.Status, text)
	}
}

// HTTPClient sends short requests to hosts and stand-ins.
var HTTPClient = &http.Client{Timeout: 2 * time.Second}

// GetJSON sends a GET request and decodes the JSON response into v.
func GetJSON(url string, v any) error {
	resp, err := HTTPClient.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // it was only read
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// Wait polls a condition until it is true and fails the test after WaitTimeout. The argument what names the condition.
func (s *Site) Wait(what string, ok func() bool) {
	s.T.Helper()
	deadline := time.Now().Add(WaitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			s.T.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Sleep lets traffic run for a while. A test must not conclude anything from the passing of this time alone.
func Sleep(d time.Duration) { time.Sleep(d) }
