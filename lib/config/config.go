// Package config reads the settings of the programs: JSON with comments, decoded into typed structs, with every mistake reported
// with file, line, column and key.
package config

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"strings"
)

// MaxFile is the largest settings file that is read.
const MaxFile = 1 << 20

// Load reads the file and decodes it into dst, a pointer to a struct that may hold defaults. It fails with *FileError if
// the file cannot be read and with *Mistakes if it contains mistakes.
//
// Supported field types are bool, string, int, int64, float64, time.Duration (a string with a unit), netip.AddrPort (IP and port),
// structs, and slices and maps of these; maps have string keys. Field tags:
//
//	config:"name"            the key; fields without the tag are not settings
//	config:"name,required"   the key must be present
//	config:"name,empty"      the string may be empty
//	range:"1..100"           bounds of a number or duration, or of the length of a slice or map; one side may be empty
//	oneof:"text json"        the values that a string may have
//	unique:"."               the elements of a slice differ; unique:"id" compares the elements' key id
//
// A struct that is zero and has a method SetDefaults on its pointer is given its defaults before it is decoded. If a struct without
// mistakes has a method Check, it is asked for mistakes that concern several keys.
func Load(file string, dst any) error {
	f, err := os.Open(file)
	if err != nil {
		return &FileError{File: file, Err: err}
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, MaxFile+1))
	if err != nil {
		return &FileError{File: file, Err: err}
	}
	return Decode(file, data, dst)
}

// Decode does what Load does with the contents of a file.
func Decode(file string, data []byte, dst any) error {
	d := &decoder{file: file, data: data, offsets: make(map[string]int)}
	d.decode(reflect.ValueOf(dst).Elem())
	if len(d.list) == 0 {
		return nil
	}
	slices.SortStableFunc(d.list, func(a, b Mistake) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return &Mistakes{List: d.list}
}

// Checker is implemented by settings that have rules across several keys. Keys are relative to the struct ("timing.lease"); an empty key
// is the struct itself.
type Checker interface {
	Check(report func(key, problem string))
}

// Defaulter is implemented by settings that have defaults.
type Defaulter interface{ SetDefaults() }

// Mistake is one mistake in a settings file.
type Mistake struct {
	File string
	// Line and Column count from 1; columns count bytes.
	Line, Column int
	// Key is the path of the key, for instance services.booking.slots.
	Key     string
	Problem string
}

// String returns the mistake in the form file:line:column: key: problem.
func (m Mistake) String() string {
	if m.Key == "" {
		return fmt.Sprintf("%s:%d:%d: %s", m.File, m.Line, m.Column, m.Problem)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", m.File, m.Line, m.Column, m.Key, m.Problem)
}

// Mistakes is every mistake of one file, in the order of their positions. Programs exit with code 2 after printing it.
type Mistakes struct{ List []Mistake }

func (e *Mistakes) Error() string {
	lines := make([]string, len(e.List))
	for i, m := range e.List {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// FileError reports a settings file that cannot be read. Programs exit with code 2 after printing it.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Err) }

func (e *FileError) Unwrap() error { return e.Err }
