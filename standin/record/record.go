// Package record is the stand-in for the platform's append-only log.
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
	maxRecordBytes = 1 << 20
	maxReadRecords = 1000
	// maxReadBytes keeps an answer within what the client accepts.
	maxReadBytes = 4 << 20
)

// Settings are those of the log.
type Settings struct {
	Listen           netip.AddrPort `config:"listen,required"`
	Control          netip.AddrPort `config:"control,required"`
	Retention        Retention      `config:"retention"`
	AppendsPerSecond float64        `config:"appendsPerSecond" range:"1..1000000"`
	// Burst is how many appends may come at once.
	Burst int    `config:"burst" range:"1..1000000"`
	Seed  int    `config:"seed"`
	Fault Faults `config:"faults"`
}

// Retention bounds each stream; a record past either bound is dropped.
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

// Faults are what POST /control switches.
type Faults struct {
	// Down answers every request with 503, without effect.
	Down bool `config:"down"`
	// Silent answers no request and applies none, until it is switched off or the client gives up.
	Silent bool `config:"silent"`
	// Slow delays every request before it takes effect. An append takes effect even if its client has gone.
	Slow time.Duration `config:"slow" range:"0s..10m"`
	// LoseAnswers drops the answer of an append that took effect.
	LoseAnswers serve.FaultTrigger `config:"loseAnswers"`
}

// Stats counts what the log did.
type Stats struct {
	Streams     map[string]StreamStats `json:"streams"`
	Appends     int64                  `json:"appends"`
	Reads       int64                  `json:"reads"`
	OverRate    int64                  `json:"overRate"`
	Refused     int64                  `json:"refused"`
	Silenced    int64                  `json:"silenced"`
	LostAnswers int64                  `json:"lostAnswers"`
	// GreatestRate is the greatest number of appends within one second of the clock.
	GreatestRate int64 `json:"greatestRate"`
}

// StreamStats describes one stream.
type StreamStats struct {
	First   int64 `json:"first"`
	Next    int64 `json:"next"`
	Bytes   int64 `json:"bytes"`
	Appends int64 `json:"appends"`
}

type appendAnswer struct {
	Offset int64 `json:"offset"`
}

type readAnswer struct {
	Records []recordAnswer `json:"records"`
	First   int64          `json:"first"`
	Next    int64          `json:"next"`
}

type recordAnswer struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Log is a running stand-in.
type Log struct {
	cfg     Settings
	now     func() time.Time
	servers serve.Pair
	// ctx ends with Close. It replaces that of a request where the client's disconnect must not matter.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	rng     *rand.Rand
	streams map[string]*stream
	faults  Faults
	// changed is closed and replaced when the faults change.
	changed chan struct{}
	stats   Stats
	// tokens is the number of appends that may come at refilled, at most cfg.Burst.
	tokens   float64
	refilled time.Time
	// delayed counts the requests that wait because the log is slow.
	delayed int
	// second and inSecond count the appends of the current second of the clock.
	second, inSecond int64
}

// New starts a log.
func New(cfg Settings) (*Log, error) { return start(cfg, time.Now) }

func start(cfg Settings, now func() time.Time) (*Log, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Log{
		cfg:      cfg,
		ctx:      ctx,
		cancel:   cancel,
		now:      now,
		rng:      rand.New(rand.NewPCG(uint64(cfg.Seed), 1)),
		streams:  make(map[string]*stream),
		faults:   cfg.Fault,
		changed:  make(chan struct{}),
		tokens:   float64(cfg.Burst),
		refilled: now(),
	}
	r := mux.NewRouter()
	r.HandleFunc("/v1/streams/{stream}/records", l.append).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{stream}/records", l.read).Methods(http.MethodGet)
	var err error
	if l.servers, err = serve.ListenPair(cfg.Listen, cfg.Control, r, l.setFaults, func() any { return l.Stats() }); err != nil {
		return nil, err
	}
	return l, nil
}

// Close stops the log and waits for its handlers.
func (l *Log) Close() {
	l.cancel()
	l.servers.Close()
}

// Stats returns the counts so far.
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

func (l *Log) setFaults(w http.ResponseWriter, r *http.Request) {
	body, err := serve.ReadBody(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	faults := l.faults
	if !serve.DecodeControl(w, body, &faults) {
		return
	}
	l.faults = faults
	close(l.changed)
	l.changed = make(chan struct{})
	w.WriteHeader(http.StatusNoContent)
}

// pass lets a request through or ends it as the faults say; it returns false if the request is ended.
func (l *Log) pass(w http.ResponseWriter, r *http.Request) bool {
	l.mu.Lock()
	faults, changed := l.faults, l.changed
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
		sleep(l.ctx, changed, faults.Slow)
		l.mu.Lock()
		l.delayed--
		l.mu.Unlock()
	}
	return true
}

// sleep ends early when the faults change, so that a log that is no longer slow serves what it delayed.
func sleep(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-changed:
	case <-ctx.Done():
	}
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, "record too large or incomplete", http.StatusRequestEntityTooLarge)
		return
	}
	if !l.pass(w, r) {
		return
	}
	l.mu.Lock()
	if !l.takeToken() {
		l.stats.OverRate++
		l.mu.Unlock()
		http.Error(w, "append rate exceeded", http.StatusTooManyRequests)
		return
	}
	offset := l.stream(mux.Vars(r)["stream"]).append(data, l.now())
	l.count()
	lost := l.faults.LoseAnswers.Fires(l.rng)
	if lost {
		l.stats.LostAnswers++
	}
	l.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	serve.WriteJSON(w, appendAnswer{Offset: offset})
}

// takeToken is called with l.mu held.
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

// count is called with l.mu held.
func (l *Log) count() {
	l.stats.Appends++
	if second := l.now().Unix(); second != l.second {
		l.second, l.inSecond = second, 0
	}
	l.inSecond++
	l.stats.GreatestRate = max(l.stats.GreatestRate, l.inSecond)
}

// stream is called with l.mu held; it returns the trimmed stream of a name.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{}
		l.streams[name] = s
	}
	s.trim(l.cfg.Retention, l.now())
	return s
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	if !l.pass(w, r) {
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
	s := l.stream(mux.Vars(r)["stream"])
	answer := readAnswer{Records: cut(s.read(from, min(limit, maxReadRecords))), First: s.first, Next: s.next()}
	l.mu.Unlock()
	serve.WriteJSON(w, answer)
}

// cut shortens an answer to maxReadBytes, but never below one record.
func cut(records []recordAnswer) []recordAnswer {
	size := 0
	for i, r := range records {
		size += len(r.Data)
		if size > maxReadBytes && i > 0 {
			return records[:i]
		}
	}
	return records
}
