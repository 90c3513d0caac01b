package watch

import (
	"slices"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/sardinegate/mesh"
)

// logOutage logs an outage of the store that ended with the present series of reads. before is the series known before. w.mu
// must be held.
func (w *Watcher) logOutage(before fleet.Reads) {
	if now := w.list.Reads; now.AfterOutage() && now.First > before.Last {
		w.deps.Log.Info("store was unavailable to all known hosts", "forMs", (now.First - before.Last).Milliseconds())
	}
}

// correctReads takes over what another host knows of reads of the store. A host that was cut off from the store and from the
// others takes the time of its cut for an outage until then. If the other host knows less, this host tells it. w.mu must be
// held.
func (w *Watcher) correctReads(host string, reads fleet.Reads) {
	known := w.list.Reads
	both := known.With(reads)
	switch {
	case both.First < known.First:
		both.Last = known.Last // the position is not known to be confirmed by later reads
		w.list.Reads = both
		if known.AfterOutage() && !both.AfterOutage() {
			w.deps.Log.Info("store was available to other hosts", "host", host, "forMs", (both.Last - both.First).Milliseconds())
			w.expireLapsed()
		}
	case known.First+fleet.OutageGap < reads.First && both.First == known.First && w.tellsReads(host):
		w.deps.Node.Send(host, &mesh.Message{ListChanges: w.listSpan(known.Last, w.list.Position, w.list.Position, nil)})
	}
}

// tellsReads reports whether this host is the one that tells another host of reads that it does not know of: the preferred reader
// of the store beside that host.
func (w *Watcher) tellsReads(host string) bool {
	hosts := slices.DeleteFunc(w.deps.Node.RankHosts(readTask, false), func(h string) bool { return h == host })
	return len(hosts) > 0 && hosts[0] == w.deps.Host
}
