// Command sardinectl is the operators' tool: it publishes classes, takes data centres and upstreams out of service and returns
// them, and shows the state of the hosts.
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

func runProcess() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return newTool(os.Stdout, os.Stderr).run(ctx, os.Args[1:])
}

// logClient is what the tool needs of the platform's log.
type logClient interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int) (applog.Batch, error)
	Close()
}

// hostList is what the tool needs of the platform's host list.
type hostList interface {
	Read(ctx context.Context) ([]roster.Entry, error)
	Close()
}

var (
	_ logClient = (*applog.Client)(nil)
	_ hostList  = (*roster.Client)(nil)
)

// tool is the program without the process around it.
type tool struct {
	stdout, stderr io.Writer
	openLog        func(address string) logClient
	openList       func(address string) hostList
	// poll is the time between two attempts to read the log or the hosts.
	poll time.Duration
	// callTimeout ends one append or read, so that time is left to read for an append that was not answered.
	callTimeout time.Duration
	// repeatAfter is the time after which an unanswered proposal that does not appear in the log is appended again. The repetition carries the
	// same ID and is decided once.
	repeatAfter time.Duration

	// The following are flags that every command has.
	settings string
	json     bool
	timeout  time.Duration
}

func newTool(stdout, stderr io.Writer) *tool {
	return &tool{
		stdout:      stdout,
		stderr:      stderr,
		openLog:     func(address string) logClient { return applog.New(address) },
		openList:    func(address string) hostList { return roster.New(address) },
		callTimeout: 2 * time.Second,
		poll:        100 * time.Millisecond,
		repeatAfter: time.Second,
	}
}
