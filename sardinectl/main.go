// Command sardinectl is the operators' tool: it publishes classes, takes data centres and upstreams out of service and
// returns them, and shows the state of the hosts.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"sardinecross.example/lib/applog"
	"sardinecross.example/lib/roster"
)

func main() { os.Exit(runProcess()) }

// runProcess runs the tool until it ends or a signal cancels it, and returns the exit code.
func runProcess() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return newTool(os.Stdout, os.Stderr).run(ctx, os.Args[1:])
}

// logClient is the part of applog.Client that the tool uses; tests replace it.
type logClient interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int) (applog.Batch, error)
	Close()
}

// hostList is the part of roster.Client that the tool uses; tests replace it.
type hostList interface {
	Read(ctx context.Context) ([]roster.Entry, error)
	Close()
}

var (
	_ logClient = (*applog.Client)(nil)
	_ hostList  = (*roster.Client)(nil)
)

// tool runs one command line. It holds the output streams, the constructors of the platform clients, the timings and the
// values of the common flags, so that tests can replace them.
type tool struct {
	stdout, stderr io.Writer
	openLog        func(address string) logClient
	openHostList   func(address string) hostList
	// pollInterval is the pause between two reads of the log, and between two rounds of status requests to the hosts.
	pollInterval time.Duration
	// logTimeout limits one append to the log or one read of it, so that time is left to read the log after an append that
	// got no response.
	logTimeout time.Duration
	// reappendAfter is the time after which a proposal that has not appeared in the log is appended again. Both records
	// carry the same proposal ID, so the proposal is decided only once.
	reappendAfter time.Duration

	// Values of the flags that every command has.
	settingsFile string
	json         bool
	timeout      time.Duration
}

func newTool(stdout, stderr io.Writer) *tool {
	return &tool{
		stdout:        stdout,
		stderr:        stderr,
		openLog:       func(address string) logClient { return applog.New(address) },
		openHostList:  func(address string) hostList { return roster.New(address) },
		logTimeout:    2 * time.Second,
		pollInterval:  100 * time.Millisecond,
		reappendAfter: time.Second,
	}
}
