package grant

import (
	"math"
	"slices"
	"time"
)

const (
	// maxClasses bounds the classes of a service whose queues are empty.
	maxClasses = 64
	// classTimeWeight is the weight of a new response in the response time and deviation of a class.
	classTimeWeight = 1.0 / 16
	// deviationPerScale is the mean absolute deviation of a logistic distribution of scale 1, 2 ln 2.
	deviationPerScale = 1.386
	// minDeviationShare is the least deviation assumed, as a share of the response time.
	minDeviationShare = 0.05
	// minEarlyShare is the shortest response time assumed, as a share of the usual one.
	minEarlyShare = 0.25
	// minClassShare is the least share of the capacity that is expected for requests that are not the most urgent.
	minClassShare = 0.05
	// minTimeLeftSamples is the number of requests from which the time left of new ones is learned even if others wait.
	minTimeLeftSamples = 16
	// timeLeftSpread is the number of mean deviations by which the time left may be shorter than usual without a sign of a return.
	timeLeftSpread = 2
	// rateMemory is the time constant of the measured rates of arrivals and ends.
	rateMemory = time.Second
	// ratePrior is the time for which the rate that follows from slots and response times counts besides the measured one.
	ratePrior = 250 * time.Millisecond
	// minCapacityRate is the least assumed number of requests that a service ends a second.
	minCapacityRate = 1.0
	// returnShare is the share of the capacity over which the returns of rejected callers are spread. The rest is left to newcomers.
	returnShare = 0.5
	// maxReturnStep bounds the time between two returns, as a share of the time in which callers return, so that they are spread even
	// if nothing is served.
	maxReturnStep = 0.19
	// minRetryAfter and maxRetryAfter bound the time after which a rejected caller is asked to try again.
	minRetryAfter = 80 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retryShare is the share of their time left for which callers wait at most before they return.
	retryShare = 1.0 / 3
)

// class is the requests of a service with the same priority and latency target, which tell routes apart, with the response
// times learned from them.
//
// Requests that can't make their target have a queue of their own, so that they don't hold up those that can.
type class struct {
	*routeStats
	priority int
	target   time.Duration
	late     bool
	// queue holds the requests that wait for capacity by arrivedAt; skipped is the number of those at its start that found no room
	// in the present look.
	queue   []queuedRequest
	skipped int
	usedAt  time.Duration
}

// routeStats is what is learned from the requests with the same priority and target, late or not.
type routeStats struct {
	// time and deviation are the moving averages of the response time and of its absolute deviation, from the grant to the end.
	time, deviation time.Duration
	// timeLeft and timeLeftDeviation are the same of the time left of requests that are new, as none was rejected lately.
	timeLeft, timeLeftDeviation time.Duration
	timeLeftSamples             int
	arrivals                    counter
}

// class returns the class of the requests with the priority and target of req that can make it, or that can't.
func (svc *service) class(now time.Duration, req *AttemptRequest, late bool) *class {
	var stats *routeStats
	for _, c := range svc.classes {
		if c.priority == req.Priority && c.target == req.Target {
			if c.late == late {
				c.usedAt = now
				return c
			}
			stats = c.routeStats
		}
	}
	if len(svc.classes) >= maxClasses {
		svc.dropOldestClass()
	}
	if stats == nil {
		stats = &routeStats{time: svc.occupancy, deviation: svc.occupancy / 4}
	}
	c := &class{routeStats: stats, priority: req.Priority, target: req.Target, late: late, usedAt: now}
	svc.classes = append(svc.classes, c)
	return c
}

// dropOldestClass drops the class without queued requests that was not used for longest.
func (svc *service) dropOldestClass() {
	oldest := -1
	for i, c := range svc.classes {
		if len(c.queue) == 0 && (oldest < 0 || c.usedAt < svc.classes[oldest].usedAt) {
			oldest = i
		}
	}
	if oldest >= 0 {
		svc.classes = slices.Delete(svc.classes, oldest, oldest+1)
	}
}

// countArrival counts the first attempt of a request. It learns the time left of new requests while none waits and no rejected
// caller is expected back, and from the very first ones.
func (svc *service) countArrival(now time.Duration, req *AttemptRequest) {
	c := svc.class(now, req, false)
	c.arrivals.add(now)
	if c.timeLeftSamples >= minTimeLeftSamples && (svc.waiting() > 0 || now < svc.lastReturn) {
		return
	}
	weight := max(classTimeWeight, 1/float64(c.timeLeftSamples+1))
	c.timeLeftSamples = min(c.timeLeftSamples+1, minTimeLeftSamples)
	c.timeLeft += time.Duration(float64(req.TimeLeft-c.timeLeft) * weight)
	c.timeLeftDeviation += time.Duration(float64((req.TimeLeft-c.timeLeft).Abs()-c.timeLeftDeviation) * weight)
}

// age estimates how long ago the caller first sent a request: one that returns after a rejection has less time left than new ones.
// If the time left of new requests differs much, only the time at this host counts.
func (r *routeStats) age(req *AttemptRequest) time.Duration {
	return max(r.timeLeft-timeLeftSpread*r.timeLeftDeviation-req.TimeLeft, req.Elapsed, 0)
}

// recordTime records the response time of an attempt, from its grant to its end.
func (svc *service) recordTime(now time.Duration, a *attempt) {
	took := now - a.startedAt
	svc.occupancy += time.Duration(float64(took-svc.occupancy) * averageTimeWeight)
	c := svc.class(now, &a.request, false)
	c.deviation += time.Duration(float64((took-c.time).Abs()-c.deviation) * classTimeWeight)
	c.time += time.Duration(float64(took-c.time) * classTimeWeight)
}

// earlyTime returns a response time that requests of the class seldom end within.
func (r *routeStats) earlyTime() time.Duration {
	return max(r.time-r.deviation, time.Duration(minEarlyShare*float64(r.time)))
}

// endsWithin returns the probability that a request of the class ends within a time.
func (r *routeStats) endsWithin(left time.Duration) float64 {
	scale := max(float64(r.deviation), minDeviationShare*float64(r.time), 1) / deviationPerScale
	return 1 / (1 + math.Exp(-float64(left-r.time)/scale))
}

// counter counts events with exponential decay.
type counter struct {
	n  float64
	at time.Duration
}

func (c *counter) add(now time.Duration) {
	c.n = c.n*math.Exp(-float64(now-c.at)/float64(rateMemory)) + 1
	c.at = now
}

// rate returns the number of events a second.
func (c *counter) rate(now time.Duration) float64 {
	return c.n * math.Exp(-float64(now-c.at)/float64(rateMemory)) / rateMemory.Seconds()
}

// endRate measures the rate at which a service ends requests while others wait.
type endRate struct {
	ends, seconds float64 // decayed number of ends while requests waited, and the length of that time
	at            time.Duration
}

// advance adds the time since the last call, in which requests waited or not.
func (r *endRate) advance(now time.Duration, waiting bool) {
	d := now - r.at
	if d <= 0 {
		return
	}
	r.at = now
	decay := math.Exp(-float64(d) / float64(rateMemory))
	r.ends, r.seconds = r.ends*decay, r.seconds*decay
	if waiting {
		r.seconds += d.Seconds()
	}
}

// capacityRate returns the number of requests that the service ends a second when it is busy: the measured number, and at the
// beginning of a queue the one that follows from the slots below the knees and the response time.
func (svc *service) capacityRate(now time.Duration) float64 {
	svc.ends.advance(now, svc.waiting() > 0)
	prior := float64(svc.kneeSlots) / max(svc.occupancy.Seconds(), time.Millisecond.Seconds())
	rate := (prior*ratePrior.Seconds() + svc.ends.ends) / (ratePrior.Seconds() + svc.ends.seconds)
	return max(rate, minCapacityRate)
}

// retryAfter returns when a rejected caller should try again: once the requests that wait are served, and each caller at another
// time. Beyond the time for which callers wait, it begins anew.
func (svc *service) retryAfter(now time.Duration, req *AttemptRequest) time.Duration {
	rate := svc.capacityRate(now)
	ahead := 0
	for _, c := range svc.classes {
		if c.priority <= req.Priority {
			ahead += len(c.queue)
		}
	}
	latest := max(min(maxRetryAfter, time.Duration(retryShare*float64(req.TimeLeft))), 2*minRetryAfter)
	earliest := max(min(time.Duration(float64(ahead)/rate*float64(time.Second)), latest/2), minRetryAfter)
	window := latest - earliest
	if svc.nextReturn < now+earliest || svc.nextReturn > now+latest {
		svc.nextReturn = now + earliest + max(svc.nextReturn-now-earliest, 0)%window
	}
	d := svc.nextReturn - now
	svc.lastReturn = max(svc.lastReturn, now+latest)
	svc.nextReturn += min(time.Duration(float64(time.Second)/(rate*returnShare)), time.Duration(maxReturnStep*float64(window)))
	return d
}
