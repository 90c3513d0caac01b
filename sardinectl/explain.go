package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"sardinecross.example/lib/common/heads"
	"sardinecross.example/lib/explain"
)

const (
	// maxExplanationBytes bounds how much of an answer is read, maxProblemBytes how much of an error.
	maxExplanationBytes = 1 << 20
	maxProblemBytes     = 500
	// maxKeyFileBytes bounds a file with a key, in bytes. Hosts read no longer heads from operators.
	maxKeyFileBytes = 4 << 10
)

// explainError reports an answer of a host that explains nothing.
type explainError struct {
	Status int
	Text   string
}

// Error implements error.
func (e *explainError) Error() string {
	return fmt.Sprintf("the host answered with HTTP status %d: %s", e.Status, e.Text)
}

func explainCommand() command {
	return command{
		name: "explain", args: "-address IP:PORT -host NAME -path PATH", summary: "Explain where a request would go now, without sending it",
		examples: []string{
			"explain -address 10.2.0.7:9464 -method GET -host api.example -path /booking/7",
			"explain -address 10.2.0.7:9464 -host api.example -path / -header 'Deadline-Ms: 500' -key-file key.txt -json",
		},
		prepare: func(t *tool, flags *flag.FlagSet) func(context.Context, []string) error {
			address := flags.String("address", "", "`IP:PORT` of the operators' listener of a host")
			method := flags.String("method", http.MethodGet, "method of the request")
			host := flags.String("host", "", "`NAME` of the host in the request")
			path := flags.String("path", "", "path of the request")
			keyFile := flags.String("key-file", "", "`FILE` with the client's key")
			var headers []string
			flags.Func("header", "header line 'NAME: VALUE' of the request; may be repeated", func(line string) error {
				headers = append(headers, line)
				return nil
			})
			return func(ctx context.Context, _ []string) error {
				if err := checkAddress(*address); err != nil {
					return err
				}
				q, err := explain.New(*method, *host, *path, headers)
				if err != nil {
					return &usageError{Problem: "-" + err.Error()}
				}
				key, err := readKey(*keyFile)
				if err != nil {
					return err
				}
				return t.explain(ctx, *address, q, key)
			}
		},
	}
}

// checkAddress returns a usageError if an address is not a host and a port.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || host == "" || portErr != nil || n == 0 {
		return &usageError{Problem: fmt.Sprintf("-address %q: not IP:PORT", address)}
	}
	return nil
}

// readKey returns the key in a file, empty if no file is named. The error does not contain the key.
func readKey(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	f, err := os.Open(name)
	if err != nil {
		return "", &usageError{Problem: "-key-file: " + err.Error()}
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxKeyFileBytes+1))
	if err != nil {
		return "", &usageError{Problem: "-key-file: " + err.Error()}
	}
	key := strings.TrimRight(string(data), "\r\n")
	if key == "" || len(data) > maxKeyFileBytes || strings.ContainsAny(key, "\r\n\x00") {
		return "", &usageError{Problem: fmt.Sprintf("-key-file %s: not one line of at most %d bytes with a key", name, maxKeyFileBytes)}
	}
	return key, nil
}

// explain queries a host and prints its answer.
func (t *tool) explain(ctx context.Context, address string, q *explain.Query, key string) error {
	u := url.URL{Scheme: "http", Host: address, Path: explain.Path, RawQuery: q.Values().Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return err
	}
	if key != "" {
		req.Header.Set(explain.KeyHeader, key)
	}
	client := &http.Client{
		Transport: heads.Transport{Transport: &http.Transport{DisableKeepAlives: true}},
		// The key must not go to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	res, err := client.Do(req)
	if err != nil {
		var failed *url.Error
		if errors.As(err, &failed) {
			err = failed.Err // without the long address
		}
		return fmt.Errorf("host %s not reached: %w", address, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, maxProblemBytes)) // the status is reported in any case
		return &explainError{res.StatusCode, string(bytes.TrimSpace(text))}
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxExplanationBytes))
	if err != nil {
		return fmt.Errorf("read the answer of host %s: %w", address, err)
	}
	var a explain.Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return fmt.Errorf("decode the answer of host %s: %w", address, err)
	}
	if t.json {
		enc := json.NewEncoder(t.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(&a)
	}
	_, err = io.WriteString(t.stdout, explanationText(&a))
	return err
}

// explanationText returns an answer as text.
func explanationText(a *explain.Answer) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(w, name+"\t"+format+"\n", args...)
	}
	line("result", "%s", resultText(a))
	line("host", "%s%s", a.Host, map[bool]string{true: ", which is stopping"}[a.Stopping])
	if c := a.Configuration; c == nil {
		line("configuration", "none in force")
	} else {
		line("configuration", "version %d, confirmed %d ms ago%s", c.Version, c.AgeMs, positionText(c.Position))
	}
	if a.Route != "" {
		line("route", "%s", a.Route)
		line("service", "%s%s", a.Service, splitText(a.Split))
		line("key", "%s", keyText(a))
	}
	if c := a.Class; c != nil {
		line("class", "priority %d, %s, at most %d attempts, %s", c.Priority, c.Kind, c.MaxAttempts,
			map[bool]string{true: "retried and hedged", false: "retried only if it has not run, not hedged"}[c.Retry && c.Hedge])
		line("times", "target %d ms, deadline %d ms", c.TargetMs, c.DeadlineMs)
	}
	if q := a.Allowance; q != nil {
		line("allowance", "%s", allowanceText(q))
	}
	if s := a.Selection; s != nil {
		line("owner", "%s", ownerText(s))
		line("queue", "%d waiting, expected wait %d ms", s.Waiting, s.ExpectedWaitMs)
		line("upstreams", "%d listed, %d not shown%s%s", s.Upstreams, s.LeftOut, passedOverText(s.PassedOver), positionText(a.List))
	}
	_ = w.Flush() // a strings.Builder accepts everything
	if a.Selection != nil && len(a.Selection.Candidates) > 0 {
		b.WriteByte('\n')
		writeCandidates(&b, a.Selection.Candidates)
	}
	return b.String()
}

// positionText returns a position in the store as an addition to a line, empty if it is not known.
func positionText(p *explain.Position) string {
	if p == nil {
		return ""
	}
	return fmt.Sprintf(", era %d, offset %d", p.Era, p.Offset)
}

func resultText(a *explain.Answer) string {
	switch r := a.Rejection; {
	case r != nil && r.RetryAfterMs > 0:
		return fmt.Sprintf("rejected with %d: %s, retry after %d ms", r.Status, r.Reason, r.RetryAfterMs)
	case r != nil:
		return fmt.Sprintf("rejected with %d: %s", r.Status, r.Reason)
	case a.Upstream != "":
		return "sent to " + a.Upstream
	}
	return "waits for an upstream"
}

func splitText(split []explain.Share) string {
	if len(split) < 2 {
		return ""
	}
	var parts []string
	for _, s := range split {
		parts = append(parts, fmt.Sprintf("%s %.3g%%", s.Service, 100*s.Share))
	}
	return " (the route is split: " + strings.Join(parts, ", ") + ")"
}

func keyText(a *explain.Answer) string {
	switch {
	case !a.KeyNeeded:
		return "not needed"
	case a.Organisation == "":
		return "needed, not accepted"
	}
	return "needed, of the organisation " + a.Organisation
}

func allowanceText(q *explain.Allowance) string {
	text := fmt.Sprintf("%g/s, burst %g, owner %s: ", q.RatePerS, q.Burst, q.Owner)
	switch q.State {
	case explain.Granted:
		return text + "would be granted, decided as " + q.DecidedAs
	case explain.Rejected:
		return text + fmt.Sprintf("would be rejected, decided as %s, retry after %d ms", q.DecidedAs, q.RetryAfterMs)
	}
	return text + "not known to this host"
}

func ownerText(s *explain.Selection) string {
	if s.OwnView == "" {
		return s.Owner
	}
	return fmt.Sprintf("%s; what follows is the view of %s alone: %s", s.Owner, s.AnsweredBy, s.OwnView)
}

func passedOverText(counts map[string]int) string {
	var parts []string
	for reason, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", reason, n))
	}
	if len(parts) == 0 {
		return ""
	}
	slices.Sort(parts)
	return "; passed over: " + strings.Join(parts, ", ")
}

func writeCandidates(out io.Writer, candidates []explain.Candidate) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "UPSTREAM\tDATA CENTRE\tVERSION\tEXPECTED\tLOAD\tPASSED OVER")
	for _, c := range candidates {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d ms\t%d of %d\t%s\n", c.Upstream, c.DataCentre, c.Version, c.ExpectedTimeMs, c.InFlight, c.Slots, c.PassedOver)
	}
	_ = w.Flush()
}
