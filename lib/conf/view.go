package conf

import (
	"cmp"
	"slices"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/common/sets"
)

// View is an immutable snapshot of the configuration. The zero value is not valid; NewStore returns a store with an
// empty view.
type View struct {
	version int64
	items   map[Item]entry
	// The following fields are derived from items.
	classes        map[ident.ClassName]Class
	classNames     []ident.ClassName
	dataCentresOut sets.Set[ident.DataCentre]
	upstreamsOut   sets.Set[ident.UpstreamID]
}

// entry is an item's value and the offset of the proposal that set it.
type entry struct {
	value   Value
	version int64
}

func newView(version int64, items map[Item]entry) View {
	v := View{
		version:        version,
		items:          items,
		classes:        make(map[ident.ClassName]Class),
		dataCentresOut: make(sets.Set[ident.DataCentre]),
		upstreamsOut:   make(sets.Set[ident.UpstreamID]),
	}
	for item, e := range items {
		switch {
		case item.Kind == KindClass:
			v.classes[ident.ClassName(item.Name)] = e.value.Class
			v.classNames = append(v.classNames, ident.ClassName(item.Name))
		case item.Kind == KindDataCentre && e.value.Out:
			v.dataCentresOut[ident.DataCentre(item.Name)] = struct{}{}
		case item.Kind == KindUpstream && e.value.Out:
			v.upstreamsOut[ident.UpstreamID(item.Name)] = struct{}{}
		}
	}
	slices.Sort(v.classNames)
	return v
}

// Version returns the offset of the last applied record, NoVersion if there is none.
func (v View) Version() int64 { return v.version }

// Class returns the settings of a class and whether the class exists.
func (v View) Class(name ident.ClassName) (Class, bool) {
	c, ok := v.classes[name]
	return c, ok
}

// Classes returns the names of all classes in alphabetical order; the result must not be modified.
func (v View) Classes() []ident.ClassName { return v.classNames }

// DataCentreOut reports whether operators took the data centre out of service.
func (v View) DataCentreOut(name ident.DataCentre) bool { return v.dataCentresOut.Has(name) }

// UpstreamOut reports whether operators took the upstream out of service.
func (v View) UpstreamOut(id ident.UpstreamID) bool { return v.upstreamsOut.Has(id) }

// Item returns an item's value and version. The version is NoVersion if the item does not exist.
func (v View) Item(item Item) (Value, int64) {
	if e, ok := v.items[item]; ok {
		return e.value, e.version
	}
	return Value{}, NoVersion
}

// Items returns all items, ordered by kind and name.
func (v View) Items() []Item { return sortedItems(v.items) }

func sortedItems(items map[Item]entry) []Item {
	list := make([]Item, 0, len(items))
	for item := range items {
		list = append(list, item)
	}
	slices.SortFunc(list, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return list
}
