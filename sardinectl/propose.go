package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"sardinecross.example/lib/applog"
	"sardinecross.example/lib/conf"
	"sardinecross.example/lib/config"
	"sardinecross.example/lib/core"
)

// session is a connection to the log with the configuration read from it.
type session struct {
	tool  *tool
	cfg   config.Operator
	log   logClient
	store *conf.Store
}

// open reads the configuration up to the tail of the log.
func (t *tool) open(ctx context.Context) (*session, error) {
	cfg, err := t.operator()
	if err != nil {
		return nil, err
	}
	s := &session{tool: t, cfg: cfg, log: t.openLog(cfg.Platform.Log.String()), store: conf.NewStore()}
	if err := s.catchUp(ctx); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *session) close() { s.log.Close() }

// catchUp reads to the tail of the log.
func (s *session) catchUp(ctx context.Context) error {
	for {
		from := s.store.Next()
		b, err := s.read(ctx, from)
		if err != nil {
			return err
		}
		batch := conf.Batch{First: b.First, Next: b.Next}
		for _, r := range b.Records {
			batch.Records = append(batch.Records, conf.Record(r))
		}
		s.store.Apply(batch)
		if s.store.NeedsPeerCheckpoint() {
			return &lostError{}
		}
		if s.store.Version()+1 >= b.Next || s.store.Next() == from {
			return nil
		}
	}
}

func (s *session) read(ctx context.Context, from int64) (applog.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, s.tool.callTimeout)
	defer cancel()
	return s.log.Read(ctx, string(core.StreamConfig), from, applog.MaxBatch)
}

func (s *session) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.tool.callTimeout)
	defer cancel()
	_, err := s.log.Append(ctx, string(core.StreamConfig), data)
	return err
}

// wait pauses between two attempts.
func (t *tool) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(t.poll):
		return nil
	}
}

// outcome is the result of a command that changes an item.
type outcome struct {
	Item    string `json:"item"`
	Result  string `json:"result"`
	Version int64  `json:"version"`
	inForce
}

// change proposes a value, waits for the decision and reports where it is in force.
func (s *session) change(ctx context.Context, item conf.Item, value conf.Value) error {
	current, base := s.store.View().Item(item)
	out := outcome{Item: item.String(), Result: "unchanged", Version: base}
	if base == conf.NoVersion || current != value {
		d, err := s.propose(ctx, conf.Proposal{ID: newID(), Item: item, Base: base, Value: value})
		if err != nil {
			return err
		}
		out.Result, out.Version = d.Result.String(), d.Version
	}
	out.inForce = s.tool.waitInForce(ctx, s.cfg.Admin, out.Version)
	return s.tool.print(out, func() string {
		return fmt.Sprintf("%s %s as version %d\n%s", out.Item, out.Result, out.Version, out.text())
	})
}

func newID() conf.ProposalID {
	var id [16]byte
	// Read never fails.
	_, _ = rand.Read(id[:])
	return conf.ProposalID(hex.EncodeToString(id[:]))
}

// propose appends a proposal and returns its decision once it was read back.
func (s *session) propose(ctx context.Context, p conf.Proposal) (conf.Decision, error) {
	data, err := conf.NewProposal(p)
	if err != nil {
		return conf.Decision{}, &usageError{Problem: err.Error()}
	}
	if err := s.append(ctx, data); err != nil {
		var notApplied *applog.NotAppliedError
		if errors.As(err, &notApplied) {
			return conf.Decision{}, err
		}
	}
	d, err := s.readBack(ctx, p, data)
	switch {
	case err != nil:
		return d, &unknownError{Item: p.Item, Err: err}
	case d.Result == conf.Conflict:
		return d, &conflictError{Item: p.Item, Current: d.Current}
	case d.Result != conf.Accepted:
		return d, &fullError{Item: p.Item}
	default:
		return d, nil
	}
}

// readBack reads until the proposal is decided. Failures of the log are waited out until the time is up.
func (s *session) readBack(ctx context.Context, p conf.Proposal, data []byte) (conf.Decision, error) {
	repeat := time.Now().Add(s.tool.repeatAfter)
	for {
		err := s.catchUp(ctx)
		if d, ok := s.store.Decision(p.ID); ok {
			return d, nil
		}
		if waitErr := s.tool.wait(ctx); waitErr != nil {
			return conf.Decision{}, &unreadError{Err: errors.Join(waitErr, err)}
		}
		if err == nil && time.Now().After(repeat) {
			// Whatever becomes of the repetition, reading decides.
			_ = s.append(ctx, data)
			repeat = time.Now().Add(s.tool.repeatAfter)
		}
	}
}
