package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// maxStatus is the largest status that is read.
	maxStatus = 8 << 20
	// statusTimeout ends one request for a status; an unreachable host must not use up the time of the command.
	statusTimeout = 2 * time.Second
	// inForceWait is how long a change may take to reach all hosts before the report says where it is missing.
	inForceWait = 5 * time.Second
)

// hostStatus is the part of a host's status that the tool uses.
type hostStatus struct {
	Address       string `json:"address"`
	Host          string `json:"host,omitempty"`
	DataCentre    string `json:"dataCentre,omitempty"`
	Leaving       bool   `json:"leaving"`
	InService     bool   `json:"inService"`
	LogAnswers    bool   `json:"logAnswers"`
	Configuration struct {
		Version int64  `json:"version"`
		Age     string `json:"age"`
	} `json:"configuration"`
	// Error is set if the host did not answer.
	Error string `json:"error,omitempty"`
}

// readHosts asks all hosts at the same time and returns their statuses in the order of the addresses.
func readHosts(ctx context.Context, addresses []netip.AddrPort) []hostStatus {
	client := &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	list := make([]hostStatus, len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() {
			st, err := readHost(ctx, client, a.String())
			if err != nil {
				st = hostStatus{Error: err.Error()}
			}
			st.Address = a.String()
			list[i] = st
		})
	}
	wg.Wait()
	return list
}

func readHost(ctx context.Context, client *http.Client, address string) (hostStatus, error) {
	var st hostStatus
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return st, err
	}
	res, err := client.Do(req)
	if err != nil {
		return st, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return st, &statusError{Status: res.StatusCode}
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxStatus)).Decode(&st)
	return st, err
}

// inForce says on which hosts a version is in force.
type inForce struct {
	Hosts   int `json:"hosts"`
	InForce int `json:"inForce"`
	// Missing has a line for each host on which it is not.
	Missing []missing `json:"missing"`
}

type missing struct {
	Address string `json:"address"`
	Host    string `json:"host,omitempty"`
	Reason  string `json:"reason"`
}

func (f inForce) text() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "in force on %d of %d hosts\n", f.InForce, f.Hosts)
	for _, m := range f.Missing {
		_, _ = fmt.Fprintf(&b, "  not on %s %s: %s\n", m.Address, m.Host, m.Reason)
	}
	return b.String()
}

func countInForce(hosts []hostStatus, version int64) inForce {
	f := inForce{Hosts: len(hosts), Missing: []missing{}}
	for _, h := range hosts {
		switch {
		case h.Error != "":
			f.Missing = append(f.Missing, missing{Address: h.Address, Reason: h.Error})
		case h.Configuration.Version < version:
			f.Missing = append(f.Missing, missing{
				Address: h.Address, Host: h.Host, Reason: fmt.Sprintf("has version %d", h.Configuration.Version),
			})
		default:
			f.InForce++
		}
	}
	return f
}

// waitInForce asks the hosts until the version is in force on all of them or the time is up.
func (t *tool) waitInForce(ctx context.Context, admin []netip.AddrPort, version int64) inForce {
	waiting, cancel := context.WithTimeout(ctx, inForceWait)
	defer cancel()
	for {
		f := countInForce(readHosts(ctx, admin), version)
		if f.InForce == f.Hosts || t.wait(waiting) != nil {
			return f
		}
	}
}

// print writes JSON or text.
func (t *tool) print(v any, text func() string) error {
	if !t.json {
		_, err := io.WriteString(t.stdout, text())
		return err
	}
	e := json.NewEncoder(t.stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
