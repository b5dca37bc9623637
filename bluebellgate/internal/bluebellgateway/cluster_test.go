package bluebellgateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellpeer"
	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/bluebell/bluebellquarantine"
	"bluebellhaven.org/bluebell/bluebellusage"
	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/bluebellgate/internal/bluebellgateway"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// testTimeout limits each wait of a test.
	testTimeout = 10 * time.Second
	secret      = "secret"
)

// hosts counts the loopback addresses in use: the processes of a cluster have the same ports.
var hosts atomic.Int32

func newHost() string {
	n := hosts.Add(1)
	return fmt.Sprintf("127.1.%d.%d", n/250, n%250+1)
}

// freePort returns a port such that it and the two after it are probably free on all loopback
// addresses.
func freePort(t *testing.T) uint32 {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	return uint32(listener.Addr().(*net.TCPAddr).Port)
}

// cluster has a core process that answers polls, stub endpoints and entries.
type cluster struct {
	t        *testing.T
	port     uint32
	core     *bluebellfeed.Source
	coreHost string
	registry *bluebellfleet.Registry
	started  time.Time
	// endpoints are replaced by replaceEndpoint only, once the cluster runs.
	endpoints   []*bluebellstub.Endpoint
	endpointsMu sync.Mutex
	gates       []*gate
	calls       atomic.Int64
	// suspects has what entries report of calls that may crash endpoints.
	suspects *bluebellquarantine.Ledger
	// usage has what entries report of the usage windows of this length; 0 for none.
	usage       *bluebellusage.Totals
	usageWindow time.Duration
	// others are addresses of further endpoints that the test has registered.
	others []string
	// coreBehind is set while the core process cannot reach the others.
	coreBehind atomic.Bool
}

// follower serves the polls of entries.
type follower struct {
	pb.DRPCPeerUnimplementedServer
	source *bluebellfeed.Source
}

func (f *follower) Follow(ctx context.Context, r *pb.FollowRequest) (*pb.FollowReply, error) {
	return f.source.Answer(ctx, r), nil
}

// startCluster starts a core process and endpoints in three failure domains. The entries are started
// by startGate.
func startCluster(t *testing.T, endpoints int) *cluster {
	t.Helper()
	c := &cluster{t: t, port: freePort(t), coreHost: newHost(), started: time.Now()}
	c.registry = bluebellfleet.NewRegistry(bluebellfleet.Config{Now: c.now})
	c.suspects = bluebellquarantine.NewLedger(bluebellquarantine.LedgerConfig{Registered: func() map[uint64]time.Duration {
		at := map[uint64]time.Duration{}
		for _, e := range c.registry.Endpoints() {
			at[bluebellquarantine.Incarnation(e.ID, e.StartUnixMillis)] = e.ReceivedAt
		}
		return at
	}})
	coreAddress := bluebellprocess.HostPort(c.coreHost, c.port)
	c.core = bluebellfeed.NewSource(bluebellfeed.SourceConfig{
		Registry: c.registry, Directory: bluebelldirectory.New(), Epoch: 1, Cores: func() []string { return []string{coreAddress} },
		CurrentAgo: func() (time.Duration, bool) {
			if c.coreBehind.Load() {
				return time.Minute, true
			}
			return 0, true
		},
		Suspects: c.suspects, Now: c.now, After: time.After, WallClock: time.Now,
		RecordUsage: func(entry string, r *pb.UsageReport) { c.usage.Record(time.Now(), entry, r) },
	})
	c.core.SetDeployment(1, &pb.Deployment{Version: 1, Document: declaration(t)})
	for i := range endpoints {
		endpoint, err := bluebellstub.Start(bluebellstub.Config{
			ID: fmt.Sprint("i-", i), Target: "app", FailureDomain: string(rune('a' + i%3)), ProcessingTime: 5 * time.Millisecond, StartUnixMillis: 1,
		})
		require.NoError(t, err)
		t.Cleanup(endpoint.Stop)
		c.endpoints = append(c.endpoints, endpoint)
	}
	listener, err := net.Listen("tcp", coreAddress)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		_ = bluebellpeer.Serve(ctx, bluebellpeer.ServerConfig{
			Listener: listener, Secret: []byte(secret), Name: coreAddress, Handler: &follower{source: c.core},
		})
	})
	running.Go(func() { c.register(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return c
}

func (c *cluster) now() time.Duration { return time.Since(c.started) + time.Second }

// currentEndpoints returns a copy of the endpoints.
func (c *cluster) currentEndpoints() []*bluebellstub.Endpoint {
	c.endpointsMu.Lock()
	defer c.endpointsMu.Unlock()
	return slices.Clone(c.endpoints)
}

// replaceEndpoint puts an endpoint in the place of another one.
func (c *cluster) replaceEndpoint(i int, e *bluebellstub.Endpoint) {
	c.t.Cleanup(e.Stop)
	c.endpointsMu.Lock()
	defer c.endpointsMu.Unlock()
	c.endpoints[i] = e
}

// register sends the heartbeats of the endpoints until ctx is done.
func (c *cluster) register(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range c.currentEndpoints() {
			if e.Ended() {
				continue
			}
			registration := e.NextRegistration()
			registration.ReceivedAt = c.now()
			c.registry.Merge(registration)
		}
		bluebellprocess.Sleep(ctx, 500*time.Millisecond)
	}
}

func declaration(t *testing.T) []byte {
	t.Helper()
	route := func(name, prefix string, work bluebelldeployment.Work, attempts int) bluebelldeployment.Route {
		return bluebelldeployment.Route{
			Name: name, Host: "h.example", Prefix: prefix, Work: work, Attempts: attempts, Timeout: 5 * time.Second,
			Objective: 400 * time.Millisecond, MaxEventGap: 200 * time.Millisecond, Resumable: name == "resumable",
			Targets: []bluebelldeployment.WeightedTarget{{Name: "app", Weight: 1}},
		}
	}
	text, err := bluebellplatform.EncodeDeclaration(bluebelldeployment.Declaration{
		Version: 1, Targets: []bluebelldeployment.Target{{Name: "app"}},
		Routes: []bluebelldeployment.Route{
			route("once", "/once/", bluebelldeployment.NonIdempotent, 1), route("read", "/read/", bluebelldeployment.Idempotent, 2),
			route("resumable", "/stream/again/", bluebelldeployment.Stream, 2), route("stream", "/stream/", bluebelldeployment.Stream, 2),
		},
		Customers: []bluebelldeployment.Customer{{Name: "c", Keys: []string{"k"}}},
		Limits:    bluebelldeployment.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	require.NoError(t, err)
	return text
}

// cut is how an entry is cut off from all endpoints.
type cut int32

const (
	connected cut = iota
	// reset closes open connections and refuses new ones.
	reset
	// hanging loses all that is sent on open connections, and new ones do not open.
	hanging
	// refusing leaves open connections alone and refuses new ones.
	refusing
)

func (k cut) String() string { return [...]string{"Connected", "Reset", "Hanging", "Refusing"}[k] }

// gate is an entry whose connections to endpoints may be cut off.
type gate struct {
	cluster *cluster
	host    string
	callers string
	client  *http.Client
	cut     atomic.Int32
	mu      sync.Mutex
	open    []*cuttableConn
	// coreCut is set if core processes cannot be reached; toCore are the connections to them.
	coreCut bool
	toCore  []net.Conn
	stop    context.CancelFunc
	ended   chan error
}

// startGate starts an entry in a failure domain and waits until it serves calls.
func (c *cluster) startGate(domain string) *gate {
	c.t.Helper()
	g := c.startGateAt(newHost(), domain)
	require.Eventually(c.t, func() bool { return g.do(http.MethodGet, "/read/x", "").status == http.StatusOK }, testTimeout, 20*time.Millisecond)
	return g
}

func (c *cluster) startGateAt(host, domain string) *gate {
	c.t.Helper()
	g := &gate{
		cluster: c, host: host, callers: bluebellprocess.HostPort(host, c.port+1), ended: make(chan error, 1),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: testTimeout},
	}
	settings := &pb.GateSettings{
		Name: host, FailureDomain: domain, Address: host, CallerAddress: g.callers, ReadyAddress: bluebellprocess.HostPort(host, c.port+2),
		PeerPort: c.port, Seeds: []string{bluebellprocess.HostPort(c.coreHost, 1)}, Secret: secret,
		Bounds: &pb.Bounds{
			Stop: durationpb.New(4 * time.Second), RetryRatio: 0.2, RetryWindow: durationpb.New(10 * time.Second), RetrySlack: 100, WeightsMillis: 10_000, ColdFactor: 1,
		},
	}
	if c.usageWindow > 0 {
		settings.Bounds.UsageWindow = durationpb.New(c.usageWindow)
	}
	gateway := bluebellgateway.New(bluebellgateway.Config{
		Settings: func() *pb.GateSettings { return settings }, Dial: g.dial, Logger: log.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	g.setCut(connected)
	go func() { g.ended <- gateway.Run(ctx) }()
	c.t.Cleanup(func() {
		// The entries stop side by side.
		for _, other := range c.gates {
			other.stop()
		}
		require.NoError(c.t, <-g.ended)
	})
	c.gates = append(c.gates, g)
	return g
}

// setCut cuts the entry off from all endpoints, or connects it again.
func (g *gate) setCut(k cut) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut.Store(int32(k))
	if k == reset {
		for _, conn := range g.open {
			conn.reset.Store(true)
			_ = conn.Close()
		}
		g.open = nil
	}
}

func (g *gate) toEndpoint(address string) bool {
	return slices.Contains(g.cluster.others, address) || slices.ContainsFunc(g.cluster.currentEndpoints(), func(e *bluebellstub.Endpoint) bool { return e.Address() == address })
}

func (g *gate) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if address == bluebellprocess.HostPort(g.cluster.coreHost, g.cluster.port) {
		return g.dialCore(ctx, network, address)
	}
	if !g.toEndpoint(address) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	switch cut(g.cut.Load()) {
	case reset, refusing:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case hanging:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	wrapped := &cuttableConn{Conn: conn, gate: g}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = append(g.open, wrapped)
	return wrapped, nil
}

func (g *gate) dialCore(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.coreCut {
		return nil, errors.Join(syscall.ECONNREFUSED, conn.Close())
	}
	g.toCore = append(g.toCore, conn)
	return conn, nil
}

// setCoreCut cuts the entry off from the core processes, or connects it again.
func (g *gate) setCoreCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coreCut = cut
	for _, conn := range g.toCore {
		_ = conn.Close()
	}
}

// cuttableConn loses what is sent while its entry's connections hang, and fails once it was reset.
type cuttableConn struct {
	net.Conn
	gate        *gate
	lost, reset atomic.Bool
}

func (c *cuttableConn) hangs() bool {
	if cut(c.gate.cut.Load()) == hanging {
		c.lost.Store(true)
	}
	return c.lost.Load()
}

func (c *cuttableConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil && c.reset.Load() {
			return n, syscall.ECONNRESET
		}
		if err != nil || !c.hangs() {
			return n, err
		}
	}
}

func (c *cuttableConn) Write(b []byte) (int, error) {
	if c.hangs() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// call is one call with its response.
type call struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
}

// request returns a call with a new ID and the customer's key.
func (g *gate) request(ctx context.Context, method, path, body string, timeLeft time.Duration) (*http.Request, string) {
	id := fmt.Sprintf("call-%d", g.cluster.calls.Add(1))
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.callers+path, strings.NewReader(body))
	require.NoError(g.cluster.t, err)
	r.Host = "h.example"
	r.Header = bluebellplatform.CallerHeader(bluebellplatform.Call{ID: id, Key: "k", TimeLeft: timeLeft})
	return r, id
}

// do sends a call and reads its response.
func (g *gate) do(method, path, body string) call {
	r, id := g.request(context.Background(), method, path, body, 2*time.Second)
	return g.send(r, id)
}

func (g *gate) send(r *http.Request, id string) call {
	c := call{id: id}
	response, err := g.client.Do(r)
	if err != nil {
		c.err = err
		return c
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	c.status, c.header, c.body, c.err = response.StatusCode, response.Header, string(text), err
	return c
}

// whole reports whether the caller got the complete answer of an endpoint.
func (c call) whole() bool {
	return c.err == nil && c.status == http.StatusOK && (c.body == bluebellstub.AnswerBody(c.id) || c.body == eventsText(c.id))
}

// eventsText returns the whole stream of a stub for a call.
func eventsText(id string) string {
	var b strings.Builder
	for i := 1; i <= bluebellstub.StreamEvents; i++ {
		b.WriteString(bluebellstub.Event(id, i))
	}
	return b.String()
}

// runs returns the number of runs by the ID of the call.
func (c *cluster) runs() map[string]int {
	runs := map[string]int{}
	for _, e := range c.endpoints {
		for _, r := range e.Runs() {
			runs[r.Call.CallID]++
		}
	}
	return runs
}

// load sends calls of all kinds to an entry, at an interval, for a time. It returns those that were
// sent after the first part of that time.
func (g *gate) load(interval, first, total time.Duration) []call {
	paths := []string{"/once/x", "/read/x", "/stream/x", "/stream/again/x"}
	var mu sync.Mutex
	var late []call
	var running sync.WaitGroup
	for start, i := time.Now(), 0; time.Since(start) < total; i++ {
		counts := time.Since(start) >= first
		running.Go(func() {
			got := g.do(http.MethodPost, paths[i%len(paths)], "body")
			mu.Lock()
			defer mu.Unlock()
			if counts {
				late = append(late, got)
			}
		})
		time.Sleep(interval)
	}
	running.Wait()
	return late
}

func wholeAnswers(calls []call) int {
	n := 0
	for _, c := range calls {
		if c.whole() {
			n++
		}
	}
	return n
}

// requireOnceOrTrue requires that non-idempotent calls ran at most once, and that no call that ran was
// answered as not run.
func (c *cluster) requireOnceOrTrue(calls []call) {
	c.t.Helper()
	runs := c.runs()
	for _, got := range calls {
		if got.err == nil && got.status == http.StatusServiceUnavailable {
			require.Zero(c.t, runs[got.id], "call %s was refused as not run", got.id)
		}
	}
	for _, e := range c.endpoints {
		for _, r := range e.Runs() {
			if strings.HasPrefix(r.URI, "/once/") {
				require.Equal(c.t, 1, runs[r.Call.CallID], "call %s ran more than once", r.Call.CallID)
			}
		}
	}
}
