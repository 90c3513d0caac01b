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

// decoder decodes one settings file and collects the diagnostics of its problems.
type decoder struct {
	file        string
	data        []byte
	diagnostics []Diagnostic
	// offsets maps the path of each key that is present to the byte offset of its value.
	offsets map[string]int
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	addressType  = reflect.TypeFor[netip.AddrPort]()
	// syntaxErrorPattern extracts the position from an error of hujson, which has it only in its text.
	syntaxErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)
)

// decode parses the file and decodes it into dst.
func (d *decoder) decode(dst reflect.Value) {
	setDefaults(dst)
	if len(d.data) > MaxFileBytes {
		d.diagnostics = append(d.diagnostics, Diagnostic{File: d.file, Line: 1, Column: 1, Problem: fmt.Sprintf("is larger than %d bytes", MaxFileBytes)})
		return
	}
	root, err := hujson.Parse(d.data)
	if err != nil {
		d.addSyntaxError(err)
		return
	}
	d.decodeValue("", &root, dst, "")
}

// addSyntaxError records an error of the parser at its position, or at the start of the file if the position is unknown.
func (d *decoder) addSyntaxError(err error) {
	diag := Diagnostic{File: d.file, Line: 1, Column: 1, Problem: err.Error()}
	if parts := syntaxErrorPattern.FindStringSubmatch(err.Error()); parts != nil {
		// Atoi cannot fail: the pattern matches only digits, and the numbers of a file's lines and columns fit in an
		// int.
		diag.Line, _ = strconv.Atoi(parts[1])
		diag.Column, _ = strconv.Atoi(parts[2])
		diag.Problem = parts[3]
	}
	d.diagnostics = append(d.diagnostics, diag)
}

// addProblem appends the diagnostic of a problem at a byte offset of the file.
func (d *decoder) addProblem(offset int, key, format string, args ...any) {
	before := d.data[:offset]
	d.diagnostics = append(d.diagnostics, Diagnostic{
		File:    d.file,
		Line:    bytes.Count(before, []byte("\n")) + 1,
		Column:  offset - bytes.LastIndexByte(before, '\n'),
		Key:     key,
		Problem: fmt.Sprintf(format, args...),
	})
}

// decodeValue decodes one value into dst. The key is its full path. The tag is that of the struct field; it is empty
// for the elements of slices and maps.
func (d *decoder) decodeValue(key string, v *hujson.Value, dst reflect.Value, tag reflect.StructTag) {
	d.offsets[key] = v.StartOffset
	report := func(format string, args ...any) { d.addProblem(v.StartOffset, key, format, args...) }
	switch {
	case dst.Type() == durationType:
		d.decodeDuration(v, dst, tag, report)
	case dst.Type() == addressType:
		d.decodeAddress(v, dst, report)
	default:
		d.decodeByKind(key, v, dst, tag, report)
	}
}

// reportFunc records a problem of the value that is being decoded.
type reportFunc func(format string, args ...any)

// decodeByKind decodes a value into dst according to the reflect.Kind of dst.
func (d *decoder) decodeByKind(key string, v *hujson.Value, dst reflect.Value, tag reflect.StructTag, report reportFunc) {
	switch dst.Kind() {
	case reflect.Struct:
		d.decodeStruct(key, v, dst, report)
	case reflect.Map:
		d.decodeMap(key, v, dst, tag, report)
	case reflect.Slice:
		d.decodeSlice(key, v, dst, tag, report)
	case reflect.String:
		d.decodeString(v, dst, tag, report)
	case reflect.Bool:
		d.decodeBool(v, dst, report)
	case reflect.Int, reflect.Int64, reflect.Float64:
		d.decodeNumber(v, dst, tag, report)
	default:
		panic(&TypeError{Type: dst.Type().String()})
	}
}

// uniqueMembers returns the members of an object. It reports and omits repeated keys, and returns nil if v is no object.
func (d *decoder) uniqueMembers(key string, v *hujson.Value, report reportFunc) []hujson.ObjectMember {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		report("must be an object")
		return nil
	}
	seen := make(map[string]bool, len(object.Members))
	members := make([]hujson.ObjectMember, 0, len(object.Members))
	for _, m := range object.Members {
		name := memberName(m)
		if seen[name] {
			d.addProblem(m.Name.StartOffset, joinKey(key, name), "is given twice")
			continue
		}
		seen[name] = true
		members = append(members, m)
	}
	return members
}

// decodeStruct decodes an object into a struct. It reports unknown keys and missing required keys.
func (d *decoder) decodeStruct(key string, v *hujson.Value, dst reflect.Value, report reportFunc) {
	before := len(d.diagnostics)
	fields := fieldsOf(dst)
	for _, m := range d.uniqueMembers(key, v, report) {
		name := memberName(m)
		f, ok := fields[name]
		if !ok {
			d.addProblem(m.Name.StartOffset, joinKey(key, name), "is not a known key")
			continue
		}
		delete(fields, name)
		d.decodeValue(joinKey(key, name), &m.Value, f.value, f.tag)
	}
	for name, f := range fields {
		if f.required {
			d.addProblem(v.StartOffset, joinKey(key, name), "is missing")
		}
	}
	if len(d.diagnostics) == before {
		d.runChecker(key, dst)
	}
}

// runChecker calls the Check method of a decoded struct, if it has one.
func (d *decoder) runChecker(key string, dst reflect.Value) {
	c, ok := dst.Addr().Interface().(Checker)
	if !ok {
		return
	}
	c.Check(func(name, problem string) {
		full := key
		if name != "" {
			full = joinKey(key, name)
		}
		d.addProblem(d.nearestOffset(full), full, "%s", problem)
	})
}

// nearestOffset returns the byte offset of the value of a key. If the key is absent, it returns that of the nearest
// enclosing key that is present.
func (d *decoder) nearestOffset(key string) int {
	for {
		if offset, ok := d.offsets[key]; ok || key == "" {
			return offset
		}
		key = key[:max(0, strings.LastIndexByte(key, '.'))]
	}
}

// decodeMap decodes an object into a map, whose keys may be any nonempty names.
func (d *decoder) decodeMap(key string, v *hujson.Value, dst reflect.Value, tag reflect.StructTag, report reportFunc) {
	members := d.uniqueMembers(key, v, report)
	if members == nil {
		return
	}
	checkLength(tag, len(members), report)
	table := reflect.MakeMapWithSize(dst.Type(), len(members))
	for _, m := range members {
		name := memberName(m)
		if name == "" {
			d.addProblem(m.Name.StartOffset, joinKey(key, name), "has an empty name")
		}
		element := reflect.New(dst.Type().Elem()).Elem()
		setDefaults(element)
		d.decodeValue(joinKey(key, name), &m.Value, element, "")
		table.SetMapIndex(reflect.ValueOf(name).Convert(dst.Type().Key()), element)
	}
	dst.Set(table)
}

// decodeSlice decodes an array into a slice.
func (d *decoder) decodeSlice(key string, v *hujson.Value, dst reflect.Value, tag reflect.StructTag, report reportFunc) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		report("must be an array")
		return
	}
	checkLength(tag, len(array.Elements), report)
	slice := reflect.MakeSlice(dst.Type(), len(array.Elements), len(array.Elements))
	seen := make(map[any]bool, len(array.Elements))
	for i := range array.Elements {
		path := fmt.Sprintf("%s[%d]", key, i)
		element := slice.Index(i)
		setDefaults(element)
		d.decodeValue(path, &array.Elements[i], element, "")
		if keyTag := tag.Get("unique"); keyTag != "" {
			d.checkUnique(path, &array.Elements[i], element, keyTag, seen)
		}
	}
	dst.Set(slice)
}

// checkUnique reports an element that equals an earlier one of its slice. If keyTag is not ".", it compares the values
// of that key. Repeated zero values are not reported.
func (d *decoder) checkUnique(path string, v *hujson.Value, element reflect.Value, keyTag string, seen map[any]bool) {
	if keyTag != "." {
		path = joinKey(path, keyTag)
		element = fieldsOf(element)[keyTag].value
	}
	id := element.Interface()
	if seen[id] && !element.IsZero() {
		offset, ok := d.offsets[path]
		if !ok {
			offset = v.StartOffset
		}
		d.addProblem(offset, path, "%v is given twice", id)
	}
	seen[id] = true
}

// memberName returns the name of a member of an object.
func memberName(m hujson.ObjectMember) string {
	// The parser accepts only literals as names, so the type assertion cannot fail.
	return m.Name.Value.(hujson.Literal).String()
}

// joinKey appends a name to the path of a key.
func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// field is a struct field that holds a setting.
type field struct {
	value    reflect.Value
	tag      reflect.StructTag
	required bool
}

// fieldsOf returns the settings of a struct by their names.
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

// setDefaults sets the defaults of a struct, and of the structs nested in it, where they are zero.
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

// TypeError reports a settings struct with a field of an unsupported type or with an invalid range tag. It is a bug of
// the program, not an error in the settings file, so the decoder panics with it.
type TypeError struct{ Type string }

// Error implements error.
func (e *TypeError) Error() string {
	return "settings struct has an unsupported type or range tag: " + e.Type
}
