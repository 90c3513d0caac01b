package watch

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"sardinecross.example/lib/common/pause"
	"sardinecross.example/lib/fleet"
)

const (
	// minReadAge is the age of the known position at which the first host in the order of readers reads a stream. Each of
	// the next firstReaders hosts waits readAgeStep longer, so that one host reads for all while it is alive and reaches
	// the others. All further hosts share the rest of readAgeSpread, by which the last one reads.
	minReadAge    = 750 * time.Millisecond
	readAgeStep   = 45 * time.Millisecond
	firstReaders  = 8
	readAgeSpread = 800 * time.Millisecond
	// readTask is the task for which hosts are ranked to read the store.
	readTask = "read the store"
	// ageCheckInterval is the time between checks of the age of the known position.
	ageCheckInterval = 40 * time.Millisecond
	// joinInterval is the time between attempts to copy the view from other hosts after the start.
	joinInterval = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the pause of the first host in the order of readers after a failed call to the store.
	// Each further host waits retryRankStep longer. All hosts together then begin some tens of calls a second while the store is
	// down, however many they are (the sum of 1/(maxRetryDelay + rank*retryRankStep)), and the first ones notice its return soon and
	// tell the others.
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	retryRankStep = 100 * time.Millisecond
	// maxDelayFailures is a number of failures after which the pause is maxRetryDelay.
	maxDelayFailures = 4
)

// noPosition is before all positions.
var noPosition = fleet.At(0, -1)

// stream describes how a watcher follows one stream of the store.
type stream struct {
	name string
	id   fleet.Stream
	// position returns the position up to which this host knows the stream. age returns the time since the read that
	// confirmed the position was sent. Both are called without w.mu held.
	position func() fleet.Position
	age      func() time.Duration
	// replace replaces what is known by the newest records of all keys as of position to. It fails with a StaleError if the
	// known position is after it. apply applies the records between the positions from and to. The read was sent at asOf.
	// Both are called with w.mu held.
	replace func(asOf time.Duration, to fleet.Position, records []fleet.Record) error
	apply   func(asOf time.Duration, from, to fleet.Position, records []fleet.Record)
	// loaded reports whether the view contains the data of the stream.
	loaded func() bool
	// expire removes entries whose time has passed; it is called at each check of the age.
	expire func()
}

// reader is what a host remembers of its reads of a stream.
type reader struct {
	// positionRead is set while the position comes from a read of the store. Reading can also resume at a position copied from
	// another host, unless it is at or before deletedFrom: the records from there on were deleted.
	positionRead bool
	deletedFrom  fleet.Position
	// failures counts the failed calls in a row, the last of which ended at failedAt.
	failures int
	failedAt time.Duration
}

// follow reads a stream whenever the known position gets older than readAge, because no other host has read and sent a
// newer span of it in time.
func (w *Watcher) follow(ctx context.Context, s stream) {
	for r := (reader{deletedFrom: noPosition}); ctx.Err() == nil; {
		s.expire()
		if w.awaitsCopy(s.position()) {
			w.copyFromHosts(ctx)
			pause.For(ctx, ageCheckInterval)
			continue
		}
		resumes := w.canResume(s, r)
		if resumes && w.isFresh(s) || w.pauses(r) {
			pause.For(ctx, ageCheckInterval)
			continue
		}
		var err error
		if resumes {
			err = w.readChanges(ctx, s)
		} else {
			err = w.readNewest(ctx, s)
		}
		w.endRead(ctx, s, &r, resumes, err)
	}
}

// canResume reports whether the next read of a stream may begin at the known position.
func (w *Watcher) canResume(s stream, r reader) bool {
	position := s.position()
	return (r.positionRead || s.loaded() && position.After(r.deletedFrom)) && !w.isBehindEra(position)
}

// isFresh reports whether the known position is too young for this host to read the stream.
func (w *Watcher) isFresh(s stream) bool {
	age := s.age()
	return age < minReadAge || age < w.readAge()
}

// pauses reports whether this host pauses after failed calls.
func (w *Watcher) pauses(r reader) bool {
	return r.failures > 0 && w.now()-r.failedAt < w.retryDelay(r.failures)
}

// endRead records how a read has ended. resumed is set if it began at the known position.
func (w *Watcher) endRead(ctx context.Context, s stream, r *reader, resumed bool, err error) {
	var gap *fleet.GapError
	var era *fleet.EraError
	switch {
	case err == nil && !w.isBehindEra(s.position()):
		*r = reader{positionRead: true, deletedFrom: noPosition}
	case resumed && errors.As(err, &gap):
		w.deps.Log.Info("records were deleted", "stream", s.name, "era", gap.From.Era, "from", gap.From.Offset)
		r.positionRead, r.deletedFrom = false, gap.From
	case resumed && errors.As(err, &era) && era.Restored():
		// The next round reads or copies the newest records of the new era.
	default: // also an answer of an earlier era than another host has reported
		r.failures++
		r.failedAt = w.now()
		w.copyFromHosts(ctx)
	}
}

// retryDelay returns the pause after the given number of failed calls in a row.
func (w *Watcher) retryDelay(failures int) time.Duration {
	return min(minRetryDelay<<min(failures-1, maxDelayFailures), maxRetryDelay) + time.Duration(w.rank())*retryRankStep
}

// rank returns the place of this host in the order of readers, from 0 on.
func (w *Watcher) rank() int {
	return max(slices.Index(w.deps.Node.RankHosts(readTask, false), w.deps.Host), 0)
}

// join copies the view from other hosts until it is complete, because the store may be unreachable when this host
// starts.
func (w *Watcher) join(ctx context.Context) {
	for !w.complete() && pause.For(ctx, joinInterval) {
		w.copyFromHosts(ctx)
	}
}

// complete reports whether the view contains a configuration and a list of upstreams.
func (w *Watcher) complete() bool {
	v := w.View()
	return v.Routes != nil && v.Listed
}

// readAge returns the age of the known position at which this host reads a stream. It grows with the number of live
// hosts that are ranked before this one.
func (w *Watcher) readAge() time.Duration {
	hosts := w.deps.Node.RankHosts(readTask, false)
	rank := slices.Index(hosts, w.deps.Host)
	if rank <= firstReaders {
		return minReadAge + time.Duration(rank)*readAgeStep
	}
	step := (readAgeSpread - firstReaders*readAgeStep) / time.Duration(len(hosts)-firstReaders)
	return minReadAge + firstReaders*readAgeStep + time.Duration(rank-firstReaders)*step
}

// readNewest reads the newest record of each key of a stream and replaces what is known by them. Other hosts copy the first records
// of an era from this one.
func (w *Watcher) readNewest(ctx context.Context, s stream) error {
	asOf, before := w.now(), s.position()
	records, end, err := w.deps.Source.Newest(ctx, s.id)
	w.recordStoreCall(ctx, "newest "+s.name, err)
	w.recordAnswer(end, err)
	if err != nil {
		return err
	}
	if err := w.locked(func() error { return s.replace(asOf, end, records) }); err != nil {
		return err
	}
	if end.RestoredSince(before) {
		w.deps.Node.SendHeartbeat()
	}
	return nil
}

// locked calls f with w.mu held.
func (w *Watcher) locked(f func() error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return f()
}

// readChanges reads and applies the records of a stream from the known position on.
func (w *Watcher) readChanges(ctx context.Context, s stream) error {
	from, asOf := s.position(), w.now()
	records, next, err := w.deps.Source.Read(ctx, s.id, from)
	var gap *fleet.GapError
	var era *fleet.EraError
	if errors.As(err, &gap) || errors.As(err, &era) && era.Restored() {
		w.recordStoreCall(ctx, s.name, nil) // the store answered, so the call did not fail
	} else {
		w.recordStoreCall(ctx, s.name, err)
	}
	w.recordAnswer(next, err)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s.apply(asOf, from, next, records)
	return nil
}

// announce writes the address of this host to the store, so that other hosts find it, and reads those of the others. It
// retries until both succeed and this host is among those that it has read. It returns the position of the addresses.
func (w *Watcher) announce(ctx context.Context) fleet.Position {
	for failures := 0; ctx.Err() == nil; failures++ {
		err := w.deps.Source.Write(ctx, fleet.Hosts, fleet.Record{Key: w.deps.Host, Value: []byte(w.deps.IP.String())})
		w.recordStoreCall(ctx, "announce host", err)
		var records []fleet.Record
		var end fleet.Position
		if err == nil {
			records, end, err = w.deps.Source.Newest(ctx, fleet.Hosts)
			w.recordStoreCall(ctx, "hosts", err)
		}
		if err == nil && slices.ContainsFunc(records, func(r fleet.Record) bool { return r.Key == w.deps.Host }) {
			w.addHosts(records)
			return end
		}
		pause.For(ctx, w.retryDelay(failures+1))
	}
	return fleet.Position{}
}

// addHosts adds the addresses in records of the stream Hosts to the node and sends a heartbeat to all hosts.
func (w *Watcher) addHosts(records []fleet.Record) {
	for _, r := range records {
		ip, err := netip.ParseAddr(string(r.Value))
		if err != nil {
			w.deps.Log.Warn("host entry not used", "host", r.Key, "error", err)
			continue
		}
		w.deps.Node.AddAddress(ip)
	}
	w.deps.Node.SendHeartbeat()
	w.deps.Node.AddressesKnown()
}
