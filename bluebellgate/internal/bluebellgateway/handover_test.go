package bluebellgateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellpeer"
	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/bluebell/bluebellquarantine"
	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/bluebellgate/internal/bluebellhandover"
	"bluebellhaven.org/bluebellgate/internal/bluebelltransport"
	"bluebellhaven.org/platform/bluebellplatform"
)

// cutOff cuts an entry off and waits until its calls are served by others.
func (g *gate) cutOff(k cut) {
	g.cluster.t.Helper()
	g.setCut(k)
	served := 0
	require.Eventually(g.cluster.t, func() bool {
		if g.do(http.MethodGet, "/read/x", "").whole() {
			served++
		} else {
			served = 0
		}
		return served == 5
	}, testTimeout, time.Millisecond)
}

func (c *cluster) behave(b bluebellstub.Behaviour) {
	for _, e := range c.endpoints {
		e.SetBehaviour(b)
	}
}

func (c *cluster) activeCalls() int {
	n := 0
	for _, e := range c.endpoints {
		n += e.ActiveCalls()
	}
	return n
}

// A caller that leaves ends its call at the endpoint, although that got it from another entry.
func TestCallerOfEntryWithoutLinksEndsCall(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	a := c.startGate("a")
	c.startGate("b")
	a.cutOff(reset)
	c.behave(bluebellstub.Unresponsive)
	ctx, cancel := context.WithCancel(context.Background())
	r, id := a.request(ctx, http.MethodPost, "/once/x", "order", 2*time.Second)
	go a.send(r, id)
	require.Eventually(t, func() bool { return c.activeCalls() == 1 }, testTimeout, time.Millisecond)
	cancel()
	leftAt := time.Now()
	require.Eventually(t, func() bool { return c.activeCalls() == 0 }, testTimeout, time.Millisecond)
	require.Less(t, time.Since(leftAt), 500*time.Millisecond)
}

// The deadline of a call is that of its caller wherever it runs.
func TestHelperKeepsDeadline(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	a := c.startGate("a")
	c.startGate("b")
	a.cutOff(hanging)
	c.behave(bluebellstub.Unresponsive)
	const limit = 600 * time.Millisecond
	r, id := a.request(context.Background(), http.MethodPost, "/once/x", "order", limit)
	start := time.Now()
	got := a.send(r, id)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusGatewayTimeout, got.status, "the call may have run")
	require.InDelta(t, limit.Seconds(), time.Since(start).Seconds(), 0.25)
	for _, e := range c.endpoints {
		for _, run := range e.Runs() {
			if run.Call.CallID == id {
				require.Less(t, run.Call.TimeLeft, limit)
			}
		}
	}
}

// If all entries have lost a target, nobody hands calls on in a circle, and callers are told at once that
// their calls have not run. Once endpoints can be reached again, calls are served within a second.
func TestCallsAreRefusedAtOnceWhenAllEntriesHaveLostTarget(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 6)
	a, b := c.startGate("a"), c.startGate("b")
	before := len(c.runs())
	a.setCut(hanging)
	b.setCut(hanging)
	var late []call
	var wait sync.WaitGroup
	wait.Go(func() { b.load(10*time.Millisecond, 0, contactTime) })
	a.load(10*time.Millisecond, 0, contactTime)
	wait.Wait()
	for range 50 {
		start := time.Now()
		got := a.do(http.MethodPost, "/once/x", "body")
		require.Less(t, time.Since(start), 200*time.Millisecond)
		late = append(late, got)
		require.NoError(t, got.err)
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Positive(t, after)
	}
	c.requireOnceOrTrue(late)
	require.Equal(t, http.StatusOK, a.ready(), "no other entry would serve the callers better")
	require.Len(t, c.runs(), before)
	a.setCut(connected)
	b.setCut(connected)
	time.Sleep(time.Second)
	for range 20 {
		require.True(t, a.do(http.MethodPost, "/once/x", "body").whole())
	}
}

// ready returns the status of the health check.
func (g *gate) ready() int {
	response, err := g.client.Get("http://" + bluebellprocess.HostPort(g.host, g.cluster.port+2) + bluebellplatform.ReadyPath)
	require.NoError(g.cluster.t, err)
	require.NoError(g.cluster.t, response.Body.Close())
	return response.StatusCode
}

// An entry uses its own links again once they are back, and needs no other entry then.
func TestEntryUsesItsLinksAgain(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	a, b := c.startGate("a"), c.startGate("b")
	a.cutOff(hanging)
	a.setCut(connected)
	time.Sleep(time.Second)
	b.stop()
	require.Eventually(t, func() bool { return len(b.ended) == 1 }, testTimeout, time.Millisecond)
	for range 20 {
		require.True(t, a.do(http.MethodPost, "/once/x", "body").whole())
	}
}

// A planned stop of a helper loses no call, and another helper takes over.
func TestStopOfHelperLosesNoCall(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	a, b := c.startGate("a"), c.startGate("b")
	c.startGate("c")
	a.cutOff(reset)
	time.AfterFunc(500*time.Millisecond, b.stop)
	calls := a.load(10*time.Millisecond, 0, 5*time.Second)
	require.Equal(t, len(calls), wholeAnswers(calls))
	c.requireOnceOrTrue(calls)
	require.Len(t, b.ended, 1, "the helper has stopped meanwhile")
}

// After its only helper has gone, an entry refuses calls at once and is not ready, and once the helper
// has started again, it takes calls again.
func TestEntryWaitsForHelperToRestart(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	a, b := c.startGate("a"), c.startGate("b")
	a.cutOff(reset)
	b.stop()
	require.Eventually(t, func() bool { return len(b.ended) == 1 }, testTimeout, time.Millisecond)
	refusedAt := time.Now()
	got := a.do(http.MethodPost, "/once/x", "body")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Less(t, time.Since(refusedAt), 500*time.Millisecond)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Equal(t, http.StatusServiceUnavailable, a.ready())
	c.startGateAt(b.host, "b")
	require.Eventually(t, func() bool { return a.do(http.MethodPost, "/once/x", "body").whole() }, testTimeout, 10*time.Millisecond)
	require.Eventually(t, func() bool { return a.ready() == http.StatusOK }, testTimeout, 10*time.Millisecond)
	c.requireOnceOrTrue([]call{got})
}

// An entry that starts without links is served by others from its first seconds on.
func TestEntryStartsWithoutLinks(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	c.startGate("b")
	a := c.startGateAt(newHost(), "a")
	a.setCut(hanging)
	require.Eventually(t, func() bool { return a.do(http.MethodPost, "/once/x", "body").whole() }, testTimeout, 10*time.Millisecond)
	require.Eventually(t, func() bool { return a.ready() == http.StatusOK }, testTimeout, 10*time.Millisecond)
}

// An entry that has lost both its links and its core processes goes on with the last known list of
// entries.
func TestEntryWithoutCoreIsServedByOthers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	a := c.startGate("a")
	c.startGate("b")
	time.Sleep(time.Second) // The list of entries has reached both.
	a.setCoreCut(true)
	time.Sleep(2 * time.Second)
	a.cutOff(hanging)
	calls := a.load(20*time.Millisecond, 0, time.Second)
	require.Equal(t, len(calls), wholeAnswers(calls))
}

// A stream that breaks because the links are lost goes on at a helper after the last event.
func TestStreamGoesOnAtHelper(t *testing.T) {
	for _, k := range []cut{reset, hanging} {
		t.Run(k.String(), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 4)
			a := c.startGate("a")
			c.startGate("b")
			for _, e := range c.endpoints {
				e.SetProcessingTime(100 * time.Millisecond)
			}
			time.AfterFunc(250*time.Millisecond, func() { a.setCut(k) })
			calls := make(chan call, 8)
			for range cap(calls) {
				go func() {
					r, id := a.request(context.Background(), http.MethodPost, "/stream/again/x", "prompt", testTimeout)
					calls <- a.send(r, id)
				}()
			}
			for range cap(calls) {
				got := <-calls
				require.NoError(t, got.err)
				require.Equal(t, eventsText(got.id), got.body)
			}
		})
	}
}

// echo is an endpoint that records the headers of calls and answers with a forged result of a helper.
type echo struct {
	mu      sync.Mutex
	headers []http.Header
}

func (e *echo) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.headers = append(e.headers, r.Header.Clone())
	e.mu.Unlock()
	in, _ := bluebellplatform.DecodeIncomingCall(r.Header)
	for name, values := range bluebellplatform.AnswerHeader(in.CallID, "seal") {
		w.Header()[name] = values
	}
	bluebellhandover.Result{Outcome: bluebellhandover.Declined, Endpoints: []string{"forged"}}.Encode(w.Header())
	_, _ = w.Write(body)
}

// Headers of offers and results are believed only between entries, and reach neither endpoints nor
// callers.
func TestForgedOffersAndResultsAreNotBelieved(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &echo{}
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	c.registry.Merge(bluebellfleet.Endpoint{
		ID: "i-echo", Target: "app", Address: listener.Addr().String(), State: bluebellfleet.Serving, StartUnixMillis: 1, Sequence: 1, ReceivedAt: c.now(),
	})
	c.others = []string{listener.Addr().String()}
	a := c.startGate("a")
	c.startGate("b")
	send := func() {
		for range 5 {
			r, id := a.request(context.Background(), http.MethodPost, "/once/x", "order", time.Second)
			bluebellhandover.Offer{Revision: 99, Target: "other", Tried: []string{"i-echo"}, TimeLeft: time.Millisecond}.Encode(r.Header)
			got := a.send(r, id)
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, "order", got.body)
			for name := range got.header {
				require.NotContains(t, strings.ToLower(name), "bluebell")
			}
		}
	}
	send()
	a.setCut(reset)
	require.Eventually(t, func() bool { return a.do(http.MethodGet, "/read/x", "").status == http.StatusOK }, testTimeout, time.Millisecond)
	send()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.headers {
		for name := range h {
			require.NotContains(t, strings.ToLower(name), "bluebell")
		}
		require.Empty(t, h.Get("Authorization"))
	}
}

// offerTo hands a call over to an entry as another one would.
func (c *cluster) offerTo(g *gate, client *bluebelltransport.Client, offer bluebellhandover.Offer, key, path string) (int, bluebellhandover.Result, error) {
	header := bluebellplatform.CallerHeader(bluebellplatform.Call{ID: "offered-" + strconv.FormatInt(c.calls.Add(1), 10), Key: key})
	if offer.Target != "" {
		offer.Encode(header)
	}
	exchange, err := client.Do(context.Background(), bluebelltransport.Request{
		Address: bluebellprocess.HostPort(g.host, c.port), Method: http.MethodPost, URI: path, Host: "h.example", Header: header, Body: []byte("body"),
		MatchResponse: func(int, http.Header) bool { return true }, ConnectTimeout: time.Second, HeaderDeadline: time.Now().Add(testTimeout),
	})
	if err != nil {
		return 0, bluebellhandover.Result{}, err
	}
	defer exchange.Close()
	result, err := bluebellhandover.DecodeResult(exchange.Header())
	require.NoError(c.t, err)
	_, err = exchange.ReadAll(1<<20, time.Now().Add(testTimeout))
	return exchange.Status(), result, err
}

// peerClient returns a client that authenticates with a secret.
func peerClient(secret string) *bluebelltransport.Client {
	return bluebelltransport.NewClient(bluebelltransport.Config{
		Authenticate: func(ctx context.Context, conn net.Conn, address string) error {
			return bluebellpeer.Authenticate(ctx, conn, []byte(secret), "origin", address)
		},
	})
}

// A helper runs only calls of authenticated entries, with keys that it knows, and by a deployment that
// is not older than the origin's.
func TestHelperChecksOffers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	b := c.startGate("b")
	ran := len(c.runs())
	client := peerClient(secret)
	good := bluebellhandover.Offer{Revision: 1, Target: "app", TimeLeft: time.Second}
	declined := func(offer bluebellhandover.Offer, key, path string) {
		t.Helper()
		status, result, err := c.offerTo(b, client, offer, key, path)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, bluebellhandover.Result{Outcome: bluebellhandover.Declined}, result)
	}
	newer := good
	newer.Revision = 2
	declined(newer, "k", "/once/x")
	declined(good, "other", "/once/x")
	declined(good, "k", "/nowhere/x")
	declined(bluebellhandover.Offer{}, "k", "/once/x")
	_, _, err := c.offerTo(b, peerClient("wrong"), good, "k", "/once/x")
	require.Error(t, err)
	_, _, err = c.offerTo(b, bluebelltransport.NewClient(bluebelltransport.Config{}), good, "k", "/once/x")
	require.Error(t, err, "a caller that finds the port is not served")
	query := good
	query.Query = true
	status, result, err := c.offerTo(b, client, query, "k", "/once/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, status)
	require.Equal(t, bluebellhandover.Accepted, result.Outcome)
	require.Len(t, c.runs(), ran, "a query runs nothing")
	status, result, err = c.offerTo(b, client, good, "k", "/once/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, 1, result.Received)
	require.Len(t, result.Endpoints, 1)
	tried := good
	tried.Tried = []string{"i-0", "i-1"}
	_, result, err = c.offerTo(b, client, tried, "k", "/once/x")
	require.NoError(t, err)
	require.Equal(t, []string{"i-2"}, result.Endpoints, "endpoints that have had the call are not tried again")
}

// A helper that has lost the target too declines, and does not hand the call on.
func TestHelperWithoutLinksDeclines(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	b := c.startGate("b")
	c.startGate("c")
	b.cutOff(reset)
	ran := len(c.runs())
	_, result, err := c.offerTo(b, peerClient(secret), bluebellhandover.Offer{Revision: 1, Target: "app", TimeLeft: time.Second}, "k", "/once/x")
	require.NoError(t, err)
	require.Equal(t, bluebellhandover.Declined, result.Outcome)
	_, result, err = c.offerTo(b, peerClient(secret), bluebellhandover.Offer{Revision: 1, Target: "app", Query: true}, "k", "/once/x")
	require.NoError(t, err)
	require.Equal(t, bluebellhandover.Declined, result.Outcome)
	require.Len(t, c.runs(), ran)
}

// A helper does at most one run of a call, and passes on that it may have run.
func TestHelperRunsCallAtOneEndpoint(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	b := c.startGate("b")
	client := peerClient(secret)
	offer := bluebellhandover.Offer{Revision: 1, Target: "app", TimeLeft: time.Second}
	c.behave(bluebellstub.Truncating)
	ran := len(c.runs())
	_, result, err := c.offerTo(b, client, offer, "k", "/read/x")
	require.NoError(t, err)
	require.Equal(t, bluebellhandover.Failed, result.Outcome)
	require.Len(t, c.runs(), ran+1)
	c.behave(bluebellstub.Declining)
	_, result, err = c.offerTo(b, client, offer, "k", "/once/x")
	require.NoError(t, err)
	require.Equal(t, bluebellhandover.Refused, result.Outcome)
	require.Positive(t, result.RetryAfter)
	require.Greater(t, len(result.Endpoints), 1, "an endpoint that declines has not run the call")
}

// A helper takes a limited number of calls at a time and declines the others at once.
func TestHelperLimitsCalls(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	b := c.startGate("b")
	c.behave(bluebellstub.Unresponsive)
	const limit, calls = 200, 230
	var declined, other atomic.Int64
	var wait sync.WaitGroup
	client := peerClient(secret)
	for range calls {
		wait.Go(func() {
			start := time.Now()
			_, result, err := c.offerTo(b, client, bluebellhandover.Offer{Revision: 1, Target: "app", TimeLeft: 3 * time.Second}, "k", "/once/x")
			if err == nil && result.Outcome == bluebellhandover.Declined && time.Since(start) < 2*time.Second {
				declined.Add(1)
			} else {
				other.Add(1)
			}
		})
	}
	wait.Wait()
	require.EqualValues(t, calls-limit, declined.Load())
	require.EqualValues(t, limit, other.Load())
}

// fakeHelper starts an entry that treats offered calls as a handler does.
func (c *cluster) fakeHelper(handler http.HandlerFunc) {
	c.t.Helper()
	host := newHost()
	name := bluebellprocess.HostPort(host, c.port)
	listener, err := net.Listen("tcp", name)
	require.NoError(c.t, err)
	server := &http.Server{Handler: handler}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = server.Serve(bluebellpeer.NewListener(listener, []byte(secret), name)) })
	wait.Go(func() {
		for ctx.Err() == nil {
			c.core.Answer(ctx, &pb.FollowRequest{Process: name, Entry: true, Primary: true})
			bluebellprocess.Sleep(ctx, 100*time.Millisecond)
		}
	})
	c.t.Cleanup(func() {
		cancel()
		_ = server.Close()
		wait.Wait()
	})
}

// A helper that breaks off may have run the call: it is repeated only if its route allows that. A helper
// that declines has not run it. Helpers that go on failing cost few calls.
func TestHelperThatFailsLosesNoCallTwice(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	a := c.startGate("a")
	c.startGate("b")
	var broken atomic.Int64
	c.fakeHelper(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		broken.Add(1)
		panic(http.ErrAbortHandler)
	})
	c.fakeHelper(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		bluebellhandover.Result{Outcome: bluebellhandover.Declined}.Encode(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c.fakeHelper(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) })
	time.Sleep(500 * time.Millisecond)
	a.setCut(reset)
	calls := a.load(10*time.Millisecond, 0, 3*time.Second)
	require.Positive(t, broken.Load())
	c.requireOnceOrTrue(calls)
	statuses := map[int]int{}
	for _, got := range calls {
		statuses[got.status]++
		if got.status != http.StatusOK {
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, got.status)
		}
	}
	require.Greater(t, statuses[http.StatusOK], len(calls)*3/4, statuses)
}

// A call with as large a header and body as an entry accepts is handed over, and one that a helper
// declines goes to the next one whatever its size.
func TestLargeCallIsHandedOver(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	a := c.startGate("a")
	c.startGate("b")
	c.fakeHelper(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		bluebellhandover.Result{Outcome: bluebellhandover.Declined}.Encode(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	a.cutOff(reset)
	for range 10 {
		r, id := a.request(context.Background(), http.MethodPost, "/once/x", strings.Repeat("x", 1<<20), testTimeout)
		r.Header.Set("Long", strings.Repeat("x", 60<<10))
		got := a.send(r, id)
		require.True(t, got.whole(), "%d %v", got.status, got.err)
		time.Sleep(100 * time.Millisecond) // The other helper is asked again.
	}
}

// An endpoint to which an origin could open no connection is as good as any other to a helper. A call that
// had failed so at all endpoints of a target was refused by the helper.
func TestHelperUsesEndpointsThatOriginCouldNotReach(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2)
	a := c.startGate("a")
	c.startGate("b")
	time.Sleep(time.Second) // The list of entries has reached both.
	a.setCut(reset)
	a.setCut(hanging)
	calls := make(chan call, 10)
	for range cap(calls) {
		go func() { calls <- a.do(http.MethodPost, "/once/x", "order") }()
	}
	for range cap(calls) {
		got := <-calls
		require.True(t, got.whole(), "%d %v", got.status, got.err)
	}
}

// Connections that an entry loses with its links accuse no call of crashing endpoints once these have
// registered again, and convict none before; those to helpers accuse none. A crash that a helper sees does.
func TestLostLinksAccuseNoCall(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3)
	a := c.startGate("a")
	c.startGate("b")
	c.fakeHelper(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	})
	for range 4 {
		c.behave(bluebellstub.Unresponsive)
		var wait sync.WaitGroup
		for range 3 {
			wait.Go(func() { a.do(http.MethodPost, "/read/x", "suspect") })
		}
		require.Eventually(t, func() bool { return c.activeCalls() >= 3 }, testTimeout, time.Millisecond)
		a.setCut(reset)
		c.behave(bluebellstub.Normal)
		wait.Wait()
		time.Sleep(300 * time.Millisecond)
		a.setCut(connected)
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			require.Empty(t, bluebellquarantine.Judge(c.suspects.Suspects(c.now()), nil))
		}
	}
	accused := func() bool {
		return slices.ContainsFunc(c.suspects.Suspects(c.now()), func(s bluebellquarantine.Suspect) bool { return len(s.Crashes) > 0 })
	}
	require.Eventually(t, func() bool { return !accused() }, contactTime, 10*time.Millisecond)
	client := peerClient(secret)
	c.behave(bluebellstub.Truncating)
	_, result, err := c.offerTo(c.gates[1], client, bluebellhandover.Offer{Revision: 1, Target: "app", TimeLeft: time.Second}, "k", "/once/x")
	require.NoError(t, err)
	require.Equal(t, bluebellhandover.Failed, result.Outcome)
	require.Eventually(t, accused, testTimeout, 10*time.Millisecond)
}
