package watch

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"sardinecross.example/lib/common/pause"
	"sardinecross.example/lib/fleet"
)

const (
	// readEvery is the age at which the first host reads a stream; each further host waits readStep more, so that one
	// reads for all while it is alive and reaches the others. The last one waits at most readSpread.
	readEvery  = 750 * time.Millisecond
	readStep   = 45 * time.Millisecond
	readSpread = 800 * time.Millisecond
	// ageTick is the time between checks of the age.
	ageTick = 40 * time.Millisecond
	// joinTick is the time between attempts to copy what other hosts know at the start.
	joinTick = 100 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 60 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// stream is how one stream of the store is followed.
type stream struct {
	name string
	of   fleet.Stream
	// position and age of what is known; the mutex is not held.
	position func() int64
	age      func() time.Duration
	// replace takes over the newest records of all keys, apply those of a span, both read at asOf. The mutex is held.
	replace func(asOf time.Duration, to int64, records []fleet.Record)
	apply   func(asOf time.Duration, from, to int64, records []fleet.Record)
	// has reports whether the view holds what the stream tells.
	has func() bool
	// tick is called at each check.
	tick func()
}

// follow reads a stream whenever no other host has told a newer part of it in time.
func (w *Watcher) follow(ctx context.Context, s stream) {
	// read is set while the position comes from a reading of the store. One copied from another host is as good, unless
	// the records from lost on were deleted.
	read, lost, failures := false, int64(-1), 0
	for ctx.Err() == nil {
		s.tick()
		known := read || s.has() && s.position() > lost
		if known && s.age() < w.patience() {
			pause.For(ctx, ageTick)
			continue
		}
		var err error
		if known {
			err = w.read(ctx, s)
		} else {
			err = w.newest(ctx, s)
		}
		var gap *fleet.GapError
		switch {
		case err == nil:
			read, lost, failures = true, -1, 0
		case errors.As(err, &gap):
			w.deps.Log.Info("records were deleted", "stream", s.name, "from", gap.From)
			read, lost = false, gap.From
		default:
			w.copy(ctx)
			pause.For(ctx, min(retryFirst<<min(failures, 4), retryMost))
			failures++
		}
	}
}

// join copies what other hosts know until the view is complete: the store may be away when this host starts.
func (w *Watcher) join(ctx context.Context) {
	for !w.complete() && pause.For(ctx, joinTick) {
		w.copy(ctx)
	}
}

func (w *Watcher) complete() bool {
	v := w.View()
	return v.Routes != nil && v.Listed
}

// patience is the age at which this host reads: it grows with the host's place in the order of names.
func (w *Watcher) patience() time.Duration {
	alive := w.deps.Node.Alive()
	rank := 0
	for _, m := range alive {
		if m.Host < w.deps.Host {
			rank++
		}
	}
	step := min(readStep, readSpread/time.Duration(len(alive)+1))
	return readEvery + time.Duration(rank)*step
}

func (w *Watcher) newest(ctx context.Context, s stream) error {
	asOf := w.now()
	records, end, err := w.deps.Source.Newest(ctx, s.of)
	w.called(ctx, "newest "+s.name, err)
	if err != nil {
		return err
	}
	if have := s.position(); end < have {
		return &StaleError{Have: have, Got: end}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s.replace(asOf, end, records)
	return nil
}

func (w *Watcher) read(ctx context.Context, s stream) error {
	from, asOf := s.position(), w.now()
	records, next, err := w.deps.Source.Read(ctx, s.of, from)
	var gap *fleet.GapError
	if errors.As(err, &gap) {
		w.called(ctx, s.name, nil)
		return err
	}
	w.called(ctx, s.name, err)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s.apply(asOf, from, next, records)
	return nil
}

// announce makes this host and the others known to each other.
func (w *Watcher) announce(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		err := w.deps.Source.Write(ctx, fleet.Hosts, fleet.Record{Key: w.deps.Host, Value: []byte(w.deps.IP.String())})
		w.called(ctx, "announce host", err)
		var records []fleet.Record
		if err == nil {
			records, _, err = w.deps.Source.Newest(ctx, fleet.Hosts)
			w.called(ctx, "hosts", err)
		}
		if err == nil {
			w.introduce(records)
			return
		}
		pause.For(ctx, min(retryFirst<<min(failures, 4), retryMost))
	}
}

func (w *Watcher) introduce(records []fleet.Record) {
	for _, r := range records {
		ip, err := netip.ParseAddr(string(r.Value))
		if err != nil {
			w.deps.Log.Warn("host entry not used", "host", r.Key, "error", err)
			continue
		}
		w.deps.Node.Introduce(ip)
	}
	w.deps.Node.Beat()
}
