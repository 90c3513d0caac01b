package order

import (
	"testing"
	"time"

	"sardinecross.example/lib/common/ident"
)

const second = time.Second

// host is a Deduplicator with its own copy of the log.
type host struct {
	*Deduplicator
	log []Record
}

func newHost(self ident.Incarnation, limits Limits) *host {
	return &host{Deduplicator: NewDeduplicator(self, limits)}
}

// appendToLogs adds the next append to the log of h and to those of the given hosts.
func (h *host) appendToLogs(t *testing.T, now time.Duration, logs ...*host) {
	t.Helper()
	a, ok := h.PrepareAppend(now, 1)
	if !ok {
		t.Fatal("nothing to append")
	}
	for _, l := range append(logs, h) {
		l.log = append(l.log, Record{Offset: int64(len(l.log)), Data: a.Data})
	}
	h.FinishAppend(now, a.ID, AppendConfirmed)
}

// applyLog applies the whole log of h.
func (h *host) applyLog(now time.Duration) []Verdict {
	return h.Apply(now, Batch{Records: h.log, Next: int64(len(h.log))})
}

// claim claims the key of r for h and checks that the request is started.
func (h *host) claim(t *testing.T, now time.Duration, r Request, logs ...*host) {
	t.Helper()
	assertVerdict(t, h.Begin(now, r), Verdict{Request: r.ID, Action: Wait})
	h.appendToLogs(t, now, logs...)
	assertVerdicts(t, h.applyLog(now), Verdict{Request: r.ID, Action: Start})
}

func keyRequest(id ident.RequestID, key string) Request {
	return Request{ID: id, Key: key, Deadline: 2 * second}
}

func tokenRequest(id ident.RequestID, token string) Request {
	return Request{ID: id, Class: "orders", Token: token, Deadline: 2 * second}
}

func assertVerdict(t *testing.T, got, want Verdict) {
	t.Helper()
	if got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func assertVerdicts(t *testing.T, got []Verdict, want ...Verdict) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	for i := range got {
		assertVerdict(t, got[i], want[i])
	}
}

func issue(t testing.TB, b *Deduplicator, now time.Duration, rnd uint64) string {
	t.Helper()
	token, err := b.Issue(now, rnd, "orders")
	if err != nil {
		t.Fatal(err)
	}
	return token.Text
}
