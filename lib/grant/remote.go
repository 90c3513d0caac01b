package grant

import (
	"time"

	"sardinecross.example/lib/fleet"
)

// RecordRemoteReport records what an upstream answered to a probe of another host, which describes it as of the time at. A later
// load report stays. That host tells all others itself that the upstream is cold.
func (s *State) RecordRemoteReport(at time.Duration, id string, r fleet.Report, unhealthy bool) {
	u := s.byID[id]
	if u == nil {
		return
	}
	if at > u.reportedAt {
		s.RecordReport(at, id, r, true, unhealthy)
		u.coldReported = false
		return
	}
	u.probePendingSince, u.unhealthy = -1, unhealthy
	if r.ColdFor > 0 {
		s.RecordCold(at, id, r.ColdFor)
	}
}
