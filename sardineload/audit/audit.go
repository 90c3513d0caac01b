// Package audit compares what callers were told about orders with what the stand-in's upstreams ran.
package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"sardinecross.example/sardineload/tally"
)

// maxAnswerBytes is room for several million orders.
const maxAnswerBytes = 512 << 20

// ReadError reports runs that cannot be read.
type ReadError struct {
	URL string
	Err error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("read %s: %v", e.URL, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// StatusError reports an answer with an unexpected status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// Runs is what the upstreams did.
type Runs struct {
	// Orders holds the runs of each order by its number.
	Orders map[string]int
	// OverSlots holds the upstreams that had more requests in flight than slots.
	OverSlots map[string]int
}

type ordersAnswer struct {
	Orders map[string]struct {
		Run int `json:"run"`
	} `json:"orders"`
}

type statsAnswer struct {
	Workers []struct {
		ID        string `json:"id"`
		OverSlots int    `json:"overSlots"`
	} `json:"workers"`
}

// Read asks the stand-in at a control address.
func Read(ctx context.Context, rt http.RoundTripper, address string) (Runs, error) {
	runs := Runs{Orders: make(map[string]int), OverSlots: make(map[string]int)}
	var orders ordersAnswer
	if err := get(ctx, rt, "http://"+address+"/orders", &orders); err != nil {
		return runs, err
	}
	var stats statsAnswer
	if err := get(ctx, rt, "http://"+address+"/stats", &stats); err != nil {
		return runs, err
	}
	for number, o := range orders.Orders {
		runs.Orders[number] = o.Run
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
	defer resp.Body.Close() //nolint:errcheck // the body was read or is given up
	if resp.StatusCode != http.StatusOK {
		return &ReadError{URL: url, Err: &StatusError{Status: resp.StatusCode}}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(dst); err != nil {
		return &ReadError{URL: url, Err: err}
	}
	return nil
}

// Compare returns the comparison. Runs of orders that this load did not send are left out.
func Compare(told map[string]tally.Outcome, runs Runs) tally.Orders {
	o := tally.Orders{Sent: len(told), OverSlots: runs.OverSlots}
	for number, outcome := range told {
		n := runs.Orders[number]
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
