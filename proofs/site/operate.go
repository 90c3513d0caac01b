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

// Result is the result of one run of the operators' program.
type Result struct {
	s    *Site
	Out  []byte
	Errs string
	Code int
}

// Ctl runs the operators' program.
func (s *Site) Ctl(args ...string) Result {
	s.T.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), Patience)
	defer cancel()
	cmd := exec.CommandContext(ctx, "../bin/sardinectl", args...)
	var errs bytes.Buffer
	cmd.Stderr = &errs
	out, err := cmd.Output()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		s.T.Fatal(err)
	}
	return Result{s: s, Out: out, Errs: errs.String(), Code: cmd.ProcessState.ExitCode()}
}

// OK fails the test unless the program ended with 0.
func (r Result) OK() Result {
	r.s.T.Helper()
	if r.Code != 0 {
		r.s.T.Fatalf("sardinectl exited with %d: %s%s", r.Code, r.Out, r.Errs)
	}
	return r
}

// Save writes the output to a file of the site.
func (r Result) Save(name string) {
	r.s.T.Helper()
	r.OK()
	if err := os.WriteFile(r.s.Path(name), r.Out, 0o600); err != nil {
		r.s.T.Fatal(err)
	}
}

// Operate runs the operators' program with the settings of the site.
func (s *Site) Operate(args ...string) Result {
	s.T.Helper()
	return s.Ctl(append([]string{"-settings", s.Path("operator.jsonc")}, args...)...)
}

// PublishClasses publishes the classes of the layout and waits until all hosts serve them.
func (s *Site) PublishClasses() {
	s.T.Helper()
	s.Operate("class", "set", "orders", "-service", "booking", "-target", "100ms", "-deadline", "2s", "-rank", "1").OK()
	if s.Layout.Workers["enquiry"] > 0 {
		s.Operate("class", "set", "consultations", "-service", "enquiry", "-target", "50ms", "-deadline", "1s", "-idempotent", "-rank", "2").OK()
	}
	missing := ""
	defer func() {
		if s.T.Failed() {
			s.T.Log("missing: " + missing)
		}
	}()
	s.Wait("all classes to be in force on all hosts", func() bool {
		missing = s.missing()
		return missing == ""
	})
}

// missing says what keeps a host from serving all classes; it is empty if nothing does.
func (s *Site) missing() string {
	for _, h := range s.Live() {
		st, err := s.Status(h)
		switch {
		case err != nil:
			return err.Error()
		case !st.InService || len(st.Classes) != len(s.Layout.Workers):
			return fmt.Sprintf("%s has in service %v and %d classes", h.ID, st.InService, len(st.Classes))
		}
		for _, m := range st.Members {
			if !m.Reachable && !s.Dead[m.ID] {
				return h.ID + " does not reach " + m.ID
			}
		}
	}
	return ""
}

// HostStatus is the part of GET /status that the tests read.
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
	err := GetJSON("http://"+h.Admin+"/status", &st)
	return st, err
}

// WorkerStats is the part of the upstreams' GET /stats that the tests read.
type WorkerStats struct {
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

// Workers asks the upstreams for their counts.
func (s *Site) Workers() []WorkerStats {
	s.T.Helper()
	var answer struct {
		Workers []WorkerStats `json:"workers"`
	}
	if err := GetJSON("http://"+s.FleetControl()+"/stats", &answer); err != nil {
		s.T.Fatal(err)
	}
	return answer.Workers
}

// Runs returns how often each order ran on all upstreams together.
func (s *Site) Runs() map[string]int {
	s.T.Helper()
	var answer struct {
		Orders map[string]struct {
			Run int `json:"run"`
		} `json:"orders"`
	}
	if err := GetJSON("http://"+s.FleetControl()+"/orders", &answer); err != nil {
		s.T.Fatal(err)
	}
	runs := map[string]int{}
	for number, e := range answer.Orders {
		runs[number] = e.Run
	}
	return runs
}

// Control switches a fault of a stand-in.
func (s *Site) Control(addr, body string) {
	s.T.Helper()
	resp, err := Client.Post("http://"+addr+"/control", "application/json", strings.NewReader(body))
	if err != nil {
		s.T.Fatal(err)
	}
	defer resp.Body.Close() //nolint:errcheck // it was only read
	if text, _ := io.ReadAll(resp.Body); resp.StatusCode >= 300 {
		s.T.Fatalf("control %s: %s: %s", body, resp.Status, text)
	}
}

// Client sends short requests to hosts and stand-ins.
var Client = &http.Client{Timeout: 2 * time.Second}

// GetJSON decodes the response to a GET.
func GetJSON(url string, v any) error {
	resp, err := Client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // it was only read
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// Wait waits for a condition.
func (s *Site) Wait(what string, ok func() bool) {
	s.T.Helper()
	deadline := time.Now().Add(Patience)
	for !ok() {
		if time.Now().After(deadline) {
			s.T.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// After lets traffic run for a while; nothing is concluded from the passing of this time alone.
func After(d time.Duration) { time.Sleep(d) }
