package config

import (
	"cmp"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// literalOfKind returns a value as a literal and reports whether it is one of the given kind.
func literalOfKind(v *hujson.Value, kind hujson.Kind) (hujson.Literal, bool) {
	l, ok := v.Value.(hujson.Literal)
	return l, ok && l.Kind() == kind
}

// decodeDuration decodes a string such as "50ms" into a time.Duration.
func (d *decoder) decodeDuration(v *hujson.Value, dst reflect.Value, tag reflect.StructTag, report reportFunc) {
	l, ok := literalOfKind(v, '"')
	if !ok {
		report(`must be a duration with a unit, for example "50ms"`)
		return
	}
	n, err := time.ParseDuration(l.String())
	if err != nil {
		report(`%q is not a duration with a unit, for example "50ms"`, l.String())
		return
	}
	if low, high, ok := parseRange(tag, time.ParseDuration); ok {
		checkBounds(n, low, high, report)
	}
	dst.SetInt(int64(n))
}

// decodeAddress decodes a string with an IP address and a port into a netip.AddrPort.
func (d *decoder) decodeAddress(v *hujson.Value, dst reflect.Value, report reportFunc) {
	l, ok := literalOfKind(v, '"')
	if !ok {
		report(`must be an IP address and port, for example "127.0.0.1:8080"`)
		return
	}
	address, err := netip.ParseAddrPort(l.String())
	if err != nil {
		report(`%q is not an IP address and port, for example "127.0.0.1:8080"`, l.String())
		return
	}
	if address.Port() == 0 {
		report("%q has no port", l.String())
	}
	dst.Set(reflect.ValueOf(address))
}

// decodeString decodes a string. It reports an empty string, unless the config tag allows it, and a value that is not
// in the oneof tag.
func (d *decoder) decodeString(v *hujson.Value, dst reflect.Value, tag reflect.StructTag, report reportFunc) {
	l, ok := literalOfKind(v, '"')
	if !ok {
		report("must be a string")
		return
	}
	s := l.String()
	if s == "" && !strings.HasSuffix(tag.Get("config"), ",empty") {
		report("is empty")
	}
	if allowed := strings.Fields(tag.Get("oneof")); len(allowed) > 0 && !slices.Contains(allowed, s) {
		report("%q is not one of %s", s, strings.Join(allowed, ", "))
	}
	dst.SetString(s)
}

// decodeBool decodes true or false.
func (d *decoder) decodeBool(v *hujson.Value, dst reflect.Value, report reportFunc) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != 't' && l.Kind() != 'f' {
		report("must be true or false")
		return
	}
	dst.SetBool(l.Bool())
}

// decodeNumber decodes a number into an int, int64 or float64.
func (d *decoder) decodeNumber(v *hujson.Value, dst reflect.Value, tag reflect.StructTag, report reportFunc) {
	l, ok := literalOfKind(v, '0')
	if !ok {
		report("must be a number without a unit")
		return
	}
	if dst.Kind() == reflect.Float64 {
		n, err := parseFloat(string(l))
		if err != nil {
			report("%s is out of range", l)
			return
		}
		if low, high, ok := parseRange(tag, parseFloat); ok {
			checkBounds(n, low, high, report)
		}
		dst.SetFloat(n)
		return
	}
	n, err := parseInt(string(l))
	if err != nil {
		report("%s is not a whole number in range", l)
		return
	}
	checkIntRange(tag, n, report)
	dst.SetInt(n)
}

func parseFloat(s string) (float64, error) { return strconv.ParseFloat(s, 64) }

func parseInt(s string) (int64, error) { return strconv.ParseInt(s, 10, 64) }

// checkIntRange reports an integer outside the bounds of the range tag.
func checkIntRange(tag reflect.StructTag, n int64, report reportFunc) {
	if low, high, ok := parseRange(tag, parseInt); ok {
		checkBounds(n, low, high, report)
	}
}

// checkLength reports a slice or map whose length is outside the bounds of the range tag.
func checkLength(tag reflect.StructTag, n int, report reportFunc) {
	checkIntRange(tag, int64(n), func(format string, args ...any) { report("length "+format, args...) })
}

// bound is the lower or upper bound of a range; set is false if the range has none on that side.
type bound[T any] struct {
	value T
	set   bool
	// text is the bound as written in the tag.
	text string
}

// parseRange parses the range tag, "low..high"; ok is false if there is none. It panics on an invalid tag, which is a
// bug of the program.
func parseRange[T any](tag reflect.StructTag, parse func(string) (T, error)) (low, high bound[T], ok bool) {
	text, ok := tag.Lookup("range")
	if !ok {
		return low, high, false
	}
	left, right, _ := strings.Cut(text, "..")
	return parseBound(left, parse), parseBound(right, parse), true
}

// parseBound parses one bound of a range tag; an empty text means that there is no bound.
func parseBound[T any](text string, parse func(string) (T, error)) bound[T] {
	if text == "" {
		return bound[T]{}
	}
	value, err := parse(text)
	if err != nil {
		panic(&TypeError{Type: "range " + text})
	}
	return bound[T]{value: value, set: true, text: text}
}

// checkBounds reports a value outside the bounds.
func checkBounds[T cmp.Ordered](n T, low, high bound[T], report reportFunc) {
	if low.set && n < low.value {
		report("%v is below %s", n, low.text)
	}
	if high.set && n > high.value {
		report("%v is above %s", n, high.text)
	}
}
