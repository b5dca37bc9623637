package bluebellorder_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/platform/bluebellplatform"
)

// An endpoint refuses every fencing number. A refused number must not be used for any further order,
// and this endpoint must not keep the others from their weights.
func TestRefusedFencingNumberIsNotUsedAgain(t *testing.T) {
	c := newCluster(t, 0)
	var mu sync.Mutex
	var refused []uint64
	var refusedAt []time.Time
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == bluebellplatform.ReportPath {
			text, err := bluebellplatform.EncodeReport(bluebellplatform.EndpointReport{Weights: map[string]uint64{"m0": 1}})
			if err == nil {
				_, _ = w.Write(text)
			}
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		order, _, err := bluebellplatform.DecodeWeightsOrder(r.Header, body)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		refused, refusedAt = append(refused, order.Fencing), append(refusedAt, time.Now())
		w.WriteHeader(bluebellplatform.OrderFencingRefused)
	}))
	t.Cleanup(refusing.Close)
	register := func(id, address string) {
		c.registry.Merge(bluebellfleet.Endpoint{
			ID: id, Target: "llm", Address: address, State: bluebellfleet.Serving,
			StartUnixMillis: 1, Sequence: 1, Weights: map[string]uint64{"m0": 1}, ReceivedAt: c.now(),
		})
	}
	register("refusing", strings.TrimPrefix(refusing.URL, "http://"))
	c.requested.Store(2)
	refusals := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(refused)
	}
	require.Eventually(t, func() bool { return refusals() == 1 }, eventTimeout, time.Millisecond)

	e := &endpoint{id: "i-0", version: 1}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(e, w, r) }))
	t.Cleanup(e.server.Close)
	register(e.id, strings.TrimPrefix(e.server.URL, "http://"))
	numbers := func() []uint64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.fencingNumbers
	}
	require.Eventually(t, func() bool { return len(numbers()) > 0 }, eventTimeout, time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, []uint64{2}, numbers(), "the refused number is 1")
	require.Equal(t, []uint64{1}, refused)
	require.Greater(t, time.Since(refusedAt[0]), 200*time.Millisecond, "the lease is taken anew")
}
