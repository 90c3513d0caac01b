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
	"sync"
)

// keyed is one topic with one partition whose records have keys.
type keyed struct {
	records [][]byte          // each without its length
	newest  map[string]int    // index of the newest record of each key
	values  map[string][]byte // newest value of each key
}

// store is a stand-in for the platform's store. It keeps all records, answers at once and loses nothing.
type store struct {
	mu     sync.Mutex
	topics map[string]*keyed
	server *http.Server
	addr   string
}

// startStore serves a store on a free port of ip.
func startStore(ip string) (*store, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{topics: make(map[string]*keyed), addr: l.Addr().String()}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l) //nolint:errcheck // ends when the rig closes it
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

func (s *store) topic(name string) *keyed {
	t := s.topics[name]
	if t == nil {
		t = &keyed{newest: make(map[string]int), values: make(map[string][]byte)}
		s.topics[name] = t
	}
	return t
}

// put appends a record. A nil value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, append(append([]byte{byte(len(key))}, key...), value...))
}

// append appends an encoded record. s.mu must be held.
func (s *store) append(topic string, record []byte) {
	t := s.topic(topic)
	n := 1 + int(record[0])
	key, value := string(record[1:n]), record[n:]
	t.records = append(t.records, record)
	if len(value) == 0 {
		delete(t.newest, key)
		delete(t.values, key)
		return
	}
	t.newest[key], t.values[key] = len(t.records)-1, value
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/log-read":
		s.read(w, topic, r.URL.Query().Get("from"))
	case "/log-newest":
		s.readNewest(w, topic)
	case "/log-append":
		s.appendCall(w, r, topic)
	default:
		http.NotFound(w, r)
	}
}

// read answers with all records from an offset on.
func (s *store) read(w http.ResponseWriter, topic, fromText string) {
	from, err := strconv.Atoi(fromText)
	if err != nil || from < 0 {
		http.Error(w, "from", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < len(t.records); i++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
		out = append(out, t.records[i]...)
	}
	_, _ = w.Write(out)
}

// readNewest answers with the newest record of each key in one page.
func (s *store) readNewest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	items := make([]item, 0, len(t.values))
	for key, value := range t.values {
		items = append(items, item{key, base64.StdEncoding.EncodeToString(value), t.newest[key]})
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has-more": false, "end": len(t.records)})
}

// appendCall appends the records in the body of a call.
func (s *store) appendCall(w http.ResponseWriter, r *http.Request, topic string) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topic(topic).records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || len(body) < 4+n {
			http.Error(w, "record", http.StatusBadRequest)
			return
		}
		s.append(topic, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": offset, "end": len(s.topic(topic).records)})
}
