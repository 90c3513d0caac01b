// Package sets provides a generic set.
package sets

// Set is a set of comparable values; the zero value is empty and read-only.
type Set[T comparable] map[T]struct{}

// Of returns a set of the given values.
func Of[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s[v] = struct{}{}
	}
	return s
}

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// With returns a copy of the set with v added.
func (s Set[T]) With(v T) Set[T] {
	c := make(Set[T], len(s)+1)
	for k := range s {
		c[k] = struct{}{}
	}
	c[v] = struct{}{}
	return c
}

// Without returns a copy of the set with v removed.
func (s Set[T]) Without(v T) Set[T] {
	c := make(Set[T], len(s))
	for k := range s {
		if k != v {
			c[k] = struct{}{}
		}
	}
	return c
}
