package admin

import (
	"time"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/core"
)

// status is the body of GET /status.
type status struct {
	Host        ident.HostID     `json:"host"`
	Incarnation string           `json:"incarnation"`
	DataCentre  ident.DataCentre `json:"dataCentre"`
	Leaving     bool             `json:"leaving"`
	// InService reports that the host accepts new work.
	InService bool `json:"inService"`
	// LogAnswers reports that the last read of the configuration from the log succeeded.
	LogAnswers    bool          `json:"logAnswers"`
	Configuration configuration `json:"configuration"`
	Classes       []class       `json:"classes"`
	Upstreams     []upstream    `json:"upstreams"`
	Members       []member      `json:"members"`
	Counters      counters      `json:"counters"`
}

// configuration describes the configuration in use.
type configuration struct {
	Version int64 `json:"version"`
	// Age is the age of the configuration, a duration with a unit, or "unknown" if it was never known to be current.
	Age string `json:"age"`
}

type class struct {
	Name       ident.ClassName   `json:"name"`
	Service    ident.ServiceName `json:"service"`
	Target     string            `json:"target"`
	Deadline   string            `json:"deadline"`
	Idempotent bool              `json:"idempotent"`
	Rank       int               `json:"rank"`
	Queued     int               `json:"queued"`
	InFlight   int               `json:"inFlight"`
}

type upstream struct {
	ID         ident.UpstreamID  `json:"id"`
	Service    ident.ServiceName `json:"service"`
	DataCentre ident.DataCentre  `json:"dataCentre"`
	Owner      ident.HostID      `json:"owner,omitempty"`
	// Limit is zero unless this host is the owner.
	Limit    int  `json:"limit"`
	Held     int  `json:"held"`
	InFlight int  `json:"inFlight"`
	Out      bool `json:"out"`
	Leaving  bool `json:"leaving"`
	Ejected  bool `json:"ejected"`
	// Smoothed is the smoothed response time, a duration with a unit.
	Smoothed string `json:"smoothed"`
}

// member describes one host as this host sees it.
type member struct {
	ID          ident.HostID     `json:"id"`
	Incarnation string           `json:"incarnation"`
	DataCentre  ident.DataCentre `json:"dataCentre"`
	Reachable   bool             `json:"reachable"`
	Leaving     bool             `json:"leaving"`
	ConfVersion int64            `json:"confVersion"`
}

type counters struct {
	Requests  uint64            `json:"requests"`
	Delivered uint64            `json:"delivered"`
	Replayed  uint64            `json:"replayed"`
	Relayed   uint64            `json:"relayed"`
	Attempts  uint64            `json:"attempts"`
	Retries   uint64            `json:"retries"`
	Hedges    uint64            `json:"hedges"`
	Cancelled uint64            `json:"cancelled"`
	Ejections uint64            `json:"ejections"`
	Probes    uint64            `json:"probes"`
	Refused   map[string]uint64 `json:"refused"`
}

// toStatus converts the state of the host to the body of GET /status.
func toStatus(s core.Status) status {
	out := status{
		Host:          s.Host,
		Incarnation:   s.Incarnation.String(),
		DataCentre:    s.DataCentre,
		Leaving:       s.Leaving,
		InService:     s.InService,
		LogAnswers:    s.LogAnswers,
		Configuration: configuration{Version: s.ConfVersion, Age: "unknown"},
		Classes:       make([]class, 0, len(s.Classes)),
		Upstreams:     make([]upstream, 0, len(s.Upstreams)),
		Members:       make([]member, 0, len(s.Members)),
		Counters:      toCounters(s.Counters),
	}
	if s.ConfAge >= 0 {
		out.Configuration.Age = formatDuration(s.ConfAge)
	}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, class{
			Name:       c.Name,
			Service:    c.Service,
			Target:     c.Target.String(),
			Deadline:   c.Deadline.String(),
			Idempotent: c.Idempotent,
			Rank:       c.Rank,
			Queued:     c.Queued,
			InFlight:   c.InFlight,
		})
	}
	for _, u := range s.Upstreams {
		out.Upstreams = append(out.Upstreams, toUpstream(u))
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, member{
			ID:          m.ID,
			Incarnation: m.Incarnation.String(),
			DataCentre:  m.DataCentre,
			Reachable:   m.Reachable,
			Leaving:     m.Leaving,
			ConfVersion: m.ConfVersion,
		})
	}
	return out
}

func toUpstream(u core.UpstreamStatus) upstream {
	return upstream{
		ID:         u.ID,
		Service:    u.Service,
		DataCentre: u.DataCentre,
		Owner:      u.Owner,
		Limit:      u.Limit,
		Held:       u.Held,
		InFlight:   u.InFlight,
		Out:        u.Out,
		Leaving:    u.Leaving,
		Ejected:    u.Ejected,
		Smoothed:   formatDuration(u.Smoothed),
	}
}

// formatDuration formats d rounded to 10 µs.
func formatDuration(d time.Duration) string { return d.Round(10 * time.Microsecond).String() }

func toCounters(c core.Counters) counters {
	out := counters{
		Requests:  c.Requests,
		Delivered: c.Delivered,
		Replayed:  c.Replayed,
		Relayed:   c.Relayed,
		Attempts:  c.Attempts,
		Retries:   c.Retries,
		Hedges:    c.Hedges,
		Cancelled: c.Cancelled,
		Ejections: c.Ejections,
		Probes:    c.Probes,
		Refused:   make(map[string]uint64, len(c.Refused)),
	}
	for reason, n := range c.Refused {
		out.Refused[string(reason)] = n
	}
	return out
}

// unlabelled returns the counters that have no label in the text format. Probes is left out, since the text
// has the probes that metric.Set counts.
func (c counters) unlabelled() map[string]uint64 {
	return map[string]uint64{
		"requests":  c.Requests,
		"delivered": c.Delivered,
		"replayed":  c.Replayed,
		"relayed":   c.Relayed,
		"attempts":  c.Attempts,
		"retries":   c.Retries,
		"hedges":    c.Hedges,
		"cancelled": c.Cancelled,
		"ejections": c.Ejections,
	}
}
