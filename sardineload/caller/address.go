package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"
)

// maxJSONResponseBytes limits how much of a JSON response of a host is read.
const maxJSONResponseBytes = 1 << 20

type hostsResponse struct {
	Hosts []struct {
		Address string `json:"address"`
	} `json:"hosts"`
	ValidFor string `json:"validFor"`
}

type idResponse struct {
	ID string `json:"id"`
}

// addresses returns the hosts for a class in the order in which to try them. After half of their validity, the
// addresses are refreshed in the background; only after their whole validity does a request wait for the refresh.
func (c *Client) addresses(class string) []string {
	c.mu.Lock()
	l := c.addressLists[class]
	if l == nil {
		l = &addressList{}
		c.addressLists[class] = l
	}
	now := time.Now()
	expired := now.After(l.expiresAt)
	if !expired && now.After(l.refreshAt) && !l.refreshing {
		l.refreshing = true
		c.refreshes.Go(func() { c.refresh(class, l) })
	}
	c.mu.Unlock()
	if expired {
		c.refresh(class, l)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(l.addresses) == 0 {
		return c.avoidedLast(c.entryAddresses())
	}
	return c.avoidedLast(l.addresses)
}

// refresh queries the hosts for the addresses of a class, unless another call has refreshed them in the meantime. If no
// host responds, the old addresses stay in use, because there are no others.
func (c *Client) refresh(class string, l *addressList) {
	l.fetchMu.Lock()
	defer l.fetchMu.Unlock()
	c.mu.Lock()
	l.refreshing = false
	refreshed := time.Now().Before(l.refreshAt)
	candidates := c.avoidedLast(append(append([]string{}, l.addresses...), c.entryAddresses()...))
	c.mu.Unlock()
	if refreshed {
		return
	}
	queried := make(map[string]bool)
	for _, address := range candidates {
		if queried[address] {
			continue
		}
		queried[address] = true
		start := time.Now()
		addresses, validFor, err := c.fetchAddresses(class, address)
		if c.ctx.Err() != nil {
			return
		}
		if err != nil {
			c.markFailed(address)
			continue
		}
		c.mu.Lock()
		l.addresses, l.refreshAt, l.expiresAt = addresses, start.Add(validFor/2), start.Add(validFor)
		c.mu.Unlock()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// No host responded. Without this pause, every request would query all hosts again in vain.
	l.refreshAt = time.Now().Add(hostQueryTimeout)
	l.expiresAt = l.refreshAt
}

// entryAddresses returns all entries, beginning with the one that the client's index selects.
func (c *Client) entryAddresses() []string {
	n := len(c.opt.Entries)
	all := make([]string, 0, n)
	for i := range n {
		all = append(all, c.opt.Entries[(c.index+i)%n].String())
	}
	return all
}

// fetchAddresses queries a host for the addresses of a class and for their validity.
func (c *Client) fetchAddresses(class, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(c.ctx, hostQueryTimeout)
	defer cancel()
	var response hostsResponse
	if err := c.queryHost(ctx, http.MethodGet, address, "/v1/hosts", class, &response); err != nil {
		return nil, 0, err
	}
	validFor, err := time.ParseDuration(response.ValidFor)
	if err != nil || validFor <= 0 {
		return nil, 0, &ResponseError{Problem: "validFor is not a positive duration: " + response.ValidFor}
	}
	if len(response.Hosts) == 0 {
		return nil, 0, &ResponseError{Problem: "the response lists no hosts"}
	}
	var addresses []string
	for _, h := range response.Hosts {
		addresses = append(addresses, h.Address)
	}
	return addresses, validFor, nil
}

// fetchRequestID obtains a new request ID from a host.
func (c *Client) fetchRequestID(ctx context.Context, class, address string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, hostQueryTimeout)
	defer cancel()
	var response idResponse
	if err := c.queryHost(ctx, http.MethodPost, address, "/v1/ids", class, &response); err != nil {
		return "", err
	}
	if response.ID == "" {
		return "", &ResponseError{Problem: "the response has no request ID"}
	}
	return response.ID, nil
}

// queryHost sends a request about a class to a host and decodes the JSON response into dst.
func (c *Client) queryHost(ctx context.Context, method, address, path, class string, dst any) error {
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: url.Values{"class": {class}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), nil)
	if err != nil {
		return err
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read or is discarded
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxJSONResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &ResponseError{Problem: "unexpected HTTP status " + resp.Status}
	}
	if err := json.Unmarshal(body, dst); err != nil {
		return &ResponseError{Problem: "the response is not valid JSON: " + err.Error()}
	}
	return nil
}
