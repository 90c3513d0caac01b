package proxy

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"sardinecross.example/lib/common/heads"
	"sardinecross.example/lib/core"
)

// loadReport is the body of GET /load.
type loadReport struct {
	Incarnation string `json:"incarnation"`
	Slots       int    `json:"slots"`
	InFlight    int    `json:"inFlight"`
	State       string `json:"state"`
}

// probeTimeout bounds a probe. It is many times the usual duration of one.
const probeTimeout = time.Second

// Probe fetches the load report of an upstream.
func (c *Client) Probe(ctx context.Context, address string) (core.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	a := &Attempt{
		client:       c,
		req:          Request{Address: address, Method: http.MethodGet, Path: "/load", Idempotent: true},
		ctx:          ctx,
		started:      c.cfg.Now(),
		wallDeadline: time.Now().Add(probeTimeout),
		nonce:        newNonce(),
	}
	a.req.Deadline = a.started + probeTimeout
	a.guard.startBy, a.guard.now = math.MaxInt64, c.cfg.Now
	resp, err := c.transport(address).RoundTrip(a.request())
	if err != nil {
		return core.LoadReport{}, &LoadReportError{Err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read or is given up
	if err := heads.Check(resp); err != nil {
		a.discardConn()
		return core.LoadReport{}, &LoadReportError{Err: err}
	}
	// An answer with another nonce is a late one to an earlier request on the connection. Upstreams need not echo the nonce of
	// a probe.
	if got := resp.Header.Get("X-Request-Nonce"); got != "" && got != a.nonce {
		a.discardConn()
		return core.LoadReport{}, &LoadReportError{Err: &MismatchError{Address: address}}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadReportBytes))
	if err != nil {
		return core.LoadReport{}, &LoadReportError{Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return core.LoadReport{}, &LoadReportError{Err: &UnexpectedValueError{Value: strconv.Itoa(resp.StatusCode)}}
	}
	return decodeLoadReport(body)
}

// decodeLoadReport decodes and validates the body of a load report.
func decodeLoadReport(body []byte) (core.LoadReport, error) {
	var r loadReport
	if err := json.Unmarshal(body, &r); err != nil {
		return core.LoadReport{}, &LoadReportError{Err: err}
	}
	if r.Slots < 0 || r.InFlight < 0 {
		return core.LoadReport{}, &LoadReportError{Err: &UnexpectedValueError{Value: "negative count"}}
	}
	switch r.State {
	case "ready", "cold", "draining":
	default:
		return core.LoadReport{}, &LoadReportError{Err: &UnexpectedValueError{Value: r.State}}
	}
	return core.LoadReport{
		Incarnation: r.Incarnation,
		Slots:       r.Slots,
		InFlight:    r.InFlight,
		Cold:        r.State == "cold",
		Draining:    r.State == "draining",
	}, nil
}
