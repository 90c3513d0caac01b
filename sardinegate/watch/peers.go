package watch

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"sardinecross.example/lib/common/codec"
	"sardinecross.example/lib/fleet"
)

const (
	// snapshotTimeout bounds the transfer of a snapshot from another host, maxSnapshotBytes its size in bytes.
	snapshotTimeout  = time.Second
	maxSnapshotBytes = 8 << 20
	// snapshotPath is the path at which a host serves its snapshot.
	snapshotPath = "/knowledge"
)

// storeSnapshot holds what a host knows from the store. Hosts that cannot read the store copy it.
type storeSnapshot struct {
	OperatorsPosition int64          `cbor:"1,keyasint"`
	OperatorRecords   []fleet.Record `cbor:"2,keyasint,omitempty"`
	// OperatorsAge is the time since the read that confirmed OperatorsPosition was sent.
	OperatorsAge time.Duration `cbor:"3,keyasint"`
	// List is meaningful only if Listed is set.
	List   fleet.Snapshot `cbor:"4,keyasint"`
	Listed bool           `cbor:"5,keyasint,omitempty"`
}

var (
	snapshotEncoder = codec.Encoder()
	snapshotDecoder = codec.Decoder(codec.Bounds{Elements: 1 << 16, Depth: 8})
)

// ServeHTTP implements http.Handler. It serves the snapshot of this host to other hosts.
func (w *Watcher) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != snapshotPath {
		http.NotFound(rw, r)
		return
	}
	w.mu.Lock()
	snapshot := storeSnapshot{
		OperatorsPosition: w.operatorsPosition,
		OperatorsAge:      w.now() - w.operatorsAsOf,
		List:              w.list.Snapshot(w.now()),
		Listed:            w.view.Load().Listed,
	}
	for _, record := range w.operatorRecords {
		snapshot.OperatorRecords = append(snapshot.OperatorRecords, record)
	}
	w.mu.Unlock()
	data, err := snapshotEncoder.Marshal(snapshot)
	if err != nil {
		w.deps.Log.Error("knowledge not encoded", "error", err)
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = rw.Write(data) // fails only if the other host has closed the connection
}

// copyFromHost fetches the snapshot of another host and takes over those parts that are newer than this host's. Their age counts
// from the request, as it is not known when the other host wrote its response.
func (w *Watcher) copyFromHost(ctx context.Context, host string, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	ctx, done, err := w.hostClient.Begin(ctx)
	if err != nil {
		return err
	}
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+snapshotPath, nil)
	if err != nil {
		return err
	}
	requestedAt := w.now()
	data, err := w.hostClient.Do(req, maxSnapshotBytes)
	if err != nil {
		return err
	}
	var snapshot storeSnapshot
	if err := snapshotDecoder.Unmarshal(data, &snapshot); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if snapshot.OperatorsPosition > w.operatorsPosition {
		if err := w.replaceOperatorRecords(requestedAt-snapshot.OperatorsAge, snapshot.OperatorsPosition, snapshot.OperatorRecords); err != nil {
			return err
		}
		w.deps.Log.Info("operators' records taken from a host", "host", host, "position", snapshot.OperatorsPosition)
	}
	if snapshot.Listed && (!w.view.Load().Listed || snapshot.List.Offset > w.list.Offset) {
		snapshot.List.Age += w.now() - requestedAt
		w.list.Restore(w.now(), snapshot.List, w.inOutageWindow())
		w.publishList()
		w.deps.Log.Info("upstreams taken from a host", "host", host, "position", w.list.Offset)
	}
	return nil
}

// copyFromHosts copies from each live host that is ahead of this one in a stream.
func (w *Watcher) copyFromHosts(ctx context.Context) {
	for _, m := range w.deps.Node.Alive() {
		operators, list := w.Positions()
		if m.OperatorsPosition <= operators && m.ListPosition <= list {
			continue
		}
		if err := w.copyFromHost(ctx, m.Host, m.Address()); err != nil {
			w.deps.Log.Warn("knowledge not copied", "host", m.Host, "error", err)
		}
	}
}
