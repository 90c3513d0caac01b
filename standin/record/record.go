// Package record is the stand-in for the platform's append-only log, which holds named streams of records.
package record

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"sardinecross.example/lib/common/serve"
)

const (
	// maxRecordBytes bounds the data of one record, in bytes.
	maxRecordBytes = 1 << 20
	// maxReadRecords bounds the number of records in one response.
	maxReadRecords = 1000
	// maxReadBytes bounds the data of all records in one response, in bytes, so that the client accepts the response.
	maxReadBytes = 4 << 20
)

// Settings configures the log.
type Settings struct {
	Listen           netip.AddrPort `config:"listen,required"`
	Control          netip.AddrPort `config:"control,required"`
	Retention        Retention      `config:"retention"`
	AppendsPerSecond float64        `config:"appendsPerSecond" range:"1..1000000"`
	// Burst is the capacity of the token bucket that limits the append rate, in appends.
	Burst  int    `config:"burst" range:"1..1000000"`
	Seed   int    `config:"seed"`
	Faults Faults `config:"faults"`
}

// Retention bounds the age and the number of records of each stream. A record that exceeds either bound is dropped.
type Retention struct {
	Age     time.Duration `config:"age" range:"1ms.."`
	Records int           `config:"records" range:"1..10000000"`
}

// SetDefaults implements config.Defaulter.
func (s *Settings) SetDefaults() {
	*s = Settings{
		Retention:        Retention{Age: 10 * time.Minute, Records: 100_000},
		AppendsPerSecond: 300,
		Burst:            30,
		Seed:             1,
	}
}

// Faults holds the injected faults. They are the body of POST /control, where absent keys keep their values.
type Faults struct {
	// Down rejects every request with status 503 and does not apply it.
	Down bool `config:"down"`
	// Silent neither answers nor applies a request. The connection is closed when the faults change or the client
	// disconnects.
	Silent bool `config:"silent"`
	// Slow delays every request before it is applied. An append is applied even if its client has disconnected.
	Slow time.Duration `config:"slow" range:"0s..10m"`
	// LoseAnswers closes the connection of an append that was applied, without a response.
	LoseAnswers serve.FaultTrigger `config:"loseAnswers"`
}

// Stats holds the counters of the log.
type Stats struct {
	Streams map[string]StreamStats `json:"streams"`
	Appends int64                  `json:"appends"`
	Reads   int64                  `json:"reads"`
	// OverRate counts appends rejected with status 429, Refused requests rejected while down, Silenced requests left
	// without a response, LostAnswers applied appends without a response.
	OverRate    int64 `json:"overRate"`
	Refused     int64 `json:"refused"`
	Silenced    int64 `json:"silenced"`
	LostAnswers int64 `json:"lostAnswers"`
	// GreatestRate is the greatest number of appends within one second of the Unix clock.
	GreatestRate int64 `json:"greatestRate"`
}

// StreamStats describes one stream: the offsets of its oldest record and of its next append, the data retained in bytes,
// and the number of appends since the start.
type StreamStats struct {
	First   int64 `json:"first"`
	Next    int64 `json:"next"`
	Bytes   int64 `json:"bytes"`
	Appends int64 `json:"appends"`
}

// appendResponse is the body of the response to an append.
type appendResponse struct {
	Offset int64 `json:"offset"`
}

// readResponse is the body of the response to a read: records, and the offsets of the oldest record of the stream and of
// its next append.
type readResponse struct {
	Records []record `json:"records"`
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
}

// record is a record in the response to a read.
type record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Log is a running log.
type Log struct {
	cfg     Settings
	now     func() time.Time
	servers serve.Pair
	// ctx is cancelled by Close. It is used in place of a request's context where a disconnect of the client must not
	// matter.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	rng     *rand.Rand
	streams map[string]*stream
	faults  Faults
	// faultsChanged is closed and replaced by each POST /control.
	faultsChanged chan struct{}
	stats         Stats
	// tokens is the number of tokens in the bucket at the time refilled, at most cfg.Burst.
	tokens   float64
	refilled time.Time
	// delayed is the number of requests that wait because of Faults.Slow.
	delayed int
	// appendsInSecond counts the appends in currentSecond, which is in Unix seconds.
	currentSecond, appendsInSecond int64
}

// New starts a log that listens on the addresses in cfg.
func New(cfg Settings) (*Log, error) { return start(cfg, time.Now) }

// start is New with a clock that tests can replace.
func start(cfg Settings, now func() time.Time) (*Log, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Log{
		cfg:           cfg,
		ctx:           ctx,
		cancel:        cancel,
		now:           now,
		rng:           rand.New(rand.NewPCG(uint64(cfg.Seed), 1)),
		streams:       make(map[string]*stream),
		faults:        cfg.Faults,
		faultsChanged: make(chan struct{}),
		tokens:        float64(cfg.Burst),
		refilled:      now(),
	}
	r := mux.NewRouter()
	r.HandleFunc("/v1/streams/{stream}/records", l.handleAppend).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{stream}/records", l.handleRead).Methods(http.MethodGet)
	var err error
	if l.servers, err = serve.ListenPair(cfg.Listen, cfg.Control, r, l.handleControl, func() any { return l.Stats() }); err != nil {
		return nil, err
	}
	return l, nil
}

// Close stops the log and waits for its handlers.
func (l *Log) Close() {
	l.cancel()
	l.servers.Close()
}

// Stats returns the counters since the start.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Streams = make(map[string]StreamStats, len(l.streams))
	for name, st := range l.streams {
		st.trim(l.cfg.Retention, l.now())
		s.Streams[name] = StreamStats{First: st.first, Next: st.next(), Bytes: st.bytes, Appends: st.appends}
	}
	return s
}

// handleControl serves POST /control.
func (l *Log) handleControl(w http.ResponseWriter, r *http.Request) {
	body, ok := serve.ReadControl(w, r)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	faults := l.faults
	if !serve.DecodeControl(w, body, &faults) {
		return
	}
	l.faults = faults
	close(l.faultsChanged)
	l.faultsChanged = make(chan struct{})
	w.WriteHeader(http.StatusNoContent)
}

// applyFaults applies Silent, Down and Slow to a request. It returns false if it rejected the request; it aborts the
// handler if the log is silent.
func (l *Log) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	l.mu.Lock()
	faults, changed := l.faults, l.faultsChanged
	switch {
	case faults.Silent:
		l.stats.Silenced++
	case faults.Down:
		l.stats.Refused++
	case faults.Slow > 0:
		l.delayed++
	}
	l.mu.Unlock()
	if faults.Silent {
		select {
		case <-r.Context().Done():
		case <-changed:
		}
		panic(http.ErrAbortHandler)
	}
	if faults.Down {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return false
	}
	if faults.Slow > 0 {
		delay(l.ctx, changed, faults.Slow)
		l.mu.Lock()
		l.delayed--
		l.mu.Unlock()
	}
	return true
}

// delay waits for d. It returns early when the faults change, so that a log that is no longer slow serves the delayed
// requests at once.
func delay(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-changed:
	case <-ctx.Done():
	}
}

// handleAppend serves POST /v1/streams/{stream}/records.
func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, "record too large or incomplete", http.StatusRequestEntityTooLarge)
		return
	}
	if !l.applyFaults(w, r) {
		return
	}
	l.mu.Lock()
	if !l.takeToken() {
		l.stats.OverRate++
		l.mu.Unlock()
		http.Error(w, "append rate exceeded", http.StatusTooManyRequests)
		return
	}
	offset := l.trimmedStream(mux.Vars(r)["stream"]).append(data, l.now())
	l.countAppend()
	lost := l.faults.LoseAnswers.Fires(l.rng)
	if lost {
		l.stats.LostAnswers++
	}
	l.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	serve.WriteJSON(w, appendResponse{Offset: offset})
}

// takeToken refills the token bucket and takes one token. It returns false if there is none. l.mu must be held.
func (l *Log) takeToken() bool {
	now := l.now()
	l.tokens = min(float64(l.cfg.Burst), l.tokens+now.Sub(l.refilled).Seconds()*l.cfg.AppendsPerSecond)
	l.refilled = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// countAppend updates the counters after an append. l.mu must be held.
func (l *Log) countAppend() {
	l.stats.Appends++
	if second := l.now().Unix(); second != l.currentSecond {
		l.currentSecond, l.appendsInSecond = second, 0
	}
	l.appendsInSecond++
	l.stats.GreatestRate = max(l.stats.GreatestRate, l.appendsInSecond)
}

// trimmedStream returns the stream called name, without the records past the retention. It creates the stream if it does
// not exist. l.mu must be held.
func (l *Log) trimmedStream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{}
		l.streams[name] = s
	}
	s.trim(l.cfg.Retention, l.now())
	return s
}

// handleRead serves GET /v1/streams/{stream}/records.
func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaults(w, r) {
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || err2 != nil || from < 0 || limit < 1 {
		http.Error(w, "from and limit must be numbers", http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	l.stats.Reads++
	s := l.trimmedStream(mux.Vars(r)["stream"])
	response := readResponse{Records: truncateRecords(s.read(from, min(limit, maxReadRecords))), First: s.first, Next: s.next()}
	l.mu.Unlock()
	serve.WriteJSON(w, response)
}

// truncateRecords returns the first records whose data fits in maxReadBytes, but at least one record.
func truncateRecords(records []record) []record {
	size := 0
	for i, r := range records {
		size += len(r.Data)
		if size > maxReadBytes && i > 0 {
			return records[:i]
		}
	}
	return records
}
