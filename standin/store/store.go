// Package store is a stand-in for the metadata store of the users' platform: keyed topics of one partition, read by
// offset or by the newest record of each key.
package store

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const (
	// maxAppend bounds the body of an append in bytes.
	maxAppend = 2 << 20
	// pageItems is the most items of a page of newest records.
	pageItems = 50
	// answerAfter is the time a call takes.
	answerAfter = 4 * time.Millisecond
)

// Mode is how the store answers the system's calls.
type Mode string

// Modes of the store.
const (
	Up     Mode = "up"
	Busy   Mode = "busy"   // 503
	Silent Mode = "silent" // no answer
	Reset  Mode = "reset"  // the connection is reset
	Lost   Mode = "lost"   // appends are done and not answered
)

type record struct{ key, value []byte }

type topic struct {
	first   int64
	records []record // from offset first on
	newest  map[string]int64
	kept    map[string][]byte
	grown   chan struct{} // closed at the next append
}

// Store is safe for concurrent use.
type Store struct {
	router *mux.Router

	mu     sync.Mutex
	topics map[string]*topic
	mode   Mode
	calls  int
}

// New returns an empty store.
func New() *Store {
	s := &Store{router: mux.NewRouter(), topics: make(map[string]*topic), mode: Up}
	s.router.HandleFunc("/log-append", s.append).Methods(http.MethodPost)
	s.router.HandleFunc("/log-read", s.read).Methods(http.MethodGet)
	s.router.HandleFunc("/log-newest", s.newest).Methods(http.MethodGet)
	return s
}

// SetMode changes how calls are answered.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Deafen makes the reads that wait at present miss all growth, as after a network fault.
func (s *Store) Deafen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.grown = make(chan struct{})
	}
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int64), kept: make(map[string][]byte), grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// Put appends a record as the operators or an upstream do; an empty value removes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(record{[]byte(key), value})
}

func (t *topic) add(r record) int64 {
	offset := t.first + int64(len(t.records))
	t.records = append(t.records, r)
	if len(r.value) == 0 {
		delete(t.kept, string(r.key))
		delete(t.newest, string(r.key))
	} else {
		t.kept[string(r.key)], t.newest[string(r.key)] = r.value, offset
	}
	close(t.grown)
	t.grown = make(chan struct{})
	return offset
}

// Forget deletes the history of a topic; the newest record of each key stays.
func (s *Store) Forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
	close(t.grown)
	t.grown = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	mode := s.mode
	s.mu.Unlock()
	time.Sleep(answerAfter)
	switch mode {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Silent:
		<-r.Context().Done()
	case Reset:
		panic(http.ErrAbortHandler)
	case Lost:
		if r.Method == http.MethodPost {
			s.router.ServeHTTP(discard{}, r)
			panic(http.ErrAbortHandler)
		}
		s.router.ServeHTTP(w, r)
	default:
		s.router.ServeHTTP(w, r)
	}
}

// discard is a response that is lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppend))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset := t.first + int64(len(t.records))
	for len(body) >= 5 {
		n, key := int(binary.BigEndian.Uint32(body)), int(body[4])
		if len(body) < 4+n || n < 1+key {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		content := body[5 : 4+n]
		t.add(record{content[:key], content[key:]})
		body = body[4+n:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int64{"offset": offset, "end": t.first + int64(len(t.records))})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait-ms")) // absent means no wait
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, grown := t.first+int64(len(t.records)), t.grown
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int64{"first": first})
			return
		}
		var out []byte
		if from < end || wait == 0 {
			out = t.since(from)
		}
		s.mu.Unlock()
		if out != nil {
			_, _ = w.Write(out) // the reader may have gone
			return
		}
		select {
		case <-grown:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// since encodes the records from an offset on.
func (t *topic) since(from int64) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(t.first+int64(len(t.records))))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))
	for i := from - t.first; i < int64(len(t.records)); i++ {
		r := t.records[i]
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(append(out, r.key...), r.value...)
	}
	return out
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
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
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	page.End = t.first + int64(len(t.records))
	keys := make([]string, 0, len(t.kept))
	for key := range t.kept {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page.HasMore = len(keys) > pageItems
	for _, key := range keys[:min(len(keys), pageItems)] {
		page.Items = append(page.Items, item{key, base64.StdEncoding.EncodeToString(t.kept[key]), t.newest[key]})
	}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(page) // the reader may have gone
}
