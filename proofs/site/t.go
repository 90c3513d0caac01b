package site

// T is the part of testing.TB that a site needs. Measurements implement it too.
type T interface {
	Helper()
	Cleanup(f func())
	TempDir() string
	Failed() bool
	Log(args ...any)
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}
