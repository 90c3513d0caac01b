package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sardinecross.example/lib/explain"
	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/grant"
	"sardinecross.example/lib/orgs"
	"sardinecross.example/lib/route"
	"sardinecross.example/sardinegate/broker"
)

// fakeExplainer explains what fakeSelector decides.
type fakeExplainer struct {
	*fakeSelector
	unusable int // of the first candidates
}

func (x *fakeExplainer) Explain(_ context.Context, _ *fleet.View, req grant.AttemptRequest) broker.Explanation {
	e := broker.Explanation{Owner: "owner", AnsweredBy: "owner", Unusable: x.unusable}
	if x.refuse {
		e.Reason, e.RetryAfter = grant.NoRoom, 120*time.Millisecond
		return e
	}
	e.Upstream, e.Counts = "a", make([]int, grant.PassReasons)
	for i := range 4 {
		k := grant.Candidate{Upstream: string(rune('a' + i))}
		if i < x.unusable {
			k.Reason = grant.PassPaused
		}
		e.Candidates = append(e.Candidates, k)
		e.Counts[k.Reason]++
	}
	return e
}

func (a *fakeAllowances) Explain(*orgs.Organisation, bool) *explain.Allowance {
	if a.units > 0 {
		return &explain.Allowance{State: explain.Granted}
	}
	return &explain.Allowance{State: explain.Rejected, RetryAfterMs: 1500}
}

// Guards against an explanation that differs from what the request gets, contains its key, or takes a unit or an upstream.
func TestExplanationIsTheResponse(t *testing.T) {
	const key = "k"
	for name, c := range map[string]struct {
		path, key string
		header    []string
		prepare   func(f *fixture, a *fakeAllowances, x *fakeExplainer)
		status    int
		upstream  string
	}{
		"served":              {"/once/x", key, nil, nil, 200, "a"},
		"no route":            {"/none/x", key, nil, nil, 404, ""},
		"no key":              {"/once/x", "", nil, nil, 401, ""},
		"unknown key":         {"/once/x", "k2", nil, nil, 401, ""},
		"long headers":        {"/once/x", key, []string{"X", strings.Repeat("x", 4001)}, nil, 431, ""},
		"no id":               {"/once/x", key, []string{"Id", ""}, nil, 400, ""},
		"beyond the limit":    {"/once/x", key, nil, func(_ *fixture, a *fakeAllowances, _ *fakeExplainer) { a.units = 0 }, 429, ""},
		"no room":             {"/safe/x", key, nil, func(f *fixture, _ *fakeAllowances, _ *fakeExplainer) { f.selector.refuse = true }, 503, ""},
		"first ones unusable": {"/once/x", key, nil, func(_ *fixture, _ *fakeAllowances, x *fakeExplainer) { x.unusable = 2 }, 200, "c"},
		"all unusable":        {"/once/x", key, nil, func(_ *fixture, _ *fakeAllowances, x *fakeExplainer) { x.unusable = 3 }, 503, ""},
		"stopping": {"/once/x", key, nil, func(f *fixture, _ *fakeAllowances, _ *fakeExplainer) {
			f.stop.Begin(time.Now().Add(-time.Millisecond), 0)
		}, 503, ""},
		"no configuration": {"/once/x", key, nil, func(f *fixture, _ *fakeAllowances, _ *fakeExplainer) {
			f.deps.View = func() *fleet.View { return &fleet.View{} }
		}, 503, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f, allowances := newAllowanceFixture(t, 1, map[string]responder{"a": served, "b": served, "c": served})
			explainer := &fakeExplainer{fakeSelector: f.selector}
			if c.prepare != nil {
				c.prepare(f, allowances, explainer)
			}
			f.selector.noticed = map[string]fleet.Notice{}
			for i := range explainer.unusable {
				f.selector.noticed[string(rune('a'+i))] = fleet.Notice{Leaving: true}
			}
			x := &Explainer{
				Host: "h", Handler: f.Handler, Upstreams: explainer, Allowances: allowances,
				ConfigurationAge: func() time.Duration { return time.Second }, Stopping: f.stop.Begun,
				Progress: func() (operators, list fleet.Progress) {
					return fleet.Progress{Position: fleet.At(2, 7)}, fleet.Progress{Position: fleet.At(2, 9)}
				},
			}
			r := httptest.NewRequest(http.MethodPost, "http://a.example"+c.path, nil)
			for i, h := 0, append([]string{"Id", "1", "Left", "1s", "Key", c.key}, c.header...); i < len(h); i += 2 {
				r.Header.Set(h[i], h[i+1])
			}
			before := fmt.Sprint(f.timeLimits.longest, allowances.units)
			a := x.Explain(t.Context(), r)
			if after := fmt.Sprint(f.timeLimits.longest, allowances.units); after != before || len(f.selector.requests) != 0 {
				t.Errorf("state %s, before the explanation %s; %d upstreams asked for", after, before, len(f.selector.requests))
			}
			w := f.request(c.path, "", append([]string{"Key", c.key}, c.header...)...)
			status, reason := http.StatusOK, ""
			if a.Rejection != nil {
				status, reason = a.Rejection.Status, a.Rejection.Reason+"\n"
				if after := fmt.Sprintf("%.3f", float64(a.Rejection.RetryAfterMs)/1000); after != "0.000" && after != w.Header().Get("Retry-After") {
					t.Errorf("explained Retry-After %s, got %s", after, w.Header().Get("Retry-After"))
				}
			}
			if status != c.status || w.Code != c.status || reason != "" && reason != w.Body.String() {
				t.Errorf("explained %d %q, got %d %q, want %d", status, reason, w.Code, w.Body, c.status)
			}
			if a.Upstream != c.upstream || c.upstream != "" && f.sender.sent[0].Address != c.upstream {
				t.Errorf("explained upstream %q, want %q; sent %d", a.Upstream, c.upstream, len(f.sender.sent))
			}
			if text, err := json.Marshal(a); err != nil || strings.Contains(string(text), `"k"`) || strings.Contains(string(text), `"k2"`) {
				t.Errorf("%s contains the key, or error %v", text, err)
			}
			if (a.Configuration == nil) != (name == "no configuration") || a.Stopping != (name == "stopping") {
				t.Errorf("configuration %v, stopping %t", a.Configuration, a.Stopping)
			}
		})
	}
}

// Guards against a split route that is explained as if all its requests went to one service.
func TestSharesOfASplitRoute(t *testing.T) {
	rt := &route.Route{Split: []route.WeightedService{{Service: "s", Weight: 1}, {Service: "t", Weight: 3}}}
	if service, all := shares(rt); service != "t" || len(all) != 2 || all[0].Share != 0.25 {
		t.Errorf("got %s and %v, want t with three quarters", service, all)
	}
}
