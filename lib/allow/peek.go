package allow

import "time"

// Peek returns the decision that Decide, or DecideAlone if alone is set, would make now. It changes nothing.
func (s *State) Peek(now time.Duration, name string, limit Limit, late, alone bool) (Decision, bool) {
	c := *s
	c.organisations = make(map[string]*organisation)
	if o := s.organisations[name]; o != nil {
		copied := *o
		c.organisations[name] = &copied
	}
	if alone {
		return c.DecideAlone(now, name, limit, late), true
	}
	return c.Decide(now, name, limit, late)
}
