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

// literal returns the literal of a value if it is of the given kind.
func literal(v *hujson.Value, kind hujson.Kind) (hujson.Literal, bool) {
	l, ok := v.Value.(hujson.Literal)
	return l, ok && l.Kind() == kind
}

func (d *decoder) duration(v *hujson.Value, dst reflect.Value, tag reflect.StructTag, wrong report) {
	l, ok := literal(v, '"')
	if !ok {
		wrong(`must be a duration with a unit, for example "50ms"`)
		return
	}
	n, err := time.ParseDuration(l.String())
	if err != nil {
		wrong(`%q is not a duration with a unit, for example "50ms"`, l.String())
		return
	}
	if low, high, ok := bounds(tag, time.ParseDuration); ok {
		checkBounds(n, low, high, wrong)
	}
	dst.SetInt(int64(n))
}

func (d *decoder) address(v *hujson.Value, dst reflect.Value, wrong report) {
	l, ok := literal(v, '"')
	if !ok {
		wrong(`must be an IP address and port, for example "127.0.0.1:8080"`)
		return
	}
	address, err := netip.ParseAddrPort(l.String())
	if err != nil {
		wrong(`%q is not an IP address and port, for example "127.0.0.1:8080"`, l.String())
		return
	}
	if address.Port() == 0 {
		wrong("%q has no port", l.String())
	}
	dst.Set(reflect.ValueOf(address))
}

func (d *decoder) text(v *hujson.Value, dst reflect.Value, tag reflect.StructTag, wrong report) {
	l, ok := literal(v, '"')
	if !ok {
		wrong("must be a string")
		return
	}
	s := l.String()
	if s == "" && !strings.HasSuffix(tag.Get("config"), ",empty") {
		wrong("is empty")
	}
	if allowed := strings.Fields(tag.Get("oneof")); len(allowed) > 0 && !slices.Contains(allowed, s) {
		wrong("%q is not one of %s", s, strings.Join(allowed, ", "))
	}
	dst.SetString(s)
}

func (d *decoder) boolean(v *hujson.Value, dst reflect.Value, wrong report) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != 't' && l.Kind() != 'f' {
		wrong("must be true or false")
		return
	}
	dst.SetBool(l.Bool())
}

func (d *decoder) number(v *hujson.Value, dst reflect.Value, tag reflect.StructTag, wrong report) {
	l, ok := literal(v, '0')
	if !ok {
		wrong("must be a number without a unit")
		return
	}
	if dst.Kind() == reflect.Float64 {
		n, err := parseFloat(string(l))
		if err != nil {
			wrong("%s is out of range", l)
			return
		}
		if low, high, ok := bounds(tag, parseFloat); ok {
			checkBounds(n, low, high, wrong)
		}
		dst.SetFloat(n)
		return
	}
	n, err := parseInt(string(l))
	if err != nil {
		wrong("%s is not a whole number in range", l)
		return
	}
	checkRange(tag, n, wrong)
	dst.SetInt(n)
}

func parseFloat(s string) (float64, error) { return strconv.ParseFloat(s, 64) }

func parseInt(s string) (int64, error) { return strconv.ParseInt(s, 10, 64) }

// checkRange checks a whole number.
func checkRange(tag reflect.StructTag, n int64, wrong report) {
	if low, high, ok := bounds(tag, parseInt); ok {
		checkBounds(n, low, high, wrong)
	}
}

// checkLength checks the length of a list or table.
func checkLength(tag reflect.StructTag, n int, wrong report) {
	checkRange(tag, int64(n), func(format string, args ...any) { wrong("length "+format, args...) })
}

// bound is one side of a range, if present.
type bound[T any] struct {
	value T
	set   bool
	text  string
}

// bounds parses the tag "low..high". A tag that cannot be parsed is a fault of the program.
func bounds[T any](tag reflect.StructTag, parse func(string) (T, error)) (low, high bound[T], ok bool) {
	text, ok := tag.Lookup("range")
	if !ok {
		return low, high, false
	}
	left, right, _ := strings.Cut(text, "..")
	return parseBound(left, parse), parseBound(right, parse), true
}

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

func checkBounds[T cmp.Ordered](n T, low, high bound[T], wrong report) {
	if low.set && n < low.value {
		wrong("%v is below %s", n, low.text)
	}
	if high.set && n > high.value {
		wrong("%v is above %s", n, high.text)
	}
}
