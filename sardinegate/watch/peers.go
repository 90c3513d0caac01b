package watch

import (
	"context"
	"net/http"
	"time"

	"sardinecross.example/lib/common/codec"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/mesh"
)

const (
	// copyTimeout bounds the transfer of what another host knows, maxCopy its size in bytes.
	copyTimeout = time.Second
	maxCopy     = 8 << 20
	// copyPath serves what this host knows.
	copyPath = "/knowledge"
)

// knowledge is what a host knows from the store, for a host that cannot read it.
type knowledge struct {
	Operators int64            `cbor:"1,keyasint"`
	Records   []fleet.Record   `cbor:"2,keyasint,omitempty"`
	List      int64            `cbor:"3,keyasint"`
	Upstreams []fleet.Upstream `cbor:"4,keyasint,omitempty"`
	// Age is the time since the read that confirmed List was sent.
	Age          time.Duration `cbor:"5,keyasint"`
	Listed       bool          `cbor:"6,keyasint,omitempty"`
	OperatorsAge time.Duration `cbor:"7,keyasint"`
}

var (
	copyEncoder = codec.Encoder()
	copyDecoder = codec.Decoder(codec.Bounds{Elements: 1 << 16, Depth: 8})
)

// ServeHTTP implements http.Handler: it serves other hosts what this one knows.
func (w *Watcher) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != copyPath {
		http.NotFound(rw, r)
		return
	}
	w.mu.Lock()
	k := knowledge{
		Operators:    w.operators,
		List:         w.list.Offset,
		Upstreams:    w.list.Entries(),
		Age:          w.now() - w.list.AsOf,
		Listed:       w.view.Load().Listed,
		OperatorsAge: w.now() - w.operatorsAsOf,
	}
	for _, record := range w.records {
		k.Records = append(k.Records, record)
	}
	w.mu.Unlock()
	data, err := copyEncoder.Marshal(k)
	if err != nil {
		w.deps.Log.Error("knowledge not encoded", "error", err)
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = rw.Write(data) // the reader has gone
}

// copyFrom takes over what another host knows where it is newer.
func (w *Watcher) copyFrom(ctx context.Context, m mesh.Member) error {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	ctx, done, err := w.peers.Begin(ctx)
	if err != nil {
		return err
	}
	defer done()
	addr := m.Address()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+copyPath, nil)
	if err != nil {
		return err
	}
	data, err := w.peers.Do(req, maxCopy)
	if err != nil {
		return err
	}
	var k knowledge
	if err := copyDecoder.Unmarshal(data, &k); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if k.Operators > w.operators {
		w.replaceOperators(w.now()-k.OperatorsAge, k.Operators, k.Records)
		w.deps.Log.Info("operators' records taken from a host", "host", m.Host, "position", k.Operators)
	}
	if k.Listed && (!w.view.Load().Listed || k.List > w.list.Offset) {
		w.list.Replace(w.now(), w.now()-k.Age, k.List, k.Upstreams, w.afterOutage())
		w.publishList()
		w.deps.Log.Info("upstreams taken from a host", "host", m.Host, "position", k.List)
	}
	return nil
}

// copy takes over what other hosts know more than this one.
func (w *Watcher) copy(ctx context.Context) {
	for _, m := range w.deps.Node.Alive() {
		operators, list := w.Positions()
		if m.Operators <= operators && m.List <= list {
			continue
		}
		if err := w.copyFrom(ctx, m); err != nil {
			w.deps.Log.Warn("knowledge not copied", "host", m.Host, "error", err)
		}
	}
}
