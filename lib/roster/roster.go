// Package roster is the client for the platform's host list.
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
	// maxResponseBytes is room for about 20,000 entries, ten times the target size of a site.
	maxResponseBytes = 4 << 20
)

// Role tells hosts and upstreams apart.
type Role string

// Roles.
const (
	RoleHost     Role = "host"
	RoleUpstream Role = "upstream"
)

// State is what the platform says about an entry.
type State string

// States.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Entry is one line of the host list.
type Entry struct {
	// ID is unique among the entries of its role.
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Service is set for upstreams only.
	Service    ident.ServiceName `json:"service,omitempty"`
	DataCentre ident.DataCentre  `json:"dataCentre"`
	// Address is a valid IP and port. PeerAddress is one for hosts.
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress,omitempty"`
	State       State  `json:"state"`
}

// Leaving reports whether the entry is about to be removed.
func (e Entry) Leaving() bool { return e.State == StateLeaving }

// ReadError reports a reading that failed.
type ReadError struct{ Err error }

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("read of the host list: %v", e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// DecodeError reports a response that does not follow the protocol.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("invalid response: %v", e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// MissingError reports a response without a list of entries; it must not be taken for an empty list.
type MissingError struct{}

// Error implements error.
func (*MissingError) Error() string { return "no list of entries" }

// Client reads one host list; it is safe for concurrent use.
type Client struct {
	address string
	http    *httpc.Client
	skipped atomic.Int64
}

// New returns a client for the host list at address (IP and port).
func New(address string) *Client { return &Client{address: address, http: httpc.New(0)} }

// Close cancels the readings in flight, waits for them and closes the connections.
func (c *Client) Close() { c.http.Close() }

// Read returns the usable entries. Unusable ones are skipped and counted, so that one wrong entry does not hide a
// change to another. A failure is a *ReadError.
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

// Skipped returns how many unusable entries all readings contained.
func (c *Client) Skipped() int64 { return c.skipped.Load() }

func (c *Client) get(ctx context.Context) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/v1/hosts", nil)
	if err != nil {
		return nil, err
	}
	return c.http.Do(req, maxResponseBytes)
}

// decodeEntries returns the usable entries and the number of unusable ones.
func decodeEntries(body []byte) ([]Entry, int, error) {
	var resp struct {
		Entries *[]Entry `json:"entries"`
	}
	if err := json.Unmarshal(body, &resp); err != nil {
		return nil, 0, &DecodeError{Err: err}
	}
	if resp.Entries == nil {
		return nil, 0, &DecodeError{Err: &MissingError{}}
	}
	type key struct {
		role Role
		id   string
	}
	seen := make(sets.Set[key], len(*resp.Entries))
	entries := make([]Entry, 0, len(*resp.Entries))
	for _, e := range *resp.Entries {
		k := key{e.Role, e.ID}
		if !usable(e) || seen.Has(k) {
			continue
		}
		seen[k] = struct{}{}
		entries = append(entries, e)
	}
	return entries, len(*resp.Entries) - len(entries), nil
}

// usable reports whether an entry follows the protocol.
func usable(e Entry) bool {
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

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}
