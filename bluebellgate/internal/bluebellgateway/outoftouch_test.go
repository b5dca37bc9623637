package bluebellgateway_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

// modelDocument returns a declaration with a model, a public route and two customers, whose keys are k and l. The
// keys may have changed hands.
func modelDocument(t *testing.T, version uint64, isolated, swapped bool) []byte {
	t.Helper()
	route := func(name string, public bool) bluebelldeployment.Route {
		return bluebelldeployment.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Work: bluebelldeployment.Idempotent, Attempts: 2, Timeout: 5 * time.Second, Objective: time.Second,
			Public: public, Targets: []bluebelldeployment.WeightedTarget{{Name: "app", Weight: 1}},
		}
	}
	keys := []string{"k", "l"}
	if swapped {
		keys = []string{"l", "k"}
	}
	text, err := bluebellplatform.EncodeDeclaration(bluebelldeployment.Declaration{
		Version: version, Targets: []bluebelldeployment.Target{{Name: "app", Engine: &bluebelldeployment.Engine{Slots: 8, Tokens: 100_000, TokenBytes: 1, Models: []string{"m0"}}}},
		Routes:    []bluebelldeployment.Route{route("read", false), route("public", true)},
		Customers: []bluebelldeployment.Customer{{Name: "c", Keys: keys[:1], Isolated: isolated}, {Name: "d", Keys: keys[1:]}},
		Limits:    bluebelldeployment.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	require.NoError(t, err)
	return text
}

// startModelCluster starts a cluster with one endpoint, which runs a model.
func startModelCluster(t *testing.T) *cluster {
	t.Helper()
	c := startCluster(t, 1)
	e, err := bluebellstub.Start(bluebellstub.Config{ID: "m-0", Target: "app", FailureDomain: "a", Weights: map[string]uint64{"m0": 1}, StartUnixMillis: 2})
	require.NoError(t, err)
	c.endpoints[0].Stop()
	c.replaceEndpoint(0, e)
	c.core.SetDeployment(2, &pb.Deployment{Version: 2, Document: modelDocument(t, 2, false, false)})
	return c
}

// run sends a call to the model and returns how the endpoint received it.
func (g *gate) run(path, key string) bluebellplatform.IncomingCall {
	t := g.cluster.t
	t.Helper()
	r, id := g.request(context.Background(), http.MethodGet, path, "", 2*time.Second)
	r.Header = bluebellplatform.CallerHeader(bluebellplatform.Call{
		ID: id, Key: key, TimeLeft: 2 * time.Second, Model: "m0", PromptTokens: 20, MaxOutputTokens: 1,
		Blocks: []bluebellplatform.Block{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 10}},
	})
	got := g.send(r, id)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	for _, e := range g.cluster.currentEndpoints() {
		for _, run := range e.Runs() {
			if run.Call.CallID == id {
				return run.Call
			}
		}
	}
	require.Fail(t, "the call has not run")
	return bluebellplatform.IncomingCall{}
}

// Guards against cached blocks that an entry shares between customers although one of them may have become isolated:
// no core process can be reached, or the one that can does not reach the others itself. Calls are served all the same,
// and share blocks again once the entry is up to date.
func TestEntryWithoutDeclarationsSharesNoBlocks(t *testing.T) {
	for name, set := range map[string]func(c *cluster, g *gate, out bool){
		"CutOffFromCore": func(_ *cluster, g *gate, out bool) { g.setCoreCut(out) },
		"CoreProcessCutOff": func(c *cluster, _ *gate, out bool) {
			c.coreBehind.Store(out)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startModelCluster(t)
			g := c.startGate("a")
			shared := g.run("/read/x", "k").CacheScope
			require.Equal(t, shared, g.run("/read/x", "l").CacheScope)
			require.Equal(t, shared, g.run("/public/x", "").CacheScope)
			set(c, g, true)
			time.Sleep(2 * time.Second)
			scopes := map[string]bool{shared: true}
			for _, own := range []bluebellplatform.IncomingCall{g.run("/read/x", "k"), g.run("/read/x", "l"), g.run("/public/x", ""), g.run("/public/x", "")} {
				require.False(t, scopes[own.CacheScope], own.CacheScope)
				scopes[own.CacheScope] = true
				require.Equal(t, own.Customer != "", own.Customer != "" && strings.HasPrefix(own.CacheScope, own.Customer+"/"), own.CacheScope)
			}
			require.Equal(t, g.run("/read/x", "k").CacheScope, g.run("/read/x", "k").CacheScope, "a customer shares blocks with itself")
			set(c, g, false)
			require.Eventually(t, func() bool { return g.run("/read/x", "k").CacheScope == shared }, testTimeout, 50*time.Millisecond)
		})
	}
}

// Guards against an entry that is cut off from the core processes, but not from other entries, and goes on with the owner
// of a key, a key, a route or an isolation of before.
func TestEntryCutOffFromCoreLearnsDeclarationsFromOthers(t *testing.T) {
	t.Parallel()
	c := startModelCluster(t)
	g := c.startGate("a")
	c.startGate("b")
	c.startGate("c")
	require.Eventually(t, func() bool { return g.run("/read/x", "k").CacheScope == g.run("/read/x", "l").CacheScope }, testTimeout, 50*time.Millisecond)
	time.Sleep(time.Second) // The entries are known to each other.
	require.Equal(t, "c", g.run("/read/x", "k").Customer)
	g.setCoreCut(true)
	c.core.SetDeployment(3, &pb.Deployment{Version: 3, Document: modelDocument(t, 3, true, true)})
	time.Sleep(2 * time.Second)
	first, second := g.run("/read/x", "k"), g.run("/read/x", "l")
	require.Equal(t, "d", first.Customer)
	require.Equal(t, "c", second.Customer)
	require.True(t, strings.HasPrefix(second.CacheScope, "c/"), second.CacheScope)
	require.False(t, strings.HasPrefix(first.CacheScope, "d/"), "who is isolated is known: %s", first.CacheScope)
	c.core.SetDeployment(4, &pb.Deployment{Version: 4, Document: modelDocument(t, 4, false, false)})
	require.Eventually(t, func() bool { return g.run("/read/x", "k").Customer == "c" }, 2*time.Second, 50*time.Millisecond)
}
