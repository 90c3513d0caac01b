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

// session holds a client of the log and the configuration read from the log.
type session struct {
	tool  *tool
	cfg   config.Operator
	log   logClient
	store *conf.Store
}

// openSession loads the settings, connects to the log and reads the configuration up to the end of the log. The caller
// must close the session.
func (t *tool) openSession(ctx context.Context) (*session, error) {
	cfg, err := t.loadSettings()
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

// catchUp applies the records of the log, up to its end, to the store.
func (s *session) catchUp(ctx context.Context) error {
	for {
		from := s.store.Next()
		b, err := s.readLog(ctx, from)
		if err != nil {
			return err
		}
		batch := conf.Batch{First: b.First, Next: b.Next}
		for _, r := range b.Records {
			batch.Records = append(batch.Records, conf.Record(r))
		}
		s.store.Apply(batch)
		if s.store.NeedsPeerCheckpoint() {
			return &noCheckpointError{}
		}
		if s.store.Version()+1 >= b.Next || s.store.Next() == from {
			return nil
		}
	}
}

func (s *session) readLog(ctx context.Context, from int64) (applog.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, s.tool.logTimeout)
	defer cancel()
	return s.log.Read(ctx, string(core.StreamConfig), from, applog.MaxBatchRecords)
}

func (s *session) appendToLog(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.tool.logTimeout)
	defer cancel()
	_, err := s.log.Append(ctx, string(core.StreamConfig), data)
	return err
}

// waitPollInterval waits for one poll interval. It returns the error of ctx if ctx ends first.
func (t *tool) waitPollInterval(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(t.pollInterval):
		return nil
	}
}

// changeResult is the JSON output of a command that changes an item of the configuration.
type changeResult struct {
	Item    string `json:"item"`
	Result  string `json:"result"`
	Version int64  `json:"version"`
	inForceReport
}

// changeItem proposes a value for an item, waits for the decision and prints on which hosts the decided version is in
// force. It proposes nothing if the item already has this value.
func (s *session) changeItem(ctx context.Context, item conf.Item, value conf.Value) error {
	current, base := s.store.View().Item(item)
	out := changeResult{Item: item.String(), Result: "unchanged", Version: base}
	if base == conf.NoVersion || current != value {
		d, err := s.propose(ctx, conf.Proposal{ID: newProposalID(), Item: item, Base: base, Value: value})
		if err != nil {
			return err
		}
		out.Result, out.Version = d.Result.String(), d.Version
	}
	out.inForceReport = s.tool.waitInForce(ctx, s.cfg.Admin, out.Version)
	return s.tool.print(out, func() string {
		return fmt.Sprintf("%s %s as version %d\n%s", out.Item, out.Result, out.Version, out.text())
	})
}

func newProposalID() conf.ProposalID {
	var id [16]byte
	// Read of crypto/rand never returns an error.
	_, _ = rand.Read(id[:])
	return conf.ProposalID(hex.EncodeToString(id[:]))
}

// propose appends a proposal to the log and returns its decision, as read from the log. An append without a certain
// result is not an error, because reading the log shows whether the append took effect.
func (s *session) propose(ctx context.Context, p conf.Proposal) (conf.Decision, error) {
	data, err := conf.NewProposal(p)
	if err != nil {
		return conf.Decision{}, &usageError{Problem: err.Error()}
	}
	if err := s.appendToLog(ctx, data); err != nil {
		var notApplied *applog.NotAppliedError
		if errors.As(err, &notApplied) {
			return conf.Decision{}, err
		}
	}
	d, err := s.readBack(ctx, p, data)
	switch {
	case err != nil:
		return d, &unknownOutcomeError{Item: p.Item, Err: err}
	case d.Result == conf.Conflict:
		return d, &conflictError{Item: p.Item, Current: d.Current}
	case d.Result != conf.Accepted:
		return d, &configurationFullError{Item: p.Item}
	default:
		return d, nil
	}
}

// readBack reads the log until it shows the decision on the proposal. It retries after errors of the log until ctx ends.
func (s *session) readBack(ctx context.Context, p conf.Proposal, data []byte) (conf.Decision, error) {
	reappendAt := time.Now().Add(s.tool.reappendAfter)
	for {
		err := s.catchUp(ctx)
		if d, ok := s.store.Decision(p.ID); ok {
			return d, nil
		}
		if waitErr := s.tool.waitPollInterval(ctx); waitErr != nil {
			return conf.Decision{}, &noDecisionError{Err: errors.Join(waitErr, err)}
		}
		if err == nil && time.Now().After(reappendAt) {
			// The error of this append is ignored: only reading the log shows whether the proposal was decided.
			_ = s.appendToLog(ctx, data)
			reappendAt = time.Now().Add(s.tool.reappendAfter)
		}
	}
}
