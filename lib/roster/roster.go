// Package roster is the client for the platform's host list, which contains the hosts and the upstreams of a site.
package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"

	"sardinecross.example/lib/common/httpc"
	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/common/sets"
)

const (
	// maxResponseBytes limits a response to about 20,000 entries, ten times the number that a site is designed for.
	maxResponseBytes = 4 << 20
)

// Role tells whether an entry is a host or an upstream.
type Role string

// Values of Role.
const (
	RoleHost     Role = "host"
	RoleUpstream Role = "upstream"
)

// State is the lifecycle state of an entry as published by the platform.
type State string

// Values of State.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Entry describes one host or upstream.
type Entry struct {
	// ID is unique among the entries of its role.
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Service is set for upstreams only.
	Service    ident.ServiceName `json:"service,omitempty"`
	DataCentre ident.DataCentre  `json:"dataCentre"`
	// Address is a valid IP address and port.
	Address string `json:"address"`
	// PeerAddress is a valid IP address and port for hosts; it is not checked for upstreams.
	PeerAddress string `json:"peerAddress,omitempty"`
	State       State  `json:"state"`
}

// Leaving reports whether the entry is about to be removed.
func (e Entry) Leaving() bool { return e.State == StateLeaving }

// ReadError reports that the host list could not be read.
type ReadError struct{ Err error }

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("cannot read the host list: %v", e.Err) }

// Unwrap returns the underlying error.
func (e *ReadError) Unwrap() error { return e.Err }

// DecodeError reports a response that is not a valid host list.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("invalid host list response: %v", e.Err) }

// Unwrap returns the underlying error.
func (e *DecodeError) Unwrap() error { return e.Err }

// MissingEntriesError reports a response without the field "entries". Such a response must not be treated as an empty list.
type MissingEntriesError struct{}

// Error implements error.
func (*MissingEntriesError) Error() string { return `field "entries" is missing` }

// Client reads the host list of one server. It is safe for concurrent use.
type Client struct {
	address string
	http    *httpc.Client
	skipped atomic.Int64
}

// New returns a client for the host list at address (IP address and port).
func New(address string) *Client { return &Client{address: address, http: httpc.New(0)} }

// Close cancels the reads in flight, waits until they have returned and closes the connections.
func (c *Client) Close() { c.http.Close() }

// Read returns the valid entries. Invalid and duplicate entries are skipped and counted, so that one invalid entry does
// not hide a change to another. Every error is a *ReadError.
func (c *Client) Read(ctx context.Context) ([]Entry, error) {
	ctx, done, err := c.http.Begin(ctx)
	if err != nil {
		return nil, &ReadError{Err: err}
	}
	defer done()
	body, err := c.get(ctx)
	if err != nil {
		return nil, &ReadError{Err: err}
	}
	entries, skipped, err := decodeEntries(body)
	if err != nil {
		return nil, &ReadError{Err: err}
	}
	c.skipped.Add(int64(skipped))
	return entries, nil
}

// Skipped returns the total number of entries skipped by all reads.
func (c *Client) Skipped() int64 { return c.skipped.Load() }

func (c *Client) get(ctx context.Context) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/v1/hosts", nil)
	if err != nil {
		return nil, err
	}
	return c.http.Do(req, maxResponseBytes)
}

// decodeEntries returns the valid entries and the number of invalid or duplicate ones.
func decodeEntries(body []byte) ([]Entry, int, error) {
	var resp struct {
		Entries *[]Entry `json:"entries"`
	}
	if err := json.Unmarshal(body, &resp); err != nil {
		return nil, 0, &DecodeError{Err: err}
	}
	if resp.Entries == nil {
		return nil, 0, &DecodeError{Err: &MissingEntriesError{}}
	}
	type key struct {
		role Role
		id   string
	}
	seen := make(sets.Set[key], len(*resp.Entries))
	entries := make([]Entry, 0, len(*resp.Entries))
	for _, e := range *resp.Entries {
		k := key{e.Role, e.ID}
		if !validEntry(e) || seen.Has(k) {
			continue
		}
		seen[k] = struct{}{}
		entries = append(entries, e)
	}
	return entries, len(*resp.Entries) - len(entries), nil
}

// validEntry reports whether an entry has an ID, a data centre, a known role and state, and the fields required by its role.
func validEntry(e Entry) bool {
	if e.ID == "" || e.DataCentre == "" || !isAddress(e.Address) {
		return false
	}
	if e.State != StateLive && e.State != StateLeaving {
		return false
	}
	switch e.Role {
	case RoleHost:
		return isAddress(e.PeerAddress)
	case RoleUpstream:
		return e.Service != ""
	}
	return false
}

// isAddress reports whether s is a specified IP address with a port other than zero.
func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}
