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
	// snapshotPath is the path at which a host serves its snapshot, and snapshotQuery asks for one with eras. Hosts of earlier
	// releases neither send the query nor know it.
	snapshotPath  = "/knowledge"
	snapshotQuery = "version=2"
	// maxServed is the number of snapshots that a host serves at the same time. It refuses further ones, so that the one that it
	// serves arrives soon and its receiver serves others: the number of hosts that have a change doubles with each transfer.
	maxServed = 1
	// staleAge is the age of the known position from which on a host copies from others: all hosts would have read the store by
	// then. catchUpInterval is the time between checks.
	staleAge        = fleet.OutageGap
	catchUpInterval = 50 * time.Millisecond
)

// storeSnapshot holds what a host knows from the store. Hosts that cannot read the store copy it. Hosts of earlier releases know the
// first five fields, without eras.
type storeSnapshot struct {
	OperatorsPosition int64          `cbor:"1,keyasint"`
	OperatorRecords   []fleet.Record `cbor:"2,keyasint,omitempty"`
	// OperatorsAge is the time since the read that confirmed the position of the operators' records was sent.
	OperatorsAge time.Duration `cbor:"3,keyasint"`
	// List is meaningful only if Listed is set.
	List   fleet.Snapshot `cbor:"4,keyasint"`
	Listed bool           `cbor:"5,keyasint,omitempty"`
	// Operators replaces OperatorsPosition and OperatorRecords.
	Operators *fleet.OperatorSnapshot `cbor:"6,keyasint,omitempty"`
}

// withoutEras returns the snapshot for a host of an earlier release.
func (s storeSnapshot) withoutEras() storeSnapshot {
	s.OperatorsPosition, s.OperatorRecords = s.Operators.Progress.Position.Offset, s.Operators.InForce
	s.Operators = nil
	s.List = s.List.WithoutEra()
	return s
}

// operators returns the operators' records. Those of a host of an earlier release are of an unknown era.
func (s storeSnapshot) operators() fleet.OperatorSnapshot {
	if s.Operators != nil {
		return *s.Operators
	}
	position := fleet.At(0, s.OperatorsPosition)
	return fleet.OperatorSnapshot{Progress: fleet.Progress{Position: position}, InForce: s.OperatorRecords}
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
	data, err := w.encodeSnapshot(r.URL.RawQuery == snapshotQuery)
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

// encodeSnapshot returns the encoded snapshot of this host, with eras or for a host of an earlier release.
func (w *Watcher) encodeSnapshot(eras bool) ([]byte, error) {
	w.mu.Lock()
	now := w.now()
	operators := w.operators.Snapshot(now)
	operators.Remembers = w.remembers.Load()
	snapshot := storeSnapshot{
		OperatorsAge: now - w.operatorsAsOf,
		List:         w.list.Snapshot(now),
		Listed:       w.view.Load().Listed,
		Operators:    &operators,
	}
	w.mu.Unlock()
	if !eras {
		snapshot = snapshot.withoutEras()
	}
	return snapshotEncoder.Marshal(snapshot)
}

// requestSnapshot requests the snapshot of the host at addr.
func (w *Watcher) requestSnapshot(ctx context.Context, addr netip.AddrPort) ([]byte, error) {
	ctx, done, err := w.hostClient.Begin(ctx)
	if err != nil {
		return nil, err
	}
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+snapshotPath+"?"+snapshotQuery, nil)
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
	operators := snapshot.operators()
	w.operators.MergePast(w.now(), operators.Past)
	if snapshot.Listed {
		snapshot.List.Age += w.now() - requestedAt
		w.takeList(m.Host, snapshot.List)
	}
	if operators.Remembers && snapshot.Listed {
		w.remembers.Store(true)
	}
	return w.takeOperatorRecords(m.Host, requestedAt-snapshot.OperatorsAge, operators)
}

// takeOperatorRecords takes over the operators' records of another host if it is ahead. w.mu must be held.
func (w *Watcher) takeOperatorRecords(host string, asOf time.Duration, s fleet.OperatorSnapshot) error {
	own := w.operators.Progress
	knowsEarlier := s.Progress.KnowsEarlier(own) && s.Progress.Position == own.Position
	if !knowsEarlier && !s.Progress.Position.After(own.Position) {
		return nil
	}
	if err := w.copyOperatorRecords(asOf, s); err != nil {
		return err
	}
	p := w.operators.Progress
	w.deps.Log.Info("operators' records taken from a host", "host", host, "era", p.Position.Era, "position", p.Position.Offset,
		"previousEra", p.Previous.Era, "previous", p.Previous.Offset)
	return nil
}

// takeList takes over the list of upstreams of another host if it is ahead, or if this host has none. w.mu must be held.
func (w *Watcher) takeList(host string, s fleet.Snapshot) {
	own, p := w.list.Progress, s.Progress()
	if w.view.Load().Listed && !p.Position.After(own.Position) && !p.KnowsEarlier(own) {
		if p.Position.Era == own.Position.Era && w.list.MergeRemovals(w.now(), s) {
			w.publishList()
		}
		return
	}
	w.list.Restore(w.now(), s)
	w.publishList()
	p = w.list.Progress
	w.deps.Log.Info("upstreams taken from a host", "host", host, "era", p.Position.Era, "position", p.Position.Offset,
		"previousEra", p.Previous.Era, "previous", p.Previous.Offset)
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
	return w.inOwnOrder(slices.DeleteFunc(w.deps.Node.Alive(), func(m mesh.Member) bool { return !w.isAhead(m) }))
}

// inOwnOrder sorts hosts in an order that differs from host to host, and returns them.
func (w *Watcher) inOwnOrder(hosts []mesh.Member) []mesh.Member {
	order := func(m mesh.Member) uint64 { return xxhash.Sum64String(w.deps.Host + " " + m.Host) }
	slices.SortFunc(hosts, func(a, b mesh.Member) int { return cmp.Compare(order(a), order(b)) })
	return hosts
}

// isAhead reports whether a host is ahead of this one in a stream, or, soon after a restore or the start of this host, knows more of
// an earlier era.
func (w *Watcher) isAhead(m mesh.Member) bool {
	operators, list := w.Progress()
	return m.Operators.Position.After(operators.Position) || m.List.Position.After(list.Position) ||
		w.copiesEarlierEra() && w.knowsEarlierEra(m)
}

// knowsEarlierEra reports whether a host knows more of an earlier era than this host, in a stream.
func (w *Watcher) knowsEarlierEra(m mesh.Member) bool {
	operators, list := w.Progress()
	return m.Operators.KnowsEarlier(operators) || m.List.KnowsEarlier(list)
}

// catchUp copies from hosts that are ahead while neither messages nor reads of the store renew what this host knows, or if they know
// records that the store has lost. A read that hangs ends only at its time limit.
func (w *Watcher) catchUp(ctx context.Context) {
	for attempt := 0; pause.For(ctx, catchUpInterval); attempt++ {
		w.copyMemory(ctx, attempt)
		operators, list := w.Ages()
		if max(operators, list) > staleAge || w.copiesEarlierEra() && slices.ContainsFunc(w.deps.Node.Alive(), w.knowsEarlierEra) {
			w.copyFromHosts(ctx)
		}
	}
}
