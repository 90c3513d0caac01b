package broker

import "time"

// workLogInterval is the time between two log lines on the work of an owner.
const workLogInterval = time.Second

// ownerWork is the work that this host did as an owner since the last log line on it: how often, and how long it took
// without the time to send and receive.
type ownerWork struct {
	since                            time.Duration
	decisions, probes                int
	deciding, queue, hedges, probing time.Duration
	searches                         int // grant.State.Searches at since
}

// logWork logs the work of this host as an owner once in workLogInterval.
func (b *Broker) logWork() {
	b.mu.Lock()
	now, work := b.now(), b.work
	if now-work.since < workLogInterval {
		b.mu.Unlock()
		return
	}
	b.work = ownerWork{since: now, searches: b.state.Searches()}
	searches := b.work.searches - work.searches
	waiting := b.state.Waiting()
	b.mu.Unlock()
	if work.decisions+work.probes == 0 {
		return
	}
	b.deps.Log.Info("work as an owner", "forMs", (now - work.since).Milliseconds(), "decisions", work.decisions, "probes", work.probes,
		"waiting", waiting, "searches", searches, "decidingMs", work.deciding.Milliseconds(), "queueMs", work.queue.Milliseconds(),
		"hedgesMs", work.hedges.Milliseconds(), "probingMs", work.probing.Milliseconds())
}
