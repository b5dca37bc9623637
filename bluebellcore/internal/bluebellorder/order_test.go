package bluebellorder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebellcore/internal/bluebellorder"
	"bluebellhaven.org/platform/bluebellplatform"
)

const patience = 20 * time.Second

// engine is an endpoint that loads weights.
type engine struct {
	server *httptest.Server
	id     string

	mu      sync.Mutex
	version uint64
	orders  []time.Time
	fences  []uint64
	busy    bool
	// late holds back the next order: it gets no answer, and is carried out by carryOut.
	late     bool
	carryOut func()
	accepted uint64
}

// cluster is a registry of engines with an orderer.
type cluster struct {
	registry *bluebellfleet.Registry
	started  time.Time
	engines  []*engine
	leads    atomic.Bool
	agrees   atomic.Bool
	loading  atomic.Int64
	most     atomic.Int64
	fencing  atomic.Uint64
	named    atomic.Uint64
}

func (c *cluster) now() time.Duration { return time.Since(c.started) + time.Second }

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	c := &cluster{started: time.Now()}
	c.registry = bluebellfleet.NewRegistry(bluebellfleet.Config{Now: c.now})
	c.leads.Store(true)
	c.agrees.Store(true)
	c.named.Store(1)
	for i := range n {
		e := &engine{id: fmt.Sprint("i-", i), version: 1}
		e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(e, w, r) }))
		t.Cleanup(e.server.Close)
		c.engines = append(c.engines, e)
		c.registry.Merge(bluebellfleet.Endpoint{
			ID: e.id, Target: "llm", Address: strings.TrimPrefix(e.server.URL, "http://"), State: bluebellfleet.Serving,
			Born: 1, Sequence: 1, Weights: map[string]uint64{"m0": 1}, HeardAt: c.now(),
		})
	}
	orderer := bluebellorder.New(bluebellorder.Config{
		Holder: "c1", Lease: 200 * time.Millisecond, Registry: c.registry,
		Deployment: func() (*pb.Deployment, uint64) {
			return &pb.Deployment{Weights: []*pb.ModelWeights{{Model: "m0", Version: c.named.Load()}}}, 1
		},
		SetLoading: func(ids []string) {
			c.loading.Store(int64(len(ids)))
			c.most.Store(max(c.most.Load(), int64(len(ids))))
		},
		Leads: c.leads.Load,
		Propose: func(_ context.Context, command *pb.Command) (*pb.Result, error) {
			if !c.agrees.Load() {
				return nil, errors.New("no quorum")
			}
			if command.GetTakeOrders() != nil {
				return &pb.Result{Fencing: c.fencing.Add(1)}, nil
			}
			return &pb.Result{}, nil
		},
		Now: c.now, Count: func(string) {}, Logger: log.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		orderer.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c
}

func (c *cluster) serve(e *engine, w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == bluebellplatform.ReportPath {
		text, err := bluebellplatform.EncodeReport(bluebellplatform.Report{
			Weights: map[string]uint64{"m0": e.version}, Busy: e.busy, Sequence: e.accepted,
		})
		if err == nil {
			_, _ = w.Write(text)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	order, endpoint, err := bluebellplatform.DecodeWeightsOrder(r.Header, body)
	if err != nil || endpoint != e.id {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.orders, e.fences = append(e.orders, time.Now()), append(e.fences, order.Fencing)
	accept := func() bool {
		if order.Sequence != nil && *order.Sequence != e.accepted {
			return false
		}
		e.accepted++
		e.busy = true
		time.AfterFunc(50*time.Millisecond, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.version, e.busy = order.Version, false
		})
		return true
	}
	switch {
	case e.late:
		e.late, e.carryOut = false, func() { accept() }
		w.WriteHeader(http.StatusGatewayTimeout)
	case accept():
		w.WriteHeader(http.StatusAccepted)
	default:
		w.WriteHeader(http.StatusConflict)
	}
}

func (c *cluster) orders() int {
	n := 0
	for _, e := range c.engines {
		e.mu.Lock()
		n += len(e.orders)
		e.mu.Unlock()
	}
	return n
}

func (c *cluster) allHave(version uint64) bool {
	for _, e := range c.registry.Endpoints() {
		if e.Weights["m0"] != version {
			return false
		}
	}
	return true
}

func TestEnginesAreBroughtToTheNamedWeights(t *testing.T) {
	c := newCluster(t, 6)
	c.named.Store(2)
	require.Eventually(t, func() bool { return c.allHave(2) }, patience, 10*time.Millisecond)
	require.LessOrEqual(t, c.most.Load(), int64(3), "capacity is kept")
	require.Equal(t, 6, c.orders(), "one order each")
	for _, e := range c.engines {
		require.Equal(t, []uint64{1}, e.fences)
	}
}

func TestOnlyALeaderWithAQuorumOrders(t *testing.T) {
	c := newCluster(t, 2)
	c.leads.Store(false)
	c.named.Store(2)
	time.Sleep(500 * time.Millisecond)
	require.Zero(t, c.orders())
	c.agrees.Store(false)
	c.leads.Store(true)
	time.Sleep(2 * time.Second)
	require.Zero(t, c.orders(), "no proof of leadership")
	c.agrees.Store(true)
	require.Eventually(t, func() bool { return c.allHave(2) }, patience, 10*time.Millisecond)
}

func TestANewLeaderWaitsAndTakesANewFencingNumber(t *testing.T) {
	c := newCluster(t, 1)
	c.named.Store(2)
	require.Eventually(t, func() bool { return c.allHave(2) }, patience, 10*time.Millisecond)
	c.leads.Store(false)
	time.Sleep(300 * time.Millisecond)
	c.leads.Store(true)
	leading := time.Now()
	c.named.Store(3)
	require.Eventually(t, func() bool { return c.orders() == 2 }, patience, 10*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(leading), 200*time.Millisecond, "orders of the leader before may be on their way")
	require.Equal(t, []uint64{1, 2}, c.engines[0].fences)
}

// An order gets no answer and is carried out late, after a newer one. It must not take
// the endpoint back to older weights.
func TestALateOrderDoesNotTakeWeightsBack(t *testing.T) {
	c := newCluster(t, 1)
	e := c.engines[0]
	e.mu.Lock()
	e.late = true
	e.mu.Unlock()
	c.named.Store(2)
	require.Eventually(t, func() bool { return c.orders() == 1 }, patience, time.Millisecond)
	c.named.Store(3)
	require.Eventually(t, func() bool { return c.allHave(3) }, patience, 10*time.Millisecond)
	e.mu.Lock()
	e.carryOut()
	e.mu.Unlock()
	require.Never(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.version < 3
	}, 300*time.Millisecond, 10*time.Millisecond)
}
