package config

import (
	"bytes"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// decoder decodes one file and collects its mistakes.
type decoder struct {
	file string
	data []byte
	list []Mistake
	// offsets holds the position of each key that is present.
	offsets map[string]int
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	addressType  = reflect.TypeFor[netip.AddrPort]()
	// syntaxError is the form of hujson's errors, which carry the position only as text.
	syntaxError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)
)

func (d *decoder) decode(dst reflect.Value) {
	setDefaults(dst)
	if len(d.data) > MaxFile {
		d.list = append(d.list, Mistake{File: d.file, Line: 1, Column: 1, Problem: fmt.Sprintf("is larger than %d bytes", MaxFile)})
		return
	}
	root, err := hujson.Parse(d.data)
	if err != nil {
		d.syntax(err)
		return
	}
	d.value("", &root, dst, "")
}

func (d *decoder) syntax(err error) {
	m := Mistake{File: d.file, Line: 1, Column: 1, Problem: err.Error()}
	if parts := syntaxError.FindStringSubmatch(err.Error()); parts != nil {
		// The expression admits only digits, and no file has more lines than an int holds.
		m.Line, _ = strconv.Atoi(parts[1])
		m.Column, _ = strconv.Atoi(parts[2])
		m.Problem = parts[3]
	}
	d.list = append(d.list, m)
}

// mistake records a mistake at an offset of the file.
func (d *decoder) mistake(offset int, key, format string, args ...any) {
	before := d.data[:offset]
	d.list = append(d.list, Mistake{
		File:    d.file,
		Line:    bytes.Count(before, []byte("\n")) + 1,
		Column:  offset - bytes.LastIndexByte(before, '\n'),
		Key:     key,
		Problem: fmt.Sprintf(format, args...),
	})
}

// value decodes one value. The key is its path.
func (d *decoder) value(key string, v *hujson.Value, dst reflect.Value, tag reflect.StructTag) {
	d.offsets[key] = v.StartOffset
	wrong := func(format string, args ...any) { d.mistake(v.StartOffset, key, format, args...) }
	switch {
	case dst.Type() == durationType:
		d.duration(v, dst, tag, wrong)
	case dst.Type() == addressType:
		d.address(v, dst, wrong)
	default:
		d.kind(key, v, dst, tag, wrong)
	}
}

// report formats a mistake about the value being decoded.
type report func(format string, args ...any)

func (d *decoder) kind(key string, v *hujson.Value, dst reflect.Value, tag reflect.StructTag, wrong report) {
	switch dst.Kind() {
	case reflect.Struct:
		d.object(key, v, dst, wrong)
	case reflect.Map:
		d.table(key, v, dst, tag, wrong)
	case reflect.Slice:
		d.array(key, v, dst, tag, wrong)
	case reflect.String:
		d.text(v, dst, tag, wrong)
	case reflect.Bool:
		d.boolean(v, dst, wrong)
	case reflect.Int, reflect.Int64, reflect.Float64:
		d.number(v, dst, tag, wrong)
	default:
		panic(&TypeError{Type: dst.Type().String()})
	}
}

// members reports repeated keys and returns the members of an object.
func (d *decoder) members(key string, v *hujson.Value, wrong report) []hujson.ObjectMember {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		wrong("must be an object")
		return nil
	}
	seen := make(map[string]bool, len(object.Members))
	members := make([]hujson.ObjectMember, 0, len(object.Members))
	for _, m := range object.Members {
		name := memberName(m)
		if seen[name] {
			d.mistake(m.Name.StartOffset, join(key, name), "is given twice")
			continue
		}
		seen[name] = true
		members = append(members, m)
	}
	return members
}

func (d *decoder) object(key string, v *hujson.Value, dst reflect.Value, wrong report) {
	before := len(d.list)
	fields := fieldsOf(dst)
	for _, m := range d.members(key, v, wrong) {
		name := memberName(m)
		f, ok := fields[name]
		if !ok {
			d.mistake(m.Name.StartOffset, join(key, name), "is not a known key")
			continue
		}
		delete(fields, name)
		d.value(join(key, name), &m.Value, f.value, f.tag)
	}
	for name, f := range fields {
		if f.required {
			d.mistake(v.StartOffset, join(key, name), "is missing")
		}
	}
	if len(d.list) == before {
		d.check(key, dst)
	}
}

func (d *decoder) check(key string, dst reflect.Value) {
	c, ok := dst.Addr().Interface().(Checker)
	if !ok {
		return
	}
	c.Check(func(name, problem string) {
		full := key
		if name != "" {
			full = join(key, name)
		}
		d.mistake(d.offset(full), full, "%s", problem)
	})
}

// offset returns the position of a key, or of the nearest one above it that is present.
func (d *decoder) offset(key string) int {
	for {
		if offset, ok := d.offsets[key]; ok || key == "" {
			return offset
		}
		key = key[:max(0, strings.LastIndexByte(key, '.'))]
	}
}

// table decodes an object with free keys.
func (d *decoder) table(key string, v *hujson.Value, dst reflect.Value, tag reflect.StructTag, wrong report) {
	members := d.members(key, v, wrong)
	if members == nil {
		return
	}
	checkLength(tag, len(members), wrong)
	table := reflect.MakeMapWithSize(dst.Type(), len(members))
	for _, m := range members {
		name := memberName(m)
		if name == "" {
			d.mistake(m.Name.StartOffset, join(key, name), "has an empty name")
		}
		element := reflect.New(dst.Type().Elem()).Elem()
		setDefaults(element)
		d.value(join(key, name), &m.Value, element, "")
		table.SetMapIndex(reflect.ValueOf(name).Convert(dst.Type().Key()), element)
	}
	dst.Set(table)
}

func (d *decoder) array(key string, v *hujson.Value, dst reflect.Value, tag reflect.StructTag, wrong report) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		wrong("must be an array")
		return
	}
	checkLength(tag, len(array.Elements), wrong)
	slice := reflect.MakeSlice(dst.Type(), len(array.Elements), len(array.Elements))
	seen := make(map[any]bool, len(array.Elements))
	for i := range array.Elements {
		path := fmt.Sprintf("%s[%d]", key, i)
		element := slice.Index(i)
		setDefaults(element)
		d.value(path, &array.Elements[i], element, "")
		if by := tag.Get("unique"); by != "" {
			d.unique(path, &array.Elements[i], element, by, seen)
		}
	}
	dst.Set(slice)
}

// unique reports an element whose value, or whose key named by the tag, is that of an earlier element.
func (d *decoder) unique(path string, v *hujson.Value, element reflect.Value, by string, seen map[any]bool) {
	if by != "." {
		path = join(path, by)
		element = fieldsOf(element)[by].value
	}
	id := element.Interface()
	if seen[id] && !element.IsZero() {
		offset, ok := d.offsets[path]
		if !ok {
			offset = v.StartOffset
		}
		d.mistake(offset, path, "%v is given twice", id)
	}
	seen[id] = true
}

func memberName(m hujson.ObjectMember) string {
	// The parser accepts only literals as names.
	return m.Name.Value.(hujson.Literal).String()
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// field is one setting of a struct.
type field struct {
	value    reflect.Value
	tag      reflect.StructTag
	required bool
}

func fieldsOf(v reflect.Value) map[string]field {
	fields := make(map[string]field, v.NumField())
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name, option, _ := strings.Cut(f.Tag.Get("config"), ",")
		if name != "" {
			fields[name] = field{value: v.Field(i), tag: f.Tag, required: option == "required"}
		}
	}
	return fields
}

// setDefaults gives a struct and the structs in its fields their defaults where they are zero.
func setDefaults(v reflect.Value) {
	if v.Kind() != reflect.Struct || v.Type() == addressType {
		return
	}
	if f, ok := v.Addr().Interface().(Defaulter); ok && v.IsZero() {
		f.SetDefaults()
	}
	for _, f := range fieldsOf(v) {
		setDefaults(f.value)
	}
}

// TypeError reports a settings struct with a field that cannot be decoded; it is a fault of the program, not of the file.
type TypeError struct{ Type string }

func (e *TypeError) Error() string { return "settings cannot have the type " + e.Type }
