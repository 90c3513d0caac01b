package roster

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	hostEntryJSON     = `{"id":"h","role":"host","dataCentre":"passau","address":"127.0.1.1:8080","peerAddress":"127.0.1.1:9000","state":"live"}`
	upstreamEntryJSON = `{"id":"u","role":"upstream","service":"booking","dataCentre":"passau","address":"127.0.2.1:80","state":"leaving"}`
)

// Guards against an invalid entry that hides the valid ones, and against a failed read that returns an empty list.
func TestReadSkipsInvalidEntries(t *testing.T) {
	for name, c := range map[string]struct {
		status  int
		body    string
		entries int
		skipped int64
		ok      bool
	}{
		"both roles":    {200, `{"entries":[` + hostEntryJSON + `,` + upstreamEntryJSON + `]}`, 2, 0, true},
		"repeated":      {200, `{"entries":[` + hostEntryJSON + `,` + hostEntryJSON + `]}`, 1, 1, true},
		"named address": {200, `{"entries":[` + upstreamEntryJSON + `,` + strings.Replace(hostEntryJSON, "127.0.1.1:8080", "h:80", 1) + `]}`, 1, 1, true},
		"unknown state": {200, `{"entries":[` + strings.Replace(hostEntryJSON, "live", "odd", 1) + `]}`, 0, 1, true},
		"empty list":    {200, `{"entries":[]}`, 0, 0, true},
		"no list":       {200, `{}`, 0, 0, false},
		"not JSON":      {200, `{"entries":[`, 0, 0, false},
		"outage":        {503, `{"entries":[]}`, 0, 0, false},
		"too long":      {200, strings.Repeat(" ", maxResponseBytes+1), 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				w.Write([]byte(c.body))
			}))
			defer s.Close()
			client := New(s.Listener.Addr().String())
			defer client.Close()
			entries, err := client.Read(t.Context())
			var re *ReadError
			if len(entries) != c.entries || client.Skipped() != c.skipped || errors.As(err, &re) == c.ok {
				t.Errorf("got %d entries, %d skipped, error %v; want %d, %d, success %v", len(entries), client.Skipped(), err, c.entries, c.skipped, c.ok)
			}
		})
	}
}

// Guards against a decoder that accepts an invalid entry.
func FuzzDecodeEntries(f *testing.F) {
	f.Add([]byte(`{"entries":[` + hostEntryJSON + `,` + upstreamEntryJSON + `]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		entries, skipped, err := decodeEntries(body)
		if err != nil {
			return
		}
		for _, e := range entries {
			if !validEntry(e) {
				t.Errorf("accepted invalid entry %+v", e)
			}
		}
		if skipped < 0 {
			t.Errorf("negative number of skipped entries: %d", skipped)
		}
	})
}
