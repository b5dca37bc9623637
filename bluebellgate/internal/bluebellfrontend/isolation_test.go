package bluebellfrontend_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

// modelDeployment returns a deployment with a model and the customers c and d, of which one is isolated if it is
// not "".
func modelDeployment(t *testing.T, isolated string) *bluebelldeployment.Deployment {
	t.Helper()
	d, findings := bluebelldeployment.New(bluebelldeployment.Declaration{
		Version: 1, Targets: []bluebelldeployment.Target{{Name: "app", Engine: &bluebelldeployment.Engine{Slots: 8, Tokens: 100_000, TokenBytes: 1, Models: []string{"m0"}}}},
		Routes: []bluebelldeployment.Route{{
			Name: "read", Host: "h.example", Prefix: "/read/", Work: bluebelldeployment.Idempotent, Attempts: 2, Timeout: 3 * time.Second, Objective: time.Second,
			Targets: []bluebelldeployment.WeightedTarget{{Name: "app", Weight: 1}},
		}},
		Customers: []bluebelldeployment.Customer{{Name: "c", Keys: []string{"k"}, Isolated: isolated == "c"}, {Name: "d", Keys: []string{"l"}, Isolated: isolated == "d"}},
	})
	require.True(t, findings.Empty(), findings.Error())
	return d
}

// A call that had arrived before a customer became isolated used the cached blocks of that customer in an attempt
// after it, or left its own to others.
func TestLaterAttemptFollowsIsolation(t *testing.T) {
	for _, isolated := range []string{"c", "d"} {
		e := startEntry(t, 2)
		fleet := bluebellplacement.Fleet{Entries: []string{"e1"}, TokenCapacity: map[string]int{"app": 100_000}, RegistrationsLive: true}
		for _, endpoint := range e.endpoints {
			endpoint.SetProcessingTime(300 * time.Millisecond)
			registered := endpoint.NextRegistration()
			registered.ReceivedAt, registered.Weights = e.now(), map[string]uint64{"m0": 1}
			fleet.Endpoints = append(fleet.Endpoints, registered)
		}
		e.placer.Update(fleet)
		e.behave(bluebellstub.Truncating)
		e.d.Store(modelDeployment(t, ""))
		later := modelDeployment(t, isolated)
		changed := make(chan struct{})
		go func() {
			defer close(changed)
			for len(e.runs()) == 0 {
				time.Sleep(time.Millisecond)
			}
			e.d.Store(later)
		}()
		e.send(http.MethodGet, "/read/x", "", bluebellplatform.Call{
			Key: "k", Model: "m0", PromptTokens: 20, MaxOutputTokens: 1, Blocks: []bluebellplatform.Block{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 10}},
		})
		<-changed
		runs := e.runs()
		require.Len(t, runs, 2)
		if runs[0].At.After(runs[1].At) {
			runs[0], runs[1] = runs[1], runs[0]
		}
		require.NotEqual(t, runs[0].Call.CacheScope, runs[1].Call.CacheScope)
		require.Equal(t, isolated == "c", strings.HasPrefix(runs[1].Call.CacheScope, "c/"), runs[1].Call.CacheScope)
	}
}
