package main

import (
	"context"
	"flag"
	"fmt"

	"sardinecross.example/lib/common/ident"
	"sardinecross.example/lib/common/sets"
	"sardinecross.example/lib/conf"
	"sardinecross.example/lib/config"
)

// outOfServiceCommand returns the command "out", which takes a data centre or upstream out of service, or "back", which
// returns it to service.
func outOfServiceCommand(name string) command {
	summary := "Take a data centre or upstream out of service"
	if name == "back" {
		summary = "Return a data centre or upstream to service"
	}
	return command{
		name:    name,
		args:    "dataCentre NAME | upstream ID",
		summary: summary,
		examples: []string{
			"-settings ops.json " + name + " dataCentre landshut",
			"-settings ops.json " + name + " upstream booking-7",
		},
		operands: 2,
		prepare: func(t *tool, flags *flag.FlagSet) func(context.Context, []string) error {
			force := false
			if name == "out" {
				flags.BoolVar(&force, "force", false, "allow the last data centre in service, or a data centre without hosts in the host list")
			}
			return func(ctx context.Context, operands []string) error {
				return t.setOutOfService(ctx, operands, name == "out", force)
			}
		},
	}
}

func (t *tool) setOutOfService(ctx context.Context, operands []string, out, force bool) error {
	item := conf.Item{Kind: conf.Kind(operands[0]), Name: operands[1]}
	if item.Kind != conf.KindDataCentre && item.Kind != conf.KindUpstream {
		return &usageError{Problem: fmt.Sprintf("unknown kind %q: must be dataCentre or upstream", operands[0])}
	}
	s, err := t.openSession(ctx)
	if err != nil {
		return err
	}
	defer s.close()
	if item.Kind == conf.KindDataCentre && out && !force {
		if err := s.checkLastDataCentre(ctx, ident.DataCentre(item.Name)); err != nil {
			return err
		}
	}
	return s.changeItem(ctx, item, conf.Value{Out: out})
}

// checkLastDataCentre returns an error if name is the last data centre in service or has no host in the host list. The
// check is not atomic: two operators can still take the last two data centres out of service at the same time.
func (s *session) checkLastDataCentre(ctx context.Context, name ident.DataCentre) error {
	list := s.tool.openHostList(s.cfg.Platform.HostList.String())
	defer list.Close()
	entries, err := list.Read(ctx)
	if err != nil {
		return err
	}
	all := make(sets.Set[ident.DataCentre])
	for _, e := range entries {
		all[e.DataCentre] = struct{}{}
	}
	if !all.Has(name) {
		return &unknownDataCentreError{DataCentre: name}
	}
	for other := range all {
		if other != name && !s.store.View().DataCentreOut(other) {
			return nil
		}
	}
	return &lastDataCentreError{DataCentre: name}
}

// siteStatus is the JSON output of the command status.
type siteStatus struct {
	Version        int64              `json:"version"`
	DataCentresOut []ident.DataCentre `json:"dataCentresOut"`
	UpstreamsOut   []ident.UpstreamID `json:"upstreamsOut"`
	Hosts          []hostStatus       `json:"hosts"`
}

func statusCommand() command {
	return command{
		name:     "status",
		summary:  "Show the data centres and upstreams out of service, and the configuration version of each host",
		examples: []string{"-settings ops.json status", "-settings ops.json status -json"},
		prepare: func(t *tool, _ *flag.FlagSet) func(context.Context, []string) error {
			return func(ctx context.Context, _ []string) error { return t.status(ctx) }
		},
	}
}

func (t *tool) status(ctx context.Context) error {
	s, err := t.openSession(ctx)
	if err != nil {
		return err
	}
	defer s.close()
	view := s.store.View()
	st := siteStatus{
		Version: view.Version(), DataCentresOut: []ident.DataCentre{}, UpstreamsOut: []ident.UpstreamID{},
		Hosts: readHostStatuses(ctx, s.cfg.Admin),
	}
	for _, item := range view.Items() {
		switch value, _ := view.Item(item); {
		case item.Kind == conf.KindDataCentre && value.Out:
			st.DataCentresOut = append(st.DataCentresOut, ident.DataCentre(item.Name))
		case item.Kind == conf.KindUpstream && value.Out:
			st.UpstreamsOut = append(st.UpstreamsOut, ident.UpstreamID(item.Name))
		}
	}
	return t.print(st, func() string {
		return fmt.Sprintf("version %d\ndata centres out: %v\nupstreams out: %v\n", st.Version, st.DataCentresOut, st.UpstreamsOut) +
			table("ADDRESS\tHOST\tDATA CENTRE\tVERSION\tAGE\tIN SERVICE\tERROR", st.Hosts, func(h hostStatus) []any {
				return []any{h.Address, h.Host, h.DataCentre, h.Configuration.Version, h.Configuration.Age, h.InService, h.Error}
			})
	})
}

func settingsCheckCommand() command {
	return command{
		name:     "settings check",
		args:     "FILE",
		summary:  "Check a settings file and report all its errors",
		examples: []string{"settings check passau-1.json", "settings check -program sardinectl ops.json"},
		operands: 1,
		prepare: func(t *tool, flags *flag.FlagSet) func(context.Context, []string) error {
			program := flags.String("program", "sardined", "`NAME` of the program that reads the file: sardined or sardinectl")
			return func(_ context.Context, operands []string) error {
				if err := checkSettings(*program, operands[0]); err != nil {
					return err
				}
				return t.print(map[string]string{"file": operands[0], "result": "ok"}, func() string {
					return operands[0] + ": ok\n"
				})
			}
		},
	}
}

func checkSettings(program, file string) error {
	var err error
	switch program {
	case "sardined":
		_, err = config.LoadDaemon(file)
	case "sardinectl":
		_, err = config.LoadOperator(file)
	default:
		err = &usageError{Problem: fmt.Sprintf("unknown program %q: must be sardined or sardinectl", program)}
	}
	return err
}
