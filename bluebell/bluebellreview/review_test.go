package bluebellreview_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellreview"
)

// declaration returns a valid declaration without findings.
func declaration() bluebelldeployment.Declaration {
	return bluebelldeployment.Declaration{
		Version: 7,
		Routes: []bluebelldeployment.Route{
			{
				Name: "chat", Host: "h.example", Prefix: "/chat/", Work: bluebelldeployment.Stream, Timeout: 12 * time.Second,
				Objective: 600 * time.Millisecond, MaxEventGap: 800 * time.Millisecond, Priority: 1, Attempts: 2, Resumable: true,
				Targets: []bluebelldeployment.WeightedTarget{{Name: "llm", Weight: 1}},
			},
			{
				Name: "order", Host: "h.example", Prefix: "/chat/order/", Timeout: 800 * time.Millisecond, Priority: 1, Attempts: 1, Public: true,
				Targets: []bluebelldeployment.WeightedTarget{{Name: "app", Weight: 9}, {Name: "llm", Weight: 1}},
			},
		},
		Targets: []bluebelldeployment.Target{
			{
				Name: "llm", MaxConnections: 360, ColdDuration: 3 * time.Second, ColdRate: 8.9,
				Engine: &bluebelldeployment.Engine{Slots: 64, Tokens: 93628, TokenBytes: 18432, Models: []string{"m"}},
				Scale:  &bluebelldeployment.Scale{Min: 1, Max: 4},
			},
			{Name: "app", MaxConnections: 96},
		},
		Stores: []bluebelldeployment.Store{
			{Name: "s1", Address: "10.0.0.6:8006", FailureDomain: "a", Tokens: 103140, BytesPerSecond: 1e9},
			{Name: "s2", Address: "10.0.0.7:8006", FailureDomain: "b", Tokens: 103140, BytesPerSecond: 1e9},
		},
		Customers: []bluebelldeployment.Customer{
			{Name: "c1", Keys: []string{"secret-1", "secret-2"}, HasPriority: true},
			{Name: "c2", Keys: []string{"secret-3"}, Isolated: true},
			{Name: "c3", Keys: []string{"secret-4"}, HasPriority: true},
		},
		Limits: bluebelldeployment.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

func texts[T interface{ String() string }](values []T) []string {
	var out []string
	for _, v := range values {
		out = append(out, v.String())
	}
	return out
}

// Guards against a mistake that is not reported, one that is attributed to another entry, a finding about
// a normal declaration, and an Error that the system does not refuse or the reverse.
func TestReview(t *testing.T) {
	type d = bluebelldeployment.Declaration
	for _, c := range []struct {
		name   string
		change func(*d)
		want   []string
	}{
		{"normal", func(*d) {}, nil},
		{"no version", func(d *d) { d.Version = 0 }, []string{`error: declaration: the declaration has no version`}},
		{"no timeout", func(d *d) { d.Routes[0].Timeout = 0 }, []string{`error: route "chat": no timeout`}},
		{"unknown target", func(d *d) { d.Routes[1].Targets[0].Name = "llm2" }, []string{
			`error: route "order": unknown target "llm2"`, `warning: target "app": no route uses it`,
		}},
		{"scale", func(d *d) { d.Targets[0].Scale.Min = 5 }, []string{
			`error: target "llm": cannot run between 5 and 4 endpoints in a failure domain`,
		}},
		{"shared key", func(d *d) { d.Customers[1].Keys[0] = "secret-1" }, []string{
			`error: declaration: customers "c1" and "c2" share a key`,
		}},
		{"hidden by the same prefix", func(d *d) { d.Routes[1].Host, d.Routes[1].Prefix = "H.example", "/chat/" }, []string{
			`error: declaration: routes "chat" and "order" share host and prefix`,
		}},
		{"other host, same prefix", func(d *d) { d.Routes[1].Host, d.Routes[1].Prefix = "other", "/chat/" }, nil},
		{"shortest prefix", func(d *d) { d.Routes[0].Prefix = "/" }, nil},
		{"no slash before", func(d *d) { d.Routes[0].Prefix = "chat/" }, []string{
			`warning: route "chat": the prefix "chat/" does not begin with a slash, so no call matches`,
		}},
		{"no slash after", func(d *d) { d.Routes[0].Prefix = "/chat" }, []string{
			`warning: route "chat": the prefix "/chat" does not end with a slash, so it also matches "/chatx"`,
		}},
		{"no prefix", func(d *d) { d.Routes[0].Prefix = "" }, []string{
			`warning: route "chat": the prefix is empty, so it matches every path of the host`,
		}},
		{"query in prefix", func(d *d) { d.Routes[0].Prefix = "/chat?a/" }, []string{
			`warning: route "chat": the prefix "/chat?a/" has characters that no path has, so no call matches`,
		}},
		{"no host", func(d *d) { d.Routes[0].Host = "" }, []string{
			`warning: route "chat": the host is empty, so it matches only calls that name no host`,
		}},
		{"host with port", func(d *d) { d.Routes[0].Host = "h.example:80" }, []string{
			`warning: route "chat": the host "h.example:80" has a port, so no call matches: calls are matched without their port`,
		}},
		{"IPv6 host", func(d *d) { d.Routes[0].Host = "fd00::1" }, nil},
		{"host with wildcard", func(d *d) { d.Routes[0].Host = "*.example" }, []string{
			`warning: route "chat": the host "*.example" has characters that no host has, so no call matches`,
		}},
		{"weight 0", func(d *d) { d.Routes[1].Targets[1].Weight = 0 }, []string{
			`warning: route "order": target "llm" has weight 0 and gets no calls`,
		}},
		{"all weights 0", func(d *d) { d.Routes[1].Targets[0].Weight, d.Routes[1].Targets[1].Weight = 0, 0 }, []string{
			`error: route "order": the weights of its targets add up to nothing`,
		}},
		{"stream that sends a target without an engine nothing", func(d *d) {
			d.Routes[0].Targets = append(d.Routes[0].Targets, bluebelldeployment.WeightedTarget{Name: "app"})
		}, []string{`warning: route "chat": target "app" has weight 0 and gets no calls`}},
		{"target twice in a route", func(d *d) { d.Routes[1].Targets[1].Name = "app" }, []string{
			`warning: route "order": target "app" is listed more than once`,
		}},
		{"stream without an engine", func(d *d) { d.Routes[0].Targets[0].Name = "app" }, []string{
			`warning: route "chat": it streams to target "app", which has no engine`,
		}},
		{"times of a route", func(d *d) {
			d.Routes[0].Timeout, d.Routes[0].Objective, d.Routes[0].MaxEventGap = 29*time.Millisecond, 30*time.Millisecond, 31*time.Millisecond
		}, []string{
			`warning: route "chat": the timeout 29ms is shorter than 30ms, so no attempt fits`,
			`warning: route "chat": the objective 30ms is longer than the timeout 29ms`,
			`warning: route "chat": the longest event gap 31ms is longer than the timeout 29ms`,
		}},
		{"times at their bounds", func(d *d) {
			d.Routes[0].Timeout, d.Routes[0].Objective, d.Routes[0].MaxEventGap = 30*time.Millisecond, 30*time.Millisecond, 30*time.Millisecond
		}, nil},
		{"negative times", func(d *d) { d.Routes[0].Objective, d.Routes[0].MaxEventGap = -time.Second, -time.Second }, []string{
			`warning: route "chat": the objective -1s is negative`, `warning: route "chat": the longest event gap -1s is negative`,
		}},
		{"attempts that cannot be repeated", func(d *d) { d.Routes[0].Resumable, d.Routes[1].Attempts = false, 3 }, []string{
			`warning: route "chat": it allows 2 attempts, but its calls may not be repeated`,
			`warning: route "order": it allows 3 attempts, but its calls may not be repeated`,
		}},
		{"resumable, but no stream", func(d *d) { d.Routes[1].Resumable = true }, []string{
			`warning: route "order": it may be resumed, but is no stream`,
		}},
		{"one event gap for all kinds", func(d *d) { d.Routes[1].MaxEventGap = time.Second }, nil},
		{"priorities", func(d *d) { d.Routes[0].Priority, d.Routes[1].Priority, d.Customers[0].Priority = 3, -1, 3 }, []string{
			`warning: route "chat": the priority 3 is not between 0 and 2`, `warning: route "order": the priority -1 is not between 0 and 2`,
			`warning: customer "c1": the priority 3 is not between 0 and 2`,
		}},
		{"names", func(d *d) {
			d.Routes[1].Name, d.Stores[0].Name, d.Stores[1].Name, d.Customers[2].Name = "chat", "app", "", "c1"
		}, []string{
			`warning: route "chat": the name is used more than once`, `warning: store "app": a target has the same name`,
			`warning: store "": the name is empty`, `warning: customer "c1": the name is used more than once`,
		}},
		{"target twice", func(d *d) { d.Targets = append(d.Targets, d.Targets[1]) }, []string{
			`warning: target "app": the name is used more than once`,
		}},
		{"fields of a target", func(d *d) {
			d.Targets[1] = bluebelldeployment.Target{Name: "app", HealthPath: "up", MaxConnections: -1, ColdDuration: -1, ColdRate: -1}
			d.Targets[0].ColdRate = 0
		}, []string{
			`warning: target "llm": it is cold for 3s, but without a cold rate cold endpoints are not limited`,
			`warning: target "app": the health path "up" does not begin with a slash`, `warning: target "app": the number of connections -1 is negative`,
			`warning: target "app": the cold duration -1ns is negative`, `warning: target "app": the cold rate -1 is negative`,
		}},
		{"empty engine", func(d *d) { d.Targets[0].Engine = &bluebelldeployment.Engine{} }, []string{
			`warning: target "llm": the engine has no models`, `warning: target "llm": the engine has no slots`,
			`warning: target "llm": the engine's memory of 0 tokens is smaller than one block of about 1000`,
			`warning: target "llm": the engine has no cache size for a token, but there are cache stores`,
		}},
		{"more slots than connections", func(d *d) { d.Targets[0].MaxConnections = 63 }, []string{
			`warning: target "llm": the engine has 64 slots, but an endpoint accepts only 63 connections`,
		}},
		{"stores", func(d *d) {
			d.Stores[0] = bluebelldeployment.Store{Name: "s1", Address: "10.0.0.7:8006", SetupDelay: -1}
			d.Stores[1].Tokens = 999
		}, []string{
			`warning: store "s1": it has no capacity`, `warning: store "s1": its link has no bandwidth`,
			`warning: store "s1": the delay before transfers -1ns is negative`, `warning: store "s1": it has no failure domain`,
			`warning: store "s2": another store has the address "10.0.0.7:8006"`,
			`warning: store "s2": its capacity of 999 tokens is smaller than one block of about 1000`,
		}},
		{"stores without engines", func(d *d) { d.Targets[0].Engine, d.Stores = nil, d.Stores[:1] }, []string{
			`warning: route "chat": it streams to target "llm", which has no engine`, `warning: store "s1": no target has an engine that could use it`,
		}},
		{"keys", func(d *d) {
			d.Customers[0].Keys, d.Customers[1].Keys, d.Customers[2].Keys = nil, []string{""}, []string{"secret-4", "secret-4", "secret-5 "}
		}, []string{
			`warning: customer "c1": it has no keys, so no call can be its own`, `warning: customer "c2": a key is empty, so calls without a key count as its own`,
			`warning: customer "c3": a key is listed more than once`,
			`warning: customer "c3": a key begins or ends with white space, which callers cannot send`,
		}},
		{"limits", func(d *d) {
			d.Limits = bluebelldeployment.Limits{MaxHeaderBytes: 9, MaxBodyBytes: 8, HeaderTimeout: 2 * time.Second, IdleTimeout: time.Second}
		}, []string{
			`warning: limits: the header limit of 9 bytes is above the body limit of 8 bytes`,
			`warning: limits: the idle timeout 1s is shorter than the header timeout 2s`,
		}},
		{"default limits", func(d *d) { d.Limits.MaxBodyBytes, d.Limits.IdleTimeout = 0, 0 }, nil},
		{"negative limits", func(d *d) {
			d.Limits = bluebelldeployment.Limits{MaxHeaderBytes: -1, MaxBodyBytes: -1, HeaderTimeout: -1, IdleTimeout: -1}
		}, []string{
			`warning: limits: the header limit of -1 bytes is negative`, `warning: limits: the body limit of -1 bytes is negative, so the default applies`,
			`warning: limits: the header timeout -1ns is negative`, `warning: limits: the idle timeout -1ns is negative`,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := declaration()
			c.change(&d)
			findings := bluebellreview.Review(d)
			require.Equal(t, c.want, texts(findings))
			_, refused := bluebelldeployment.New(d)
			hasError := slices.ContainsFunc(findings, func(f bluebellreview.Finding) bool { return f.Severity == bluebellreview.Error })
			require.Equal(t, !refused.Empty(), hasError, "an Error is what the system refuses")
		})
	}
}

// Guards against a wrong judgement of routes that hide each other: the routing of the system must
// agree that a call exists for a longer and for a shorter prefix.
func TestNestedPrefixesDoNotHideEachOther(t *testing.T) {
	d := declaration()
	require.Empty(t, bluebellreview.Review(d))
	deployment, findings := bluebelldeployment.New(d)
	require.True(t, findings.Empty())
	require.Equal(t, "chat", deployment.Route("h.example", "/chat/").Name)
	require.Equal(t, "order", deployment.Route("h.example", "/chat/order/").Name)
}
