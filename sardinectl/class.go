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
		summary: "Publish a class; flags that are not set leave the values of an existing class unchanged",
		examples: []string{
			"-settings ops.json class set orders -service booking -target 50ms -deadline 2s -rank 1",
			"-settings ops.json class set orders -target 80ms",
			"-settings ops.json class set enquiries -service enquiry -target 30ms -deadline 1s -idempotent -rank 2",
		},
		operands: 1,
		prepare: func(t *tool, flags *flag.FlagSet) func(context.Context, []string) error {
			var flagValues conf.Class
			flags.Func("service", "`NAME` of the service that runs the class", func(s string) error {
				flagValues.Service = ident.ServiceName(s)
				return nil
			})
			flags.DurationVar(&flagValues.Target, "target", 0, "latency target: time within which a request should get its response")
			flags.DurationVar(&flagValues.Deadline, "deadline", 0, "time after which a request is abandoned")
			flags.BoolVar(&flagValues.Idempotent, "idempotent", false, "requests may safely run more than once")
			flags.IntVar(&flagValues.Rank, "rank", 1, "priority under overload; 1 is served first")
			return func(ctx context.Context, operands []string) error {
				return t.setClass(ctx, ident.ClassName(operands[0]), flagValues, flags)
			}
		},
	}
}

func (t *tool) setClass(ctx context.Context, name ident.ClassName, flagValues conf.Class, flags *flag.FlagSet) error {
	s, err := t.openSession(ctx)
	if err != nil {
		return err
	}
	defer s.close()
	class, ok := s.store.View().Class(name)
	if !ok {
		class = flagValues
	}
	flags.Visit(func(f *flag.Flag) {
		switch f.Name {
		case "service":
			class.Service = flagValues.Service
		case "target":
			class.Target = flagValues.Target
		case "deadline":
			class.Deadline = flagValues.Deadline
		case "idempotent":
			class.Idempotent = flagValues.Idempotent
		case "rank":
			class.Rank = flagValues.Rank
		}
	})
	return s.changeItem(ctx, conf.ClassItem(name), conf.Value{Class: class})
}

// classRow is one class in the output of the command class list.
type classRow struct {
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
	s, err := t.openSession(ctx)
	if err != nil {
		return err
	}
	defer s.close()
	rows := []classRow{}
	for _, name := range s.store.View().Classes() {
		value, version := s.store.View().Item(conf.ClassItem(name))
		c := value.Class
		rows = append(rows, classRow{
			Name: name, Service: c.Service, Target: c.Target.String(), Deadline: c.Deadline.String(),
			Idempotent: c.Idempotent, Rank: c.Rank, Version: version,
		})
	}
	return t.print(rows, func() string {
		return table("CLASS\tSERVICE\tTARGET\tDEADLINE\tIDEMPOTENT\tRANK\tVERSION", rows, func(r classRow) []any {
			return []any{r.Name, r.Service, r.Target, r.Deadline, r.Idempotent, r.Rank, r.Version}
		})
	})
}

// table returns a text table with tab-separated column headings and one row for each value.
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
