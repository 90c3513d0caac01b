// Package config reads the settings files of the programs: JSON with comments and trailing commas, decoded into
// structs. It reports every problem of a file at once, each with file, line, column and key; only a syntax error is
// reported alone.
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

// MaxFileBytes is the maximum size of a settings file, in bytes.
const MaxFileBytes = 1 << 20

// Load reads a settings file and decodes it into dst, a pointer to a struct that may hold defaults. It fails with *FileError
// if the file cannot be read and with *ValidationError if its contents are invalid.
//
// Supported field types are bool, string, int, int64, float64, time.Duration (a string with a unit), netip.AddrPort (a string
// with IP address and port), structs, and slices and maps of these; maps have string keys. Field tags:
//
//	config:"name"            the key; fields without the tag are not decoded
//	config:"name,required"   the key must be present
//	config:"name,empty"      the string may be empty; other strings may not
//	range:"1..100"           inclusive bounds of a number, a duration or the length of a slice or map; either may be absent
//	oneof:"text json"        the allowed values of a string
//	unique:"."               the elements of a slice must differ
//	unique:"id"              the values of the key id of a slice's elements must differ
//
// Before a zero struct is decoded, its method SetDefaults is called if its pointer implements Defaulter. After a struct has
// been decoded without problems, its method Check is called if its pointer implements Checker.
func Load(file string, dst any) error {
	f, err := os.Open(file)
	if err != nil {
		return &FileError{File: file, Err: err}
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return &FileError{File: file, Err: err}
	}
	return Decode(file, data, dst)
}

// Decode decodes data, the contents of a settings file, as Load does. The file name appears in the diagnostics only.
func Decode(file string, data []byte, dst any) error {
	d := &decoder{file: file, data: data, offsets: make(map[string]int)}
	d.decode(reflect.ValueOf(dst).Elem())
	if len(d.diagnostics) == 0 {
		return nil
	}
	slices.SortStableFunc(d.diagnostics, func(a, b Diagnostic) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return &ValidationError{Diagnostics: d.diagnostics}
}

// Checker is implemented by settings structs with rules that involve several keys.
type Checker interface {
	// Check reports each broken rule. The key is relative to the struct ("timing.lease"); an empty key stands for the
	// struct itself.
	Check(report func(key, problem string))
}

// Defaulter is implemented by settings structs with default values.
type Defaulter interface{ SetDefaults() }

// Diagnostic describes one problem of a settings file.
type Diagnostic struct {
	File string
	// Line and Column count from 1; columns count bytes.
	Line, Column int
	// Key is the full path of the key, for instance services.booking.slots; it is empty for the whole file.
	Key string
	// Problem says what is wrong with the key or its value, for instance "is missing".
	Problem string
}

// String returns the diagnostic in the form file:line:column: key: problem.
func (d Diagnostic) String() string {
	if d.Key == "" {
		return fmt.Sprintf("%s:%d:%d: %s", d.File, d.Line, d.Column, d.Problem)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", d.File, d.Line, d.Column, d.Key, d.Problem)
}

// ValidationError holds the diagnostics of one settings file, sorted by position. Programs print it and exit with
// code 2.
type ValidationError struct{ Diagnostics []Diagnostic }

// Error returns the diagnostics, one per line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Diagnostics))
	for i, d := range e.Diagnostics {
		lines[i] = d.String()
	}
	return strings.Join(lines, "\n")
}

// FileError reports a settings file that cannot be read. Programs print it and exit with code 2.
type FileError struct {
	File string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Err) }

// Unwrap returns the error of the file system.
func (e *FileError) Unwrap() error { return e.Err }
