package main

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/conf"
)

func classSetCommand() command {
	return command{
		name:    "class set",
		args:    "NAME [flags]",
		summary: "Publish a class and its target; values that are not given stay as they are",
		examples: []string{
			"-settings ops.json class set orders -service booking -target 50ms -deadline 2s -rank 1",
			"-settings ops.json class set orders -target 80ms",
			"-settings ops.json class set enquiries -service enquiry -target 30ms -deadline 1s -idempotent -rank 2",
		},
		operands: 1,
		prepare: func(t *tool, flags *flag.FlagSet) func(context.Context, []string) error {
			var given conf.Class
			flags.Func("service", "`NAME` of the service that runs the class", func(s string) error {
				given.Service = ident.ServiceName(s)
				return nil
			})
			flags.DurationVar(&given.Target, "target", 0, "time within which a request should be answered")
			flags.DurationVar(&given.Deadline, "deadline", 0, "time after which a request is given up")
			flags.BoolVar(&given.Idempotent, "idempotent", false, "requests may be repeated")
			flags.IntVar(&given.Rank, "rank", 1, "order under overload; 1 is served first")
			return func(ctx context.Context, operands []string) error {
				return t.setClass(ctx, ident.ClassName(operands[0]), given, flags)
			}
		},
	}
}

func (t *tool) setClass(ctx context.Context, name ident.ClassName, given conf.Class, flags *flag.FlagSet) error {
	s, err := t.open(ctx)
	if err != nil {
		return err
	}
	defer s.close()
	class, ok := s.store.View().Class(name)
	if !ok {
		class = given
	}
	flags.Visit(func(f *flag.Flag) {
		switch f.Name {
		case "service":
			class.Service = given.Service
		case "target":
			class.Target = given.Target
		case "deadline":
			class.Deadline = given.Deadline
		case "idempotent":
			class.Idempotent = given.Idempotent
		case "rank":
			class.Rank = given.Rank
		}
	})
	return s.change(ctx, conf.ClassItem(name), conf.Value{Class: class})
}

// classLine is one class in the output.
type classLine struct {
	Name       ident.ClassName   `json:"name"`
	Service    ident.ServiceName `json:"service"`
	Target     string            `json:"target"`
	Deadline   string            `json:"deadline"`
	Idempotent bool              `json:"idempotent"`
	Rank       int               `json:"rank"`
	Version    int64             `json:"version"`
}

func classListCommand() command {
	return command{
		name:     "class list",
		summary:  "List the classes",
		examples: []string{"-settings ops.json class list", "-settings ops.json class list -json"},
		prepare: func(t *tool, _ *flag.FlagSet) func(context.Context, []string) error {
			return func(ctx context.Context, _ []string) error { return t.listClasses(ctx) }
		},
	}
}

func (t *tool) listClasses(ctx context.Context) error {
	s, err := t.open(ctx)
	if err != nil {
		return err
	}
	defer s.close()
	lines := []classLine{}
	for _, name := range s.store.View().Classes() {
		value, version := s.store.View().Item(conf.ClassItem(name))
		c := value.Class
		lines = append(lines, classLine{
			Name: name, Service: c.Service, Target: c.Target.String(), Deadline: c.Deadline.String(),
			Idempotent: c.Idempotent, Rank: c.Rank, Version: version,
		})
	}
	return t.print(lines, func() string {
		return table("CLASS\tSERVICE\tTARGET\tDEADLINE\tIDEMPOTENT\tRANK\tVERSION", lines, func(l classLine) []any {
			return []any{l.Name, l.Service, l.Target, l.Deadline, l.Idempotent, l.Rank, l.Version}
		})
	})
}

// table aligns one line for each value under a heading.
func table[T any](heading string, values []T, columns func(T) []any) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, heading)
	for _, v := range values {
		var cells []string
		for _, c := range columns(v) {
			cells = append(cells, fmt.Sprint(c))
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	_ = w.Flush()
	return b.String()
}
