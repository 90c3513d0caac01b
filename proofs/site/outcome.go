package site

// Outcome is what a caller knows about one request after its answer.
type Outcome int

// Outcomes of requests. After Unknown the request may or may not have run.
const (
	Served Outcome = iota + 1
	NotRun
	Unknown
)

// String returns the outcome's name in reports.
func (o Outcome) String() string { return [...]string{"", "served", "notRun", "unknown"}[o] }
