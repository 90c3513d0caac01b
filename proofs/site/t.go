package site

// T is what a site needs of the test or measurement that runs it.
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
