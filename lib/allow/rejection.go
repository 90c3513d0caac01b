package allow

import "time"

// MaxRejectionTime bounds how long a host rejects requests of an organisation without asking again.
const MaxRejectionTime = 250 * time.Millisecond

// Rejection is the last rejection of an organisation by another host. The zero value means none. It is immutable.
type Rejection struct {
	// until is when the host asks again, next the time to retry that was given last.
	until, next time.Duration
}

// NewRejection returns the rejection that was received at the given time.
func NewRejection(now, retryAfter time.Duration) Rejection {
	return Rejection{until: now + min(retryAfter, MaxRejectionTime), next: now + retryAfter}
}

// Reject returns the time after which a further request may be repeated, and the rejection with that time. ok is false if the host
// has to ask again. Each of the hosts gets one unit of every so many that become free, so the times are that far apart.
func (r Rejection) Reject(now time.Duration, limit Limit, hosts int) (after Rejection, retryAfter time.Duration, ok bool) {
	if now >= r.until {
		return r, 0, false
	}
	r.next = max(r.next, now) + time.Duration(min(float64(max(hosts, 1))/limit.Rate, MaxRetryAfter.Seconds())*float64(time.Second))
	if r.next-now > MaxRetryAfter {
		r.next = r.until
	}
	return r, r.next - now, true
}
