// Package audit compares the outcomes that callers received for their orders with the runs that the stand-in upstreams
// counted.
package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"sardinecross.example/sardineload/tally"
)

// maxResponseBytes limits a response of the stand-in. It is enough for several million orders.
const maxResponseBytes = 512 << 20

// ReadError reports a failed request for the runs or statistics of the upstreams.
type ReadError struct {
	URL string
	Err error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("cannot read %s: %v", e.URL, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// StatusError reports a response with an HTTP status other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }

// Runs holds the runs of orders and the overloaded upstreams, as counted by the upstreams.
type Runs struct {
	// ByOrder holds the number of runs of each order, by order number.
	ByOrder map[string]int
	// OverSlots holds the upstreams that had more requests in flight than slots, and by how many.
	OverSlots map[string]int
}

type ordersResponse struct {
	Orders map[string]struct {
		Run int `json:"run"`
	} `json:"orders"`
}

type statsResponse struct {
	Workers []struct {
		ID        string `json:"id"`
		OverSlots int    `json:"overSlots"`
	} `json:"workers"`
}

// Read reads the runs from the stand-in at a control address.
func Read(ctx context.Context, rt http.RoundTripper, address string) (Runs, error) {
	runs := Runs{ByOrder: make(map[string]int), OverSlots: make(map[string]int)}
	var orders ordersResponse
	if err := get(ctx, rt, "http://"+address+"/orders", &orders); err != nil {
		return runs, err
	}
	var stats statsResponse
	if err := get(ctx, rt, "http://"+address+"/stats", &stats); err != nil {
		return runs, err
	}
	for number, o := range orders.Orders {
		runs.ByOrder[number] = o.Run
	}
	for _, w := range stats.Workers {
		if w.OverSlots > 0 {
			runs.OverSlots[w.ID] = w.OverSlots
		}
	}
	return runs, nil
}

func get(ctx context.Context, rt http.RoundTripper, url string, dst any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return &ReadError{URL: url, Err: err}
	}
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return &ReadError{URL: url, Err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read or is discarded
	if resp.StatusCode != http.StatusOK {
		return &ReadError{URL: url, Err: &StatusError{Status: resp.StatusCode}}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(dst); err != nil {
		return &ReadError{URL: url, Err: err}
	}
	return nil
}

// Compare counts the orders whose outcome for the caller agrees or disagrees with their number of runs. It ignores the
// runs of orders that this load did not send.
func Compare(outcomes map[string]tally.Outcome, runs Runs) tally.OrderComparison {
	o := tally.OrderComparison{Sent: len(outcomes), OverSlots: runs.OverSlots}
	for number, outcome := range outcomes {
		n := runs.ByOrder[number]
		switch {
		case n == 1:
			o.RunOnce++
		case n > 1:
			o.Doubled++
		}
		switch outcome {
		case tally.Served:
			if n == 0 {
				o.Lost++
			}
		case tally.NotRun:
			if n > 0 {
				o.FalseNotRun++
			}
		case tally.Unknown:
			o.Unknown++
		case tally.Failed:
		}
	}
	return o
}
