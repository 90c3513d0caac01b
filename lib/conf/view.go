package conf

import "sardinecross.example/lib/common/ident"

// View is one immutable version of the configuration; the zero value is empty.
type View struct {
	version int64
}

// Version returns the offset of the last record that was decided, NoVersion if none was.
func (v View) Version() int64 { return v.version }

// Class returns the definition of a class.
func (v View) Class(name ident.ClassName) (Class, bool) { return Class{}, false }

// Classes returns the names of all classes in alphabetical order; the result must not be modified.
func (v View) Classes() []ident.ClassName { return nil }

// DataCentreOut reports whether operators took the data centre out of service.
func (v View) DataCentreOut(name ident.DataCentre) bool { return false }

// UpstreamOut reports whether operators took the upstream out of service.
func (v View) UpstreamOut(id ident.UpstreamID) bool { return false }

// Item returns an item's value and version, NoVersion if there is none.
func (v View) Item(item Item) (Value, int64) { return Value{}, NoVersion }

// Items returns all items in alphabetical order of their text forms.
func (v View) Items() []Item { return nil }
