package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// appendTime is how long the store takes for an append, answerTime for any other call.
	appendTime, answerTime = 4 * time.Millisecond, 4 * time.Millisecond
	// maxPageItems bounds a page of the newest records, maxReadBytes the records of one read.
	maxPageItems = 500
	maxReadBytes = 1 << 20
)

// topic holds the records of one keyed topic, which has one partition.
type topic struct {
	records [][]byte // content of each record: length of the key, key, value
	newest  map[string]entry
}

type entry struct {
	value  []byte
	offset int64
}

// store stands in for the platform's store: a log with keyed topics. It answers at once after its time, and loses nothing.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// reads counts the calls to /log-read of the list of workers, by host.
	reads map[string]int
	// view replaces the value of a record of keyed.hosts for the host that reads it; nil leaves it.
	view func(reader, host, value string) string
}

func newStore() *store { return &store{topics: make(map[string]*topic), reads: make(map[string]int)} }

// put appends a record and returns once the store has confirmed it.
func (s *store) put(name, key string, value []byte) time.Time {
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendRecord(name, append(append([]byte{byte(len(key))}, key...), value...))
	return time.Now()
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]entry)}
		s.topics[name] = t
	}
	return t
}

func (s *store) appendRecord(name string, content []byte) {
	t := s.topic(name)
	if len(content) > 0 && len(content) > int(content[0]) {
		n := 1 + int(content[0])
		key, value := string(content[1:n]), content[n:]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = entry{value, int64(len(t.records))}
		}
	}
	t.records = append(t.records, content)
}

// handler serves the store to one host.
func (s *store) handler(host string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log-read", func(w http.ResponseWriter, r *http.Request) { s.read(w, r, host) })
	mux.HandleFunc("GET /log-newest", func(w http.ResponseWriter, r *http.Request) { s.readNewest(w, r, host) })
	mux.HandleFunc("POST /log-append", s.append)
	return mux
}

func (s *store) read(w http.ResponseWriter, r *http.Request, host string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from", http.StatusBadRequest)
		return
	}
	time.Sleep(answerTime)
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	if name == "keyed.servers" {
		s.reads[host]++
	}
	t := s.topic(name)
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < int64(len(t.records)) && len(out) < maxReadBytes; i++ {
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(t.records[i]))), t.records[i]...)
	}
	s.mu.Unlock()
	_, _ = w.Write(out)
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request, host string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	page := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has-more"`
		End     int64  `json:"end"`
	}{Items: []item{}}
	time.Sleep(answerTime)
	name, after := r.URL.Query().Get("topic"), r.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topic(name)
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if len(keys) > maxPageItems {
		keys, page.HasMore = keys[:maxPageItems], true
	}
	for _, k := range keys {
		value := t.newest[k].value
		if name == "keyed.hosts" && s.view != nil {
			value = []byte(s.view(host, k, string(value)))
		}
		page.Items = append(page.Items, item{k, base64.StdEncoding.EncodeToString(value), t.newest[k].offset})
	}
	page.End = int64(len(t.records))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		http.Error(w, "not allowed", http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	first := int64(len(t.records))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(first, 10) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int64{"end": first})
		return
	}
	var contents [][]byte
	for len(body) > 0 {
		if len(body) < 4 || uint64(len(body)-4) < uint64(binary.BigEndian.Uint32(body)) {
			http.Error(w, "records", http.StatusBadRequest)
			return
		}
		n := 4 + int(binary.BigEndian.Uint32(body))
		contents = append(contents, body[4:n])
		body = body[n:]
	}
	for _, c := range contents {
		s.appendRecord(name, c)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int64{"offset": first, "end": int64(len(t.records))})
}

// busiestReader returns the host that has read the list of workers most often since the last call.
func (s *store) busiestReader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := ""
	for h, n := range s.reads {
		if best == "" || n > s.reads[best] || n == s.reads[best] && strings.Compare(h, best) < 0 {
			best = h
		}
	}
	clear(s.reads)
	return best
}

// serveHTTP serves h at an address until the listener closes.
func serveHTTP(address string, h http.Handler) (net.Listener, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(ln, h) }()
	return ln, nil
}
