// Package option provides a generic optional value.
package option

// Option holds a value or none; the zero value holds none.
type Option[T any] struct {
	value T
	// set is true if and only if value was given.
	set bool
}

// Some returns an option that holds v.
func Some[T any](v T) Option[T] { return Option[T]{value: v, set: true} }

// Get returns the value and whether there is one.
func (o Option[T]) Get() (T, bool) { return o.value, o.set }

// Or returns the value, or v if there is none.
func (o Option[T]) Or(v T) T {
	if o.set {
		return o.value
	}
	return v
}
