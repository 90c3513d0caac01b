package watch

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinecross.example/lib/common/codec"
	"sardinecross.example/lib/common/httpc"
	"sardinecross.example/lib/common/pause"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/mesh"
)

const (
	// snapshotTimeout bounds the transfer of a snapshot from another host, maxSnapshotBytes its size in bytes.
	snapshotTimeout  = time.Second
	maxSnapshotBytes = 8 << 20
	// snapshotPath is the path at which a host serves its snapshot.
	snapshotPath = "/knowledge"
	// maxServed is the number of snapshots that a host serves at the same time. It refuses further ones, so that the one that it
	// serves arrives soon and its receiver serves others: the number of hosts that have a change doubles with each transfer.
	maxServed = 1
	// staleAge is the age of the known position from which on a host copies from others: all hosts would have read the store by
	// then. catchUpInterval is the time between checks.
	staleAge        = fleet.OutageGap
	catchUpInterval = 50 * time.Millisecond
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
	done, ok := w.beginServing()
	if !ok {
		http.Error(rw, "too many copies", http.StatusServiceUnavailable)
		return
	}
	defer done()
	data, err := w.encodeSnapshot()
	if err != nil {
		w.deps.Log.Error("knowledge not encoded", "error", err)
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	_ = http.NewResponseController(rw).SetWriteDeadline(time.Now().Add(snapshotTimeout)) // fails only on a recorder of a test
	_, _ = rw.Write(data)                                                                // fails only if the other host has gone or given up
}

// beginServing takes one of maxServed places, which done gives back. It returns false if all are taken.
func (w *Watcher) beginServing() (done func(), ok bool) {
	select {
	case w.serving <- struct{}{}:
		return func() { <-w.serving }, true
	default:
		return nil, false
	}
}

// encodeSnapshot returns the encoded snapshot of this host.
func (w *Watcher) encodeSnapshot() ([]byte, error) {
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
	return snapshotEncoder.Marshal(snapshot)
}

// requestSnapshot requests the snapshot of the host at addr.
func (w *Watcher) requestSnapshot(ctx context.Context, addr netip.AddrPort) ([]byte, error) {
	ctx, done, err := w.hostClient.Begin(ctx)
	if err != nil {
		return nil, err
	}
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+snapshotPath, nil)
	if err != nil {
		return nil, err
	}
	return w.hostClient.Do(req, maxSnapshotBytes)
}

// copyFromHost fetches the snapshot of another host and takes over those parts that are newer than this host's. Their age counts
// from the request, as it is not known when the other host wrote its response.
func (w *Watcher) copyFromHost(ctx context.Context, m mesh.Member) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	requestedAt := w.now()
	data, err := w.fetch(ctx, m)
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
		w.deps.Log.Info("operators' records taken from a host", "host", m.Host, "position", snapshot.OperatorsPosition)
	}
	if snapshot.Listed && (!w.view.Load().Listed || snapshot.List.Offset > w.list.Offset) {
		snapshot.List.Age += w.now() - requestedAt
		w.list.Restore(w.now(), snapshot.List)
		w.publishList()
		w.deps.Log.Info("upstreams taken from a host", "host", m.Host, "position", w.list.Offset)
	}
	return nil
}

// copyFromHosts copies from live hosts that are ahead of this one in a stream until none is.
func (w *Watcher) copyFromHosts(ctx context.Context) {
	if !w.copying.TryLock() {
		return // another goroutine copies
	}
	defer w.copying.Unlock()
	for _, m := range w.hostsAhead() {
		if !w.isAhead(m) {
			continue
		}
		err := w.copyFromHost(ctx, m)
		var status *httpc.StatusError
		switch {
		case errors.As(err, &status) && status.Status == http.StatusServiceUnavailable:
			// The host serves others, which will be ahead as well.
		case err != nil:
			w.deps.Log.Warn("knowledge not copied", "host", m.Host, "error", err)
		default:
			w.deps.Node.SendHeartbeat() // so that others copy from this host, too
		}
	}
}

// hostsAhead returns the live hosts that are ahead of this one in a stream, in an order that differs from host to host.
func (w *Watcher) hostsAhead() []mesh.Member {
	ahead := slices.DeleteFunc(w.deps.Node.Alive(), func(m mesh.Member) bool { return !w.isAhead(m) })
	order := func(m mesh.Member) uint64 { return xxhash.Sum64String(w.deps.Host + " " + m.Host) }
	slices.SortFunc(ahead, func(a, b mesh.Member) int { return cmp.Compare(order(a), order(b)) })
	return ahead
}

// isAhead reports whether a host is ahead of this one in a stream.
func (w *Watcher) isAhead(m mesh.Member) bool {
	operators, list := w.Positions()
	return m.OperatorsPosition > operators || m.ListPosition > list
}

// catchUp copies from hosts that are ahead while neither messages nor reads of the store renew what this host knows. A read that hangs
// ends only at its time limit.
func (w *Watcher) catchUp(ctx context.Context) {
	for pause.For(ctx, catchUpInterval) {
		if operators, list := w.Ages(); max(operators, list) > staleAge {
			w.copyFromHosts(ctx)
		}
	}
}
