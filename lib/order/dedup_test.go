package order

import (
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"sardinecross.example/lib/common/ident"
)

var storedAnswer = &Answer{Status: 200, Body: []byte("done")}

// A retry with the same token must neither run the order again nor get an answer other than the stored one.
func TestTokenRetry(t *testing.T) {
	b := NewDeduplicator(1, Limits{})
	token := issue(t, b, 0, 7)
	assertVerdict(t, b.Begin(0, tokenRequest(1, token)), Verdict{Request: 1, Action: Start})
	assertVerdict(t, b.Begin(0, tokenRequest(2, token)), Verdict{Request: 2, Action: Wait})
	assertVerdicts(t, b.Finish(second, 1, RunYes, storedAnswer), Verdict{Request: 2, Action: Replay, Answer: storedAnswer})
	assertVerdict(t, b.Begin(second, tokenRequest(3, token)), Verdict{Request: 3, Action: Replay, Answer: storedAnswer})
}

// A retry with the same token may run only if no upstream ran the first request; otherwise it is refused with the known
// outcome.
func TestTokenRetryAfterFailedRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		run    Run
		answer *Answer
		want   Verdict
	}{
		{"not run", RunNo, nil, Verdict{Request: 2, Action: Start}},
		{"unknown", RunUnknown, nil, refuse(2, ReasonUpstreamFailed, RunUnknown)},
		{"answer not captured", RunYes, nil, refuse(2, ReasonAnswerTooLarge, RunYes)},
		{"answer too large", RunYes, &Answer{Body: make([]byte, 100)}, refuse(2, ReasonAnswerTooLarge, RunYes)},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewDeduplicator(1, Limits{MaxAnswerBytes: 50})
			token := issue(t, b, 0, 7)
			b.Begin(0, tokenRequest(1, token))
			b.Finish(0, 1, c.run, c.answer)
			assertVerdict(t, b.Begin(0, tokenRequest(2, token)), c.want)
		})
	}
}

// A request must not start on this host if its token is unknown, expired, of another class or of another incarnation,
// or if its deadline has passed.
func TestTokenRefusals(t *testing.T) {
	b := NewDeduplicator(1, Limits{TokenLifetime: second})
	token := issue(t, b, 0, 7)
	late := issue(t, b, second/2, 8)
	foreign := issue(t, NewDeduplicator(2, Limits{}), 0, 7)
	otherClass := tokenRequest(9, token)
	otherClass.Class = "deposits"
	relayed := tokenRequest(9, foreign)
	relayed.Relayed = true
	for _, c := range []struct {
		name string
		now  time.Duration
		r    Request
		want Verdict
	}{
		{"malformed", 0, tokenRequest(9, "x"), refuse(9, ReasonUnknownToken, RunNo)},
		{"never issued", 0, tokenRequest(9, formatToken(1, 9, second)), refuse(9, ReasonUnknownToken, RunNo)},
		{"another class", 0, otherClass, refuse(9, ReasonUnknownToken, RunNo)},
		{"another incarnation", 0, tokenRequest(9, foreign), Verdict{Request: 9, Action: Relay, To: 2}},
		{"relayed to the wrong incarnation", 0, relayed, RefuseHostGone(9)},
		{"deadline passed", second, Request{ID: 9, Token: late, Class: "orders"}, refuse(9, ReasonDeadline, RunNo)},
		{"unused and expired", second, tokenRequest(9, token), refuse(9, ReasonExpiredToken, RunNo)},
		{"expired and removed", second, tokenRequest(9, formatToken(1, 9, second)), refuse(9, ReasonExpiredToken, RunUnknown)},
	} {
		t.Run(c.name, func(t *testing.T) { assertVerdict(t, b.Begin(c.now, c.r), c.want) })
	}
}

// The tables of tokens, answers and keys must not grow beyond their limits, however many callers and answers there are:
// they are held in memory.
func TestTablesAreBounded(t *testing.T) {
	t.Run("IDs", func(t *testing.T) {
		b := NewDeduplicator(1, Limits{Tokens: 2, TokenLifetime: second})
		issue(t, b, 0, 1)
		issue(t, b, 0, 1)
		var full *TokenLimitError
		if _, err := b.Issue(second/2, 3, "orders"); !errors.As(err, &full) {
			t.Fatalf("got error %v, want *TokenLimitError", err)
		}
		issue(t, b, second, 4)
	})
	t.Run("answers", func(t *testing.T) {
		b := NewDeduplicator(1, Limits{MaxStoredBytes: 6, TokenLifetime: second})
		for id := range ident.RequestID(2) {
			token := issue(t, b, 0, uint64(id))
			b.Begin(0, tokenRequest(id, token))
			b.Finish(0, id, RunYes, storedAnswer)
		}
		if n := b.Stats().StoredBytes; n != 4 {
			t.Fatalf("got %d stored bytes, want 4", n)
		}
		b.Expire(second)
		if s := b.Stats(); s.StoredBytes != 0 || s.Tokens != 0 {
			t.Fatalf("tokens or answers left after their expiry: %+v", s)
		}
	})
	t.Run("keys", func(t *testing.T) {
		h, other := newHost(1, Limits{Keys: 1}), newHost(2, Limits{})
		for i, key := range []string{"a", "b", "c"} {
			other.Begin(0, keyRequest(ident.RequestID(i), key))
		}
		other.appendToLogs(t, 0, h)
		h.applyLog(0)
		assertVerdict(t, h.Begin(0, keyRequest(9, "a")), Verdict{Request: 9, Action: Relay, To: 2})
		assertVerdict(t, h.Begin(0, keyRequest(9, "c")), refuse(9, ReasonTableFull, RunNo))
	})
}

// A host whose table of keys is full cannot keep the claims that it reads. Until such a claim has expired, the host
// must not claim a key without an entry, which another host may already have run.
func TestUnrecordedClaimsBlockNewKeys(t *testing.T) {
	h := newHost(1, Limits{Keys: 1, KeyLifetime: time.Minute})
	first := encodeRecord(claimRecord{Incarnation: 2, Claims: []wireClaim{{Key: "a", Number: 1}, {Key: "b", Number: 2}}})
	last := encodeRecord(claimRecord{Incarnation: 2, Claims: []wireClaim{{Key: "c", Number: 3}}})
	h.Apply(0, Batch{Records: []Record{{Offset: 0, Data: first}}, Next: 1})
	h.Apply(30*second, Batch{Records: []Record{{Offset: 1, Data: last}}, Next: 2})
	h.Expire(70 * second)
	r := keyRequest(9, "c")
	r.Deadline = time.Hour
	assertVerdict(t, h.Begin(70*second, r), refuse(9, ReasonTableFull, RunNo))
	assertVerdict(t, h.Begin(100*second, r), Verdict{Request: 9, Action: Wait})
}

// Two hosts that claim the same key at the same time must not both run the order, and a retry at either host must not
// run it again.
func TestFirstClaimWins(t *testing.T) {
	a, b := newHost(1, Limits{}), newHost(2, Limits{})
	assertVerdict(t, a.Begin(0, keyRequest(1, "k")), Verdict{Request: 1, Action: Wait})
	assertVerdict(t, b.Begin(0, keyRequest(2, "k")), Verdict{Request: 2, Action: Wait})
	a.appendToLogs(t, 0, b)
	b.appendToLogs(t, 0, a)
	assertVerdicts(t, b.applyLog(0), Verdict{Request: 2, Action: Relay, To: 1})
	assertVerdicts(t, a.applyLog(0), Verdict{Request: 1, Action: Start})
	assertVerdict(t, b.Begin(0, keyRequest(3, "k")), Verdict{Request: 3, Action: Relay, To: 1})
	relayed := keyRequest(4, "k")
	relayed.Relayed = true
	assertVerdict(t, a.Begin(0, relayed), Verdict{Request: 4, Action: Wait})
	assertVerdict(t, b.Begin(0, relayed), refuse(4, ReasonClaimFailed, RunUnknown))
	assertVerdicts(t, a.Finish(0, 1, RunYes, storedAnswer), Verdict{Request: 4, Action: Replay, Answer: storedAnswer})
}

// A claim that is abandoned before it is read back can still win the key. It must not run the order, and it must be
// released so that it does not block the key for KeyLifetime.
func TestAbandonedClaimIsReleased(t *testing.T) {
	a, b := newHost(1, Limits{}), newHost(2, Limits{})
	a.Begin(0, keyRequest(1, "k"))
	a.appendToLogs(t, 0, b)
	assertVerdicts(t, a.Expire(second), refuse(1, ReasonClaimFailed, RunNo))
	assertVerdicts(t, a.applyLog(second))
	assertVerdicts(t, b.applyLog(second))
	assertVerdict(t, b.Begin(second, keyRequest(2, "k")), Verdict{Request: 2, Action: Relay, To: 1})
	a.appendToLogs(t, second, b)
	b.applyLog(second)
	b.claim(t, second, keyRequest(3, "k"), a)
	a.applyLog(second)
	assertVerdict(t, a.Begin(second, keyRequest(4, "k")), Verdict{Request: 4, Action: Relay, To: 2})
}

// An abandoned claim can win the key just before a new request of the same host claims it. The new request must be
// claimed again after the release instead of being refused.
func TestClaimAfterOwnAbandonedClaim(t *testing.T) {
	a := newHost(1, Limits{})
	a.Begin(0, keyRequest(1, "k"))
	a.appendToLogs(t, 0)
	a.Expire(second)
	a.Begin(second, keyRequest(2, "k"))
	a.appendToLogs(t, second)
	assertVerdicts(t, a.applyLog(second))
	a.appendToLogs(t, second+second/10)
	assertVerdicts(t, a.applyLog(second+second/10), Verdict{Request: 2, Action: Start})
}

// A host that is suspended can resume after the deadline of a request. It must neither start the request when it reads
// its claim back nor send an attempt.
func TestNoStartAfterDeadline(t *testing.T) {
	a := newHost(1, Limits{})
	a.Begin(0, keyRequest(1, "k"))
	a.appendToLogs(t, 0)
	assertVerdicts(t, a.applyLog(3*second), refuse(1, ReasonClaimFailed, RunNo))
	token := issue(t, a.Deduplicator, 3*second, 7)
	r := tokenRequest(2, token)
	r.Deadline = 5 * second
	assertVerdict(t, a.Begin(4*second, r), Verdict{Request: 2, Action: Start})
	if !a.MayStart(5*second-1, 2) || a.MayStart(5*second, 2) || a.MayStart(4*second, 1) {
		t.Fatal("MayStart is false before the deadline, or true after it or for a refused request")
	}
}

// The first request of a retry may have run on another host, so an abandoned claim of a retry must not be answered with
// RunNo.
func TestRetryIsNotRefusedAsNotRun(t *testing.T) {
	a := newHost(1, Limits{})
	r := keyRequest(1, "k")
	r.Retry = true
	a.Begin(0, r)
	assertVerdicts(t, a.Expire(second), refuse(1, ReasonClaimFailed, RunUnknown))
}

// If the log's retention removes records that were not read, an earlier claim may be among them. A claim read after the
// gap must not count as the first one.
func TestTrimmedRecordsAbandonClaims(t *testing.T) {
	a := newHost(1, Limits{})
	a.claim(t, 0, keyRequest(1, "j"))
	a.Begin(0, keyRequest(2, "k"))
	a.appendToLogs(t, second/10)
	assertVerdicts(t, a.Apply(second/10, Batch{Records: []Record{{Offset: 5, Data: a.log[1].Data}}, First: 5, Next: 6}),
		refuse(2, ReasonClaimFailed, RunNo))
	assertVerdict(t, a.Begin(second/10, keyRequest(3, "l")), refuse(3, ReasonTableFull, RunNo))
}

// Guards against more appends or larger ones than the log can take: they must keep to AppendsPerSecond and
// MaxClaimsPerRecord. Claims that were not applied must be appended again.
func TestAppendBudget(t *testing.T) {
	b := NewDeduplicator(1, Limits{})
	for i := range MaxClaimsPerRecord + 1 {
		b.Begin(0, keyRequest(ident.RequestID(i), strings.Repeat("k", MaxKeyBytes-4)+fmt.Sprintf("%04d", i)))
	}
	a, ok := b.PrepareAppend(0, 13)
	if w, err := decodeRecord(a.Data); !ok || err != nil || len(w.Claims) != MaxClaimsPerRecord {
		t.Fatalf("first append: got error %v and %d claims", err, len(w.Claims))
	}
	at, _ := b.Wake(0)
	if at != 52*time.Millisecond {
		t.Fatalf("got next append at %v, want 52ms", at)
	}
	if _, ok := b.PrepareAppend(at-1, 13); ok {
		t.Fatal("append before AppendsPerSecond allows it")
	}
	b.FinishAppend(at, a.ID, AppendNotApplied)
	if _, ok := b.PrepareAppend(at, 13); !ok {
		t.Fatal("claims that were not applied are not appended again")
	}
	if _, ok := b.PrepareAppend(2*at, 13); !ok {
		t.Fatal("claims that did not fit into the first append are not appended")
	}
}

// An expired key and its answer must be removed, but not while a request of the key runs or waits.
func TestKeysExpire(t *testing.T) {
	a := newHost(1, Limits{KeyLifetime: time.Minute})
	r := keyRequest(1, "k")
	r.Deadline = time.Hour
	a.claim(t, 0, r)
	a.Expire(2 * time.Minute)
	assertVerdict(t, a.Begin(2*time.Minute, Request{ID: 2, Key: "k", Deadline: 3 * time.Minute}), Verdict{Request: 2, Action: Wait})
	a.Finish(2*time.Minute, 1, RunYes, storedAnswer)
	a.Expire(4 * time.Minute)
	if s := a.Stats(); s.Keys != 0 || s.StoredBytes != 0 || len(a.active) != 0 {
		t.Fatalf("keys, answers or requests left after their expiry: %+v", s)
	}
	if at, ok := a.Wake(4 * time.Minute); ok {
		t.Fatalf("got wake-up at %v, want none", at)
	}
}

// FuzzDecode checks that no record causes a panic or an error of another type than *RecordError, and that a decoded
// record can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add(encodeRecord(claimRecord{Incarnation: 1, Claims: []wireClaim{{Key: "k", Number: 1}}}))
	f.Add(encodeRecord(claimRecord{Incarnation: 1, Releases: []wireClaim{{Key: "k", Number: 1}}, Claims: []wireClaim{{Key: "k", Number: 2}}}))
	f.Add([]byte{0xa1, 0x66, 0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		w, err := decodeRecord(data)
		var bad *RecordError
		if err != nil && !errors.As(err, &bad) {
			t.Fatalf("got error %v, want *RecordError", err)
		}
		if err == nil {
			if _, err := decodeRecord(encodeRecord(w)); err != nil {
				t.Fatal(err)
			}
		}
		NewDeduplicator(1, Limits{}).Apply(0, Batch{Records: []Record{{Data: data}}, Next: 1})
	})
}

// FuzzToken checks that parseToken accepts only texts in the form that formatToken returns.
func FuzzToken(f *testing.F) {
	f.Add(formatToken(1, 2, second))
	f.Add("1.2.-3")
	f.Add("01.2.3")
	f.Fuzz(func(t *testing.T, text string) {
		if n, rnd, expires, ok := parseToken(text); ok && formatToken(n, rnd, expires) != text {
			t.Fatalf("parseToken accepts %q, which formatToken does not return", text)
		}
	})
}

// BenchmarkBeginFinish measures one request from Begin to Finish: with neither token nor key, with a token, with a key.
func BenchmarkBeginFinish(b *testing.B) {
	b.Run("none", func(b *testing.B) {
		dedup := NewDeduplicator(1, Limits{})
		for id := ident.RequestID(0); b.Loop(); id++ {
			dedup.Begin(0, Request{ID: id, Deadline: second})
			dedup.Finish(0, id, RunYes, storedAnswer)
		}
	})
	b.Run("token", func(b *testing.B) {
		dedup := NewDeduplicator(1, Limits{TokenLifetime: second})
		for id := ident.RequestID(0); b.Loop(); id++ {
			now := time.Duration(id) * 100 * time.Microsecond
			r := tokenRequest(id, issue(b, dedup, now, uint64(id)))
			r.Deadline = now + second
			dedup.Begin(now, r)
			dedup.Finish(now, id, RunYes, storedAnswer)
			dedup.Expire(now)
		}
	})
	b.Run("key", benchmarkKeys)
}

// benchmarkKeys measures one order with a key, with 16 claims in each append.
func benchmarkKeys(b *testing.B) {
	dedup := NewDeduplicator(1, Limits{KeyLifetime: second, AppendsPerSecond: 1e9})
	offset := int64(0)
	for id := ident.RequestID(1); b.Loop(); id++ {
		now := time.Duration(id) * 100 * time.Microsecond
		dedup.Begin(now, Request{ID: id, Key: fmt.Sprint(id), Deadline: now + second})
		if id%16 != 0 {
			continue
		}
		a, _ := dedup.PrepareAppend(now, 1)
		dedup.FinishAppend(now, a.ID, AppendConfirmed)
		for _, v := range dedup.Apply(now, Batch{Records: []Record{{Offset: offset, Data: a.Data}}, Next: offset + 1}) {
			dedup.Finish(now, v.Request, RunYes, storedAnswer)
		}
		offset++
	}
}

// filledDeduplicator returns a Deduplicator with n used tokens, each with a stored answer of 100 bytes.
func filledDeduplicator(b *testing.B, n int) *Deduplicator {
	dedup := NewDeduplicator(1, Limits{Tokens: n})
	for i := range n {
		id := ident.RequestID(i)
		dedup.Begin(0, tokenRequest(id, issue(b, dedup, 0, uint64(i)*0x9e3779b97f4a7c15)))
		dedup.Finish(0, id, RunYes, &Answer{Status: 200, Body: make([]byte, 100)})
	}
	return dedup
}

// heapBytes returns the heap memory in bytes that the result of f occupies.
func heapBytes(f func() any) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	keep := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(keep)
	return after.HeapAlloc - before.HeapAlloc
}
