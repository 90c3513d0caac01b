package site

// Outcome is what a caller learned about one request.
type Outcome int

// Outcomes of requests.
const (
	Served Outcome = iota + 1
	NotRun
	Unknown
)

// String implements fmt.Stringer.
func (o Outcome) String() string { return [...]string{"", "served", "notRun", "unknown"}[o] }
