package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"
)

const maxSmallAnswerBytes = 1 << 20

type hostsAnswer struct {
	Hosts []struct {
		Address string `json:"address"`
	} `json:"hosts"`
	ValidFor string `json:"validFor"`
}

type idAnswer struct {
	ID string `json:"id"`
}

// addresses returns the hosts for a class in the order in which to try them. They are asked for again after half of
// their time beside the requests, and by a request itself only once their time has passed.
func (c *Client) addresses(class string) []string {
	c.mu.Lock()
	l := c.lists[class]
	if l == nil {
		l = &list{}
		c.lists[class] = l
	}
	now := time.Now()
	expired := now.After(l.expires)
	if !expired && now.After(l.early) && !l.refreshing {
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
		return c.preferred(c.entries())
	}
	return c.preferred(l.addresses)
}

// refresh asks the hosts for the addresses, unless another call did so meanwhile. If no host answers, the addresses
// known so far stay in use, since there are no others.
func (c *Client) refresh(class string, l *list) {
	l.fetch.Lock()
	defer l.fetch.Unlock()
	c.mu.Lock()
	l.refreshing = false
	fresh := time.Now().Before(l.early)
	ask := c.preferred(append(append([]string{}, l.addresses...), c.entries()...))
	c.mu.Unlock()
	if fresh {
		return
	}
	asked := make(map[string]bool)
	for _, address := range ask {
		if asked[address] {
			continue
		}
		asked[address] = true
		start := time.Now()
		addresses, valid, err := c.ask(class, address)
		if c.ctx.Err() != nil {
			return
		}
		if err != nil {
			c.failed(address)
			continue
		}
		c.mu.Lock()
		l.addresses, l.early, l.expires = addresses, start.Add(valid/2), start.Add(valid)
		c.mu.Unlock()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// Without this pause, every request would ask all hosts in vain.
	l.early = time.Now().Add(addressTimeout)
	l.expires = l.early
}

// entries returns the entries, beginning with the client's own one.
func (c *Client) entries() []string {
	n := len(c.opt.Entries)
	all := make([]string, 0, n)
	for i := range n {
		all = append(all, c.opt.Entries[(c.index+i)%n].String())
	}
	return all
}

func (c *Client) ask(class, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(c.ctx, addressTimeout)
	defer cancel()
	var answer hostsAnswer
	if err := c.small(ctx, http.MethodGet, address, "/v1/hosts", class, &answer); err != nil {
		return nil, 0, err
	}
	valid, err := time.ParseDuration(answer.ValidFor)
	if err != nil || valid <= 0 {
		return nil, 0, &AnswerError{Problem: "validFor is not a duration"}
	}
	if len(answer.Hosts) == 0 {
		return nil, 0, &AnswerError{Problem: "no hosts"}
	}
	var addresses []string
	for _, h := range answer.Hosts {
		addresses = append(addresses, h.Address)
	}
	return addresses, valid, nil
}

// issue returns a request ID of a host.
func (c *Client) issue(ctx context.Context, class, address string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	var answer idAnswer
	if err := c.small(ctx, http.MethodPost, address, "/v1/ids", class, &answer); err != nil {
		return "", err
	}
	if answer.ID == "" {
		return "", &AnswerError{Problem: "no request ID"}
	}
	return answer.ID, nil
}

// small makes a request with a small JSON answer.
func (c *Client) small(ctx context.Context, method, address, path, class string, dst any) error {
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: url.Values{"class": {class}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), nil)
	if err != nil {
		return err
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read or is given up
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxSmallAnswerBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &AnswerError{Problem: "status " + resp.Status}
	}
	if err := json.Unmarshal(body, dst); err != nil {
		return &AnswerError{Problem: "not JSON: " + err.Error()}
	}
	return nil
}
