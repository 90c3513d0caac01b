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

// Exit codes beside those of all programs.
const (
	exitConflict = 3
	exitUnknown  = 4
)

// command is one sub-command.
type command struct {
	// name is one or two words.
	name, args, summary string
	examples            []string
	// operands is the number of arguments beside flags.
	operands int
	// prepare declares the command's own flags and returns the function that runs it.
	prepare func(t *tool, flags *flag.FlagSet) func(ctx context.Context, operands []string) error
}

func commands() []command {
	return []command{
		classSetCommand(), classListCommand(),
		outCommand("out"), outCommand("back"),
		statusCommand(), settingsCheckCommand(), keysCACommand(), keysHostCommand(),
	}
}

// run returns the exit code.
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
		unknown  *unknownError
	)
	switch {
	case errors.As(err, &usage), errors.As(err, &file), errors.As(err, &invalid):
		return prog.ExitUsage
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unknown):
		return exitUnknown
	default:
		return prog.ExitFailed
	}
}

// dispatch finds the command; flags that every command has may also precede it.
func (t *tool) dispatch(ctx context.Context, args []string) error {
	flags := t.flagSet("sardinectl", func(w io.Writer) { usageOfAll(w) })
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
	flags := t.flagSet(c.name, func(w io.Writer) { usageOf(w, c) })
	version := flags.Bool("version", false, "print the version and exit")
	run := c.prepare(t, flags)
	var operands []string
	// Flags may follow operands, which the flag package does not support by itself.
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

// flagSet declares the flags that every command has. A flag given before the command stays in effect.
func (t *tool) flagSet(name string, usage func(io.Writer)) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	if t.timeout == 0 {
		t.timeout = 15 * time.Second
	}
	flags.StringVar(&t.settings, "settings", t.settings, "operators' settings `FILE`")
	flags.BoolVar(&t.json, "json", t.json, "print JSON")
	flags.DurationVar(&t.timeout, "timeout", t.timeout, "give up after this time")
	flags.Usage = func() {
		usage(t.stdout)
		flags.SetOutput(t.stdout)
		_, _ = fmt.Fprintln(t.stdout, "\nFlags:")
		flags.PrintDefaults()
	}
	return flags
}

// parseFlags prints the usage only where it was asked for.
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

func usageOfAll(w io.Writer) {
	_, _ = fmt.Fprintln(w, "Usage: sardinectl [flags] COMMAND\n\nCommands:")
	for _, c := range commands() {
		_, _ = fmt.Fprintf(w, "  %-42s %s\n", strings.TrimSpace(c.name+" "+c.args), c.summary)
	}
	_, _ = fmt.Fprintln(w, "\nsardinectl COMMAND --help shows examples.")
	_, _ = fmt.Fprintln(w, "Exit codes: 0 done, 1 failed, 2 usage or settings, 3 conflict with another operator, 4 outcome unknown.")
}

func usageOf(w io.Writer, c command) {
	_, _ = fmt.Fprintf(w, "Usage: sardinectl %s %s\n\n%s.\n\nExamples:\n", c.name, c.args, c.summary)
	for _, e := range c.examples {
		_, _ = fmt.Fprintln(w, "  sardinectl "+e)
	}
}

// operator reads the settings of the tool.
func (t *tool) operator() (config.Operator, error) {
	if t.settings == "" {
		return config.Operator{}, &usageError{Problem: "-settings FILE is required"}
	}
	return config.LoadOperator(t.settings)
}
