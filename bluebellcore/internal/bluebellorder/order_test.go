package bluebellorder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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

const eventTimeout = 20 * time.Second

// endpoint is a fake endpoint that loads weights.
type endpoint struct {
	server *httptest.Server
	id     string

	mu             sync.Mutex
	version        uint64
	orders         []time.Time
	fencingNumbers []uint64
	busy           bool
	// delayNext delays the next order: it is answered with status 504, and runDelayed carries
	// it out.
	delayNext  bool
	runDelayed func()
	accepted   uint64
}

// cluster is an orderer with a registry of fake endpoints.
type cluster struct {
	registry   *bluebellfleet.Registry
	started    time.Time
	endpoints  []*endpoint
	isLeader   atomic.Bool
	hasQuorum  atomic.Bool
	loading    atomic.Int64
	maxLoading atomic.Int64
	fencing    atomic.Uint64
	requested  atomic.Uint64
	// dialDelay is how long a connection takes to open, a time.Duration.
	dialDelay atomic.Int64
	// barrierAt is the time of the latest barrier by now, a time.Duration.
	barrierAt atomic.Int64
}

func (c *cluster) now() time.Duration { return time.Since(c.started) + time.Second }

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	c := &cluster{started: time.Now()}
	c.registry = bluebellfleet.NewRegistry(bluebellfleet.Config{Now: c.now})
	c.isLeader.Store(true)
	c.hasQuorum.Store(true)
	c.requested.Store(1)
	for i := range n {
		e := &endpoint{id: fmt.Sprint("i-", i), version: 1}
		e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(e, w, r) }))
		t.Cleanup(e.server.Close)
		c.endpoints = append(c.endpoints, e)
		c.registry.Merge(bluebellfleet.Endpoint{
			ID: e.id, Target: "llm", Address: strings.TrimPrefix(e.server.URL, "http://"), State: bluebellfleet.Serving,
			StartUnixMillis: 1, Sequence: 1, Weights: map[string]uint64{"m0": 1}, ReceivedAt: c.now(),
		})
	}
	orderer := bluebellorder.New(bluebellorder.Config{
		Holder: "c1", Lease: 200 * time.Millisecond, Registry: c.registry,
		Deployment: func() (*pb.Deployment, uint64) {
			return &pb.Deployment{Weights: []*pb.ModelWeights{{Model: "m0", Version: c.requested.Load()}}}, 1
		},
		SetLoading: func(ids []string) {
			c.loading.Store(int64(len(ids)))
			c.maxLoading.Store(max(c.maxLoading.Load(), int64(len(ids))))
		},
		IsLeader: c.isLeader.Load,
		Propose: func(_ context.Context, command *pb.Command) (*pb.Result, error) {
			if !c.hasQuorum.Load() {
				return nil, errors.New("no quorum")
			}
			if command.GetTakeOrders() != nil {
				return &pb.Result{Fencing: c.fencing.Add(1)}, nil
			}
			c.barrierAt.Store(int64(c.now()))
			return &pb.Result{}, nil
		},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(time.Duration(c.dialDelay.Load()))
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
		Now: c.now, IncrementCounter: func(string) {}, Logger: log.New(io.Discard),
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

func (c *cluster) serve(e *endpoint, w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == bluebellplatform.ReportPath {
		text, err := bluebellplatform.EncodeReport(bluebellplatform.EndpointReport{
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
	order, target, err := bluebellplatform.DecodeWeightsOrder(r.Header, body)
	if err != nil || target != e.id {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.orders, e.fencingNumbers = append(e.orders, time.Now()), append(e.fencingNumbers, order.Fencing)
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
	case e.delayNext:
		e.delayNext, e.runDelayed = false, func() { accept() }
		w.WriteHeader(http.StatusGatewayTimeout)
	case accept():
		w.WriteHeader(http.StatusAccepted)
	default:
		w.WriteHeader(http.StatusConflict)
	}
}

func (c *cluster) orders() int {
	n := 0
	for _, e := range c.endpoints {
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

func TestEndpointsLoadRequestedWeights(t *testing.T) {
	c := newCluster(t, 6)
	c.requested.Store(2)
	require.Eventually(t, func() bool { return c.allHave(2) }, eventTimeout, 10*time.Millisecond)
	require.LessOrEqual(t, c.maxLoading.Load(), int64(3), "endpoints that load at once")
	require.Equal(t, 6, c.orders(), "one order per endpoint")
	for _, e := range c.endpoints {
		require.Equal(t, []uint64{1}, e.fencingNumbers)
	}
}

func TestOrdersRequireLeadershipAndQuorum(t *testing.T) {
	c := newCluster(t, 2)
	c.isLeader.Store(false)
	c.requested.Store(2)
	time.Sleep(500 * time.Millisecond)
	require.Zero(t, c.orders())
	c.hasQuorum.Store(false)
	c.isLeader.Store(true)
	time.Sleep(2 * time.Second)
	require.Zero(t, c.orders(), "orders without proof of leadership")
	c.hasQuorum.Store(true)
	require.Eventually(t, func() bool { return c.allHave(2) }, eventTimeout, 10*time.Millisecond)
}

func TestNewLeaderWaitsAndGetsNewFencingNumber(t *testing.T) {
	c := newCluster(t, 1)
	c.requested.Store(2)
	require.Eventually(t, func() bool { return c.allHave(2) }, eventTimeout, 10*time.Millisecond)
	c.isLeader.Store(false)
	time.Sleep(300 * time.Millisecond)
	c.isLeader.Store(true)
	leading := time.Now()
	c.requested.Store(3)
	require.Eventually(t, func() bool { return c.orders() == 2 }, eventTimeout, 10*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(leading), 200*time.Millisecond, "wait for orders of the previous leader")
	require.Equal(t, []uint64{1, 2}, c.endpoints[0].fencingNumbers)
}

// An order gets no answer from the endpoint and is carried out after a newer order. It must
// not make the endpoint load older weights again.
func TestDelayedOrderDoesNotRestoreOlderWeights(t *testing.T) {
	c := newCluster(t, 1)
	e := c.endpoints[0]
	e.mu.Lock()
	e.delayNext = true
	e.mu.Unlock()
	c.requested.Store(2)
	require.Eventually(t, func() bool { return c.orders() == 1 }, eventTimeout, time.Millisecond)
	c.requested.Store(3)
	require.Eventually(t, func() bool { return c.allHave(3) }, eventTimeout, 10*time.Millisecond)
	e.mu.Lock()
	e.runDelayed()
	e.mu.Unlock()
	require.Never(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.version < 3
	}, 300*time.Millisecond, 10*time.Millisecond)
}

// A connection that takes long to open must not delay an order after the barrier that proves the leadership.
func TestConnectionIsOpenedBeforeBarrier(t *testing.T) {
	const dialDelay = 300 * time.Millisecond
	c := newCluster(t, 0)
	c.dialDelay.Store(int64(dialDelay))
	e := &endpoint{id: "i-0", version: 1}
	delays := make(chan time.Duration, 10)
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == bluebellplatform.OrderPath {
			delays <- c.now() - time.Duration(c.barrierAt.Load())
		}
		c.serve(e, w, r)
	}))
	t.Cleanup(e.server.Close)
	c.register(t, e, strings.TrimPrefix(e.server.URL, "http://"))
	c.requested.Store(2)
	select {
	case delay := <-delays:
		require.Less(t, delay, dialDelay)
	case <-time.After(eventTimeout):
		require.Fail(t, "no order")
	}
}
