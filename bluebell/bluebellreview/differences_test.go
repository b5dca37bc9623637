package bluebellreview_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellreview"
)

// Guards against a difference that is not reported, a wrong effect, and a report of what is the same.
func TestDifferences(t *testing.T) {
	type d = bluebelldeployment.Declaration
	for _, c := range []struct {
		name   string
		change func(*d)
		want   []string
	}{
		{"same", func(*d) {}, nil},
		{"order of entries", func(d *d) {
			slices.Reverse(d.Routes)
			slices.Reverse(d.Targets)
			slices.Reverse(d.Stores)
			slices.Reverse(d.Customers)
		}, nil},
		{"all weights doubled", func(d *d) { d.Routes[1].Targets[0].Weight, d.Routes[1].Targets[1].Weight = 18, 2 }, nil},
		{"case of the host", func(d *d) { d.Routes[0].Host = "H.Example" }, nil},
		{"route moves", func(d *d) { d.Routes[0].Targets[0].Name = "app" }, []string{
			`route "chat" changed: its calls move to other targets: "app" instead of "llm"`,
		}},
		{"shares", func(d *d) { d.Routes[1].Targets[0].Weight = 1 }, []string{
			`route "order" changed: its calls are divided differently: "app" (50%), "llm" (50%) instead of "app" (90%), "llm" (10%)`,
		}},
		{"times of a route", func(d *d) {
			d.Routes[0].Timeout, d.Routes[0].Objective, d.Routes[0].MaxEventGap = 6*time.Second, 0, time.Second
			d.Routes[1].Objective = time.Millisecond
		}, []string{
			`route "chat" changed: timeout becomes shorter, 6s instead of 12s: calls that take longer fail`,
			`route "chat" changed: objective 600ms is removed`, `route "chat" changed: longest event gap becomes longer, 1s instead of 800ms`,
			`route "order" changed: objective 1ms is new`,
		}},
		{"kind, priority, attempts, public", func(d *d) {
			d.Routes[1].Work, d.Routes[1].Priority, d.Routes[1].Attempts, d.Routes[1].Public = bluebelldeployment.Idempotent, 0, 2, false
			d.Routes[0].Resumable = false
		}, []string{
			`route "chat" changed: its calls may no longer be repeated`, `route "chat" changed: resumable true becomes false`,
			`route "order" changed: kind NonIdempotent becomes Idempotent`, `route "order" changed: its calls may be repeated`,
			`route "order" changed: priority 1 becomes 0: more urgent`, `route "order" changed: attempts 1 becomes 2`,
			`route "order" changed: is no longer public: its calls need a key`,
		}},
		{"route removed under another", func(d *d) { d.Routes = d.Routes[:1] }, []string{
			`route "order" removed: host "h.example" with prefix "/chat/order/"; its calls will use route "chat"`,
		}},
		{"route removed", func(d *d) { d.Routes = d.Routes[1:] }, []string{
			`route "chat" removed: host "h.example" with prefix "/chat/"; its calls will use no route (404)`,
		}},
		{"route added", func(d *d) {
			r := d.Routes[0]
			r.Name, r.Prefix = "a", "/chat/a/"
			d.Routes = append(d.Routes, r)
		}, []string{
			`route "a" added: host "h.example" with prefix "/chat/a/" is sent to "llm"; in force, its calls use route "chat"`,
		}},
		{"route added under two others", func(d *d) {
			r := d.Routes[0]
			r.Name, r.Prefix = "a", "/chat/order/a/"
			d.Routes = append(d.Routes, r)
		}, []string{
			`route "a" added: host "h.example" with prefix "/chat/order/a/" is sent to "llm"; in force, its calls use route "order"`,
		}},
		{"route added at another host", func(d *d) {
			r := d.Routes[0]
			r.Name, r.Host = "a", "other.example"
			d.Routes = append(d.Routes, r)
		}, []string{
			`route "a" added: host "other.example" with prefix "/chat/" is sent to "llm"; in force, its calls use no route (404)`,
		}},
		{"prefix", func(d *d) { d.Routes[1].Prefix = "/order/" }, []string{
			`route "order" changed: host "h.example" with prefix "/chat/order/" becomes host "h.example" with prefix "/order/"; ` +
				`calls to the former will use route "chat"`,
		}},
		{"targets", func(d *d) {
			d.Targets[1] = bluebelldeployment.Target{Name: "new"}
			engine, scale := *d.Targets[0].Engine, *d.Targets[0].Scale
			engine.Slots, engine.Tokens, engine.TokenBytes, engine.Models = 32, 1000, 1, []string{"m", "n"}
			scale.Min, scale.Max, scale.StartDuration = 2, 5, time.Second
			d.Targets[0] = bluebelldeployment.Target{Name: "llm", HealthPath: "/up", MaxConnections: 1, ColdDuration: time.Second, ColdRate: 1, Engine: &engine, Scale: &scale}
		}, []string{
			`target "app" removed`, `target "llm" changed: health path "" becomes "/up"`, `target "llm" changed: connections 360 becomes 1`,
			`target "llm" changed: cold duration becomes shorter, 1s instead of 3s`, `target "llm" changed: cold rate 8.9 becomes 1`,
			`target "llm" changed: slots 64 becomes 32: fewer calls run on an endpoint`, `target "llm" changed: memory in tokens 93628 becomes 1000`,
			`target "llm" changed: bytes for a token 18432 becomes 1`, `target "llm" changed: models ["m"] becomes ["m" "n"]`,
			`target "llm" changed: smallest scale 1 becomes 2`, `target "llm" changed: largest scale 4 becomes 5`,
			`target "llm" changed: start duration 1s is new`, `target "new" added`,
		}},
		{"engine and scale removed", func(d *d) { d.Targets[0].Engine, d.Targets[0].Scale = nil, nil }, []string{
			`target "llm" changed: it has no engine any more: nothing is cached for it`,
			`target "llm" changed: the system no longer changes its number of endpoints`,
		}},
		{"engine and scale added", func(d *d) {
			d.Targets[1].Engine, d.Targets[1].Scale = &bluebelldeployment.Engine{}, &bluebelldeployment.Scale{Min: 1, Max: 2}
		}, []string{
			`target "app" changed: it has an engine now`,
			`target "app" changed: the system now keeps between 1 and 2 endpoints in each failure domain`,
		}},
		{"stores", func(d *d) {
			d.Stores[0] = bluebelldeployment.Store{Name: "s1", Address: "x:1", FailureDomain: "c", Tokens: 1, BytesPerSecond: 2, SetupDelay: 1, Managed: true}
			d.Stores[1].Name = "s3"
		}, []string{
			`store "s1" changed: address 10.0.0.6:8006 becomes x:1`, `store "s1" changed: failure domain "a" becomes "c"`,
			`store "s1" changed: capacity in tokens 103140 becomes 1`, `store "s1" changed: bytes per second 1e+09 becomes 2`,
			`store "s1" changed: delay before transfers 1ns is new`, `store "s1" changed: it no longer evicts blocks by itself`,
			`store "s2" removed: its cached blocks are no longer used`, `store "s3" added: in failure domain "b"`,
		}},
		{"customers", func(d *d) {
			d.Customers = []bluebelldeployment.Customer{
				{Name: "c1", Keys: []string{"secret-2", "secret-5", "secret-6", "secret-5"}, Isolated: true},
				{Name: "c2", Keys: []string{"secret-3"}, HasPriority: true, Priority: 2},
				{Name: "c4", Keys: []string{"secret-7"}},
			}
		}, []string{
			`declaration changed: the isolated customers change: blocks that the other customers share are cached anew`,
			`customer "c1" changed: 2 keys added, 1 keys removed`, `customer "c1" changed: priority 0 becomes none`,
			`customer "c1" changed: becomes isolated: it shares no cached blocks any more`,
			`customer "c2" changed: priority none becomes 2`, `customer "c2" changed: is no longer isolated: it shares cached blocks`,
			`customer "c3" removed: its 1 keys are no longer its own`, `customer "c4" added: with 1 keys`,
		}},
		{"no customers", func(d *d) { d.Customers = nil }, []string{
			`declaration changed: it has no customers any more: no call needs a key`,
			`declaration changed: the isolated customers change: blocks that the other customers share are cached anew`,
			`customer "c1" removed: its 2 keys are no longer its own`, `customer "c2" removed: its 1 keys are no longer its own`,
			`customer "c3" removed: its 1 keys are no longer its own`,
		}},
		{"body limit becomes the default", func(d *d) { d.Limits.MaxBodyBytes = 0 }, []string{
			`limits changed: body limit in bytes 4194304 becomes 0`,
		}},
		{"limits", func(d *d) {
			d.Limits = bluebelldeployment.Limits{MaxHeaderBytes: 1, MaxBodyBytes: 2, HeaderTimeout: 4 * time.Second}
		}, []string{
			`limits changed: header limit in bytes 16384 becomes 1`, `limits changed: body limit in bytes 4194304 becomes 2: larger bodies are refused (413)`,
			`limits changed: header timeout becomes longer, 4s instead of 3s`, `limits changed: idle timeout 15s is removed`,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inForce, next := declaration(), declaration()
			next.Version++
			c.change(&next)
			want := append([]string{`declaration changed: version 7 becomes 8`}, c.want...)
			for range 10 { // map order differs between runs
				got := texts(bluebellreview.Differences(inForce, next))
				require.Equal(t, want, got)
				require.NotContains(t, strings.Join(got, " "), "secret", "a key must not be printed")
			}
		})
	}
}

// Guards against a declaration that operators believe to be in force, but that the system ignores.
func TestDifferencesNameAVersionThatIsNotNewer(t *testing.T) {
	require.Equal(t, []string{
		`declaration changed: version 7 is not newer than the version 7 in force: the system ignores the declaration`,
	}, texts(bluebellreview.Differences(declaration(), declaration())))
}

// Guards against entries that are lost or compared crosswise because they share a name.
func TestDifferencesPairEntriesOfOneNameInOrder(t *testing.T) {
	inForce, next := declaration(), declaration()
	inForce.Routes[1].Name, next.Routes[1].Name = "chat", "chat"
	next.Version++
	next.Routes[1].Timeout = time.Second
	require.Equal(t, []string{
		`declaration changed: version 7 becomes 8`,
		`route "chat" changed: timeout becomes longer, 1s instead of 800ms: calls may wait longer`,
	}, texts(bluebellreview.Differences(inForce, next)))
}
