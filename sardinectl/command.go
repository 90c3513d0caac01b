package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"sardinecross.example/lib/common/prog"
	"sardinecross.example/lib/config"
)

// Exit codes in addition to the common ones in package prog.
const (
	exitConflict       = 3
	exitUnknownOutcome = 4
)

// command is a subcommand of sardinectl.
type command struct {
	// name consists of one or two words, for example "status" or "class set"; args and summary are for the help text.
	name, args, summary string
	examples            []string
	// operands is the number of arguments that are not flags.
	operands int
	// prepare declares the flags of the command and returns the function that runs the command.
	prepare func(t *tool, flags *flag.FlagSet) func(ctx context.Context, operands []string) error
}

func commands() []command {
	return []command{
		classSetCommand(), classListCommand(),
		outOfServiceCommand("out"), outOfServiceCommand("back"),
		statusCommand(), explainCommand(), settingsCheckCommand(), keysCACommand(), keysHostCommand(),
	}
}

// run executes a command line, prints its error, if any, and returns the exit code.
func (t *tool) run(ctx context.Context, args []string) int {
	err := t.dispatch(ctx, args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return prog.ExitOK
	}
	_, _ = fmt.Fprintln(t.stderr, "sardinectl:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var (
		usage    *usageError
		file     *config.FileError
		invalid  *config.ValidationError
		conflict *conflictError
		unknown  *unknownOutcomeError
	)
	switch {
	case errors.As(err, &usage), errors.As(err, &file), errors.As(err, &invalid):
		return prog.ExitUsage
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unknown):
		return exitUnknownOutcome
	default:
		return prog.ExitFailed
	}
}

// dispatch finds the command in args and runs it. The flags that every command has may also precede the command.
func (t *tool) dispatch(ctx context.Context, args []string) error {
	flags := t.flagSet("sardinectl", func(w io.Writer) { printUsage(w) })
	version := flags.Bool("version", false, "print the version and exit")
	if err := parseFlags(flags, args); err != nil {
		return err
	}
	if *version {
		_, err := fmt.Fprintln(t.stdout, prog.Version("sardinectl"))
		return err
	}
	rest := flags.Args()
	for _, c := range commands() {
		words := strings.Fields(c.name)
		if len(rest) >= len(words) && strings.Join(rest[:len(words)], " ") == c.name {
			return t.runCommand(ctx, c, rest[len(words):])
		}
	}
	if len(rest) == 0 {
		return &usageError{Problem: "no command; see sardinectl --help"}
	}
	return &usageError{Problem: fmt.Sprintf("unknown command %q; see sardinectl --help", strings.Join(rest, " "))}
}

func (t *tool) runCommand(ctx context.Context, c command, args []string) error {
	flags := t.flagSet(c.name, func(w io.Writer) { printCommandUsage(w, c) })
	version := flags.Bool("version", false, "print the version and exit")
	run := c.prepare(t, flags)
	var operands []string
	// Package flag stops at the first operand. Parsing again after each operand allows flags to follow operands.
	for rest := args; ; {
		if err := parseFlags(flags, rest); err != nil {
			return err
		}
		if flags.NArg() == 0 {
			break
		}
		operands = append(operands, flags.Arg(0))
		rest = flags.Args()[1:]
	}
	if *version {
		_, err := fmt.Fprintln(t.stdout, prog.Version("sardinectl"))
		return err
	}
	if len(operands) != c.operands {
		return &usageError{Problem: fmt.Sprintf("usage: sardinectl %s %s", c.name, c.args)}
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return run(ctx, operands)
}

// flagSet returns a flag set with the flags that every command has. Their defaults are the current values, so that a flag
// before the command stays in effect.
func (t *tool) flagSet(name string, usage func(io.Writer)) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	if t.timeout == 0 {
		t.timeout = 15 * time.Second
	}
	flags.StringVar(&t.settingsFile, "settings", t.settingsFile, "operators' settings `FILE`")
	flags.BoolVar(&t.json, "json", t.json, "print JSON")
	flags.DurationVar(&t.timeout, "timeout", t.timeout, "time after which the command fails")
	flags.Usage = func() {
		usage(t.stdout)
		flags.SetOutput(t.stdout)
		_, _ = fmt.Fprintln(t.stdout, "\nFlags:")
		flags.PrintDefaults()
	}
	return flags
}

// parseFlags parses args. It prints the usage for --help only, not after an error.
func parseFlags(flags *flag.FlagSet, args []string) error {
	usage := flags.Usage
	flags.Usage = func() {}
	defer func() { flags.Usage = usage }()
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		usage()
		return err
	}
	if err != nil {
		return &usageError{Problem: err.Error()}
	}
	return nil
}

func printUsage(w io.Writer) {
	_, _ = fmt.Fprintln(w, "Usage: sardinectl [flags] COMMAND\n\nCommands:")
	for _, c := range commands() {
		_, _ = fmt.Fprintf(w, "  %-42s %s\n", strings.TrimSpace(c.name+" "+c.args), c.summary)
	}
	_, _ = fmt.Fprintln(w, "\nsardinectl COMMAND --help shows examples.")
	_, _ = fmt.Fprintln(w, "Exit codes: 0 done, 1 failed, 2 usage or settings, 3 conflict with another operator, 4 outcome unknown.")
}

func printCommandUsage(w io.Writer, c command) {
	_, _ = fmt.Fprintf(w, "Usage: sardinectl %s %s\n\n%s.\n\nExamples:\n", c.name, c.args, c.summary)
	for _, e := range c.examples {
		_, _ = fmt.Fprintln(w, "  sardinectl "+e)
	}
}

// loadSettings reads the operators' settings file.
func (t *tool) loadSettings() (config.Operator, error) {
	if t.settingsFile == "" {
		return config.Operator{}, &usageError{Problem: "-settings FILE is required"}
	}
	return config.LoadOperator(t.settingsFile)
}
