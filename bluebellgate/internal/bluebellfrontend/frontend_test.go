package bluebellfrontend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebellquarantine"
	"bluebellhaven.org/bluebell/bluebelltier"
	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/bluebellgate/internal/bluebellfrontend"
	"bluebellhaven.org/bluebellgate/internal/bluebellrelay"
	"bluebellhaven.org/bluebellgate/internal/bluebelltransport"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// testTimeout limits each wait of a test.
	testTimeout = 10 * time.Second
	// callTimeLimit is how long a caller waits.
	callTimeLimit = 2 * time.Second
)

// maxHeldBytes limits the bodies of all calls in these tests.
const maxHeldBytes = 3 << 20

// deployment returns a deployment with one target, one customer with the key "k" and a route for
// each kind of work.
func deployment(t *testing.T) *bluebelldeployment.Deployment {
	t.Helper()
	route := func(name, prefix string, work bluebelldeployment.Work, attempts int) bluebelldeployment.Route {
		return bluebelldeployment.Route{
			Name: name, Host: "h.example", Prefix: prefix, Work: work, Attempts: attempts, Timeout: 3 * time.Second,
			Objective: 400 * time.Millisecond, MaxEventGap: 200 * time.Millisecond, Resumable: name == "resumable",
			Targets: []bluebelldeployment.WeightedTarget{{Name: "app", Weight: 1}},
		}
	}
	public := route("public", "/public/", bluebelldeployment.Idempotent, 2)
	public.Public = true
	slow := route("slow", "/slow/", bluebelldeployment.NonIdempotent, 1)
	slow.Timeout = testTimeout
	d, findings := bluebelldeployment.New(bluebelldeployment.Declaration{
		Version: 1, Targets: []bluebelldeployment.Target{{Name: "app"}},
		Routes: []bluebelldeployment.Route{
			route("once", "/once/", bluebelldeployment.NonIdempotent, 1), route("read", "/read/", bluebelldeployment.Idempotent, 2),
			route("resumable", "/stream/again/", bluebelldeployment.Stream, 2), route("stream", "/stream/", bluebelldeployment.Stream, 2), public, slow,
		},
		Customers: []bluebelldeployment.Customer{{Name: "c", Keys: []string{"k"}}}, Limits: bluebelldeployment.Limits{MaxBodyBytes: 1 << 20},
	})
	require.True(t, findings.Empty(), findings.Error())
	return d
}

// entry is a running Frontend with a relay to stub endpoints.
type entry struct {
	address string
	health  string
	// peers is the address for other entries, which need not authenticate.
	peers     string
	endpoints []*bluebellstub.Endpoint
	placer    *bluebellplacement.Placer
	guard     *bluebellquarantine.Guard
	// now returns the time on the entry's clock.
	now func() time.Duration
	// d is the deployment in force, and revision its number.
	d        atomic.Pointer[bluebelldeployment.Deployment]
	revision atomic.Uint64
	stop     context.CancelFunc
	ended    chan error
	calls    atomic.Int64
}

// startEntry starts an entry with retry limits that these tests do not exhaust.
func startEntry(t *testing.T, endpoints int) *entry {
	t.Helper()
	return startEntryWithRetryLimits(t, endpoints, ampleRetries)
}

// ampleRetries are retry limits that these tests do not exhaust.
var ampleRetries = bluebellrelay.RetryLimits{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}

// startEntryOn starts an entry whose listeners are those that wrap returns.
func startEntryOn(t *testing.T, endpoints int, wrap func(net.Listener) net.Listener) *entry {
	t.Helper()
	return startEntryWith(t, endpoints, ampleRetries, wrap)
}

// startEntryWithRetryLimits starts an entry with the given number of stub endpoints and the given
// retry limits.
func startEntryWithRetryLimits(t *testing.T, endpoints int, limits bluebellrelay.RetryLimits) *entry {
	t.Helper()
	return startEntryWith(t, endpoints, limits, func(l net.Listener) net.Listener { return l })
}

func startEntryWith(t *testing.T, endpoints int, limits bluebellrelay.RetryLimits, wrap func(net.Listener) net.Listener) *entry {
	t.Helper()
	started := time.Now()
	now := func() time.Duration { return time.Since(started) + time.Second }
	e := &entry{
		placer: bluebellplacement.New(bluebellplacement.Config{Self: "e1"}), guard: bluebellquarantine.NewGuard(), now: now, ended: make(chan error, 1),
	}
	e.d.Store(deployment(t))
	e.revision.Store(1)
	fleet := bluebellplacement.Fleet{Entries: []string{"e1"}}
	for i := range endpoints {
		endpoint, err := bluebellstub.Start(bluebellstub.Config{ID: fmt.Sprint("i-", i), Target: "app", ProcessingTime: 5 * time.Millisecond})
		require.NoError(t, err)
		t.Cleanup(endpoint.Stop)
		e.endpoints = append(e.endpoints, endpoint)
		registered := endpoint.NextRegistration()
		registered.ReceivedAt = now()
		fleet.Endpoints = append(fleet.Endpoints, registered)
	}
	e.placer.Update(fleet)
	relay := bluebellrelay.New(bluebellrelay.Config{
		Placer: e.placer, Client: bluebelltransport.NewClient(bluebelltransport.Config{}),
		CachePlanner: bluebelltier.New(bluebelltier.Config{
			Stores: func() []bluebelldeployment.Store { return nil }, Directory: func() *bluebelldirectory.View { return nil },
			OtherLoads: func() map[string]bluebelltier.Load { return nil }, Now: now,
		}),
		RetryLimits: limits, Guard: e.guard, Deployment: e.d.Load,
		Now: now, Random: func() float64 { return 0 }, CountEvent: func(string, string) {},
		RecordFirstEvent: func(string, time.Duration) {}, RecordWait: func(string, time.Duration) {}, Logger: log.New(io.Discard),
	})
	frontend := bluebellfrontend.New(bluebellfrontend.Config{
		Routing: func() bluebellfrontend.Routing {
			return bluebellfrontend.Routing{Deployment: e.d.Load(), Revision: e.revision.Load()}
		},
		Relay: relay, Ready: func() bool { return true }, StopTimeout: 8 * time.Second, Random: func() float64 { return 0 },
		CountStatus: func(int) {}, Logger: log.New(io.Discard), MaxHeldBytes: maxHeldBytes,
	})
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	health, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e.address, e.health, e.peers = callers.Addr().String(), health.Addr().String(), peers.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go func() { _ = frontend.ServePeers(peers) }()
	go func() { e.ended <- frontend.Serve(ctx, wrap(callers), wrap(health)) }()
	t.Cleanup(cancel)
	return e
}

// call is one call with its response.
type call struct {
	id     string
	status int
	header http.Header
	body   string
	// closes is set if the server closes the connection after the response.
	closes bool
	err    error
}

// do sends a call with the customer's key.
func (e *entry) do(method, path, body string) call {
	return e.doKey(method, path, body, "k")
}

// doBlocks sends a call whose prompt has the given blocks.
func (e *entry) doBlocks(method, path string, blocks []bluebellplatform.Block) call {
	return e.send(method, path, "", bluebellplatform.Call{Key: "k", Blocks: blocks})
}

// doKey sends a call with the given key and reads its response.
func (e *entry) doKey(method, path, body, key string) call {
	return e.send(method, path, body, bluebellplatform.Call{Key: key})
}

// send sends a call with a new ID and reads its response.
func (e *entry) send(method, path, body string, header bluebellplatform.Call) call {
	header.ID = fmt.Sprintf("call-%d", e.calls.Add(1))
	return e.sendWithID(method, path, body, header)
}

// sendWithID sends a call with the ID in the header, "" for none, and reads its response.
func (e *entry) sendWithID(method, path, body string, header bluebellplatform.Call) call {
	c := call{id: header.ID}
	r, err := http.NewRequest(method, "http://"+e.address+path, strings.NewReader(body))
	if err != nil {
		c.err = err
		return c
	}
	r.Host = "h.example"
	if header.TimeLeft == 0 {
		header.TimeLeft = callTimeLimit
	}
	r.Header = bluebellplatform.CallerHeader(header)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		c.err = err
		return c
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	c.status, c.header, c.body, c.closes, c.err = response.StatusCode, response.Header, string(text), response.Close, err
	return c
}

// sendResuming sends a call for the events of a stream behind the one with an ID.
func (e *entry) sendResuming(path, last string) call {
	return e.send(http.MethodPost, path, "prompt", bluebellplatform.Call{Key: "k", ResumeAfter: last})
}

// runs returns the calls that the endpoints have run.
func (e *entry) runs() []bluebellstub.Run {
	var all []bluebellstub.Run
	for _, endpoint := range e.endpoints {
		all = append(all, endpoint.Runs()...)
	}
	return all
}

// behave sets the behavior of all endpoints.
func (e *entry) behave(b bluebellstub.Behaviour) {
	for _, endpoint := range e.endpoints {
		endpoint.SetBehaviour(b)
	}
}

// The endpoint receives the URI and body unchanged and the customer's name instead of the key, and
// the caller receives the endpoint's response.
func TestCallIsForwardedUnchanged(t *testing.T) {
	e := startEntry(t, 1)
	c := e.do(http.MethodPost, "/once/a%2Fb?x=1&y=%20", "the body")
	require.NoError(t, c.err)
	require.Equal(t, http.StatusOK, c.status)
	require.Equal(t, bluebellstub.AnswerBody(c.id), c.body)
	require.Equal(t, "i-0."+c.id, bluebellplatform.Seal(c.header))
	runs := e.runs()
	require.Len(t, runs, 1)
	require.Equal(t, "/once/a%2Fb?x=1&y=%20", runs[0].URI)
	require.Equal(t, "the body", runs[0].Body)
	require.Equal(t, "c", runs[0].Call.Customer)
	require.False(t, runs[0].Call.HasKey)
	require.LessOrEqual(t, runs[0].Call.TimeLeft, 2*time.Second)
}

// Unknown keys, unknown paths and bodies that are too large are refused. Without a deployment,
// every call is refused as retryable.
func TestCallValidation(t *testing.T) {
	e := startEntry(t, 1)
	require.Equal(t, http.StatusUnauthorized, e.doKey(http.MethodGet, "/read/x", "", "other").status)
	require.Equal(t, http.StatusUnauthorized, e.doKey(http.MethodGet, "/read/x", "", "").status)
	require.Equal(t, http.StatusNotFound, e.do(http.MethodGet, "/nowhere/x", "").status)
	require.Equal(t, http.StatusOK, e.doKey(http.MethodGet, "/public/x", "", "").status)
	require.Equal(t, http.StatusRequestEntityTooLarge, e.do(http.MethodPost, "/read/x", strings.Repeat("x", 1<<20+1)).status)
	e.d.Store(nil)
	c := e.do(http.MethodGet, "/read/x", "")
	require.Equal(t, http.StatusServiceUnavailable, c.status, "401 and 404 must not be sent before a deployment is known")
	require.NotEmpty(t, c.header.Get("Retry-After"))
}

// A non-idempotent call is resent only if its endpoint stated that it did not run the call.
func TestNonIdempotentCallRunsAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		behaviour bluebellstub.Behaviour
		status    int
	}{
		{bluebellstub.Truncating, http.StatusBadGateway},
		{bluebellstub.Failing, http.StatusInternalServerError},
		{bluebellstub.Unsealed, http.StatusBadGateway},
		{bluebellstub.Unavailable, http.StatusBadGateway},
		{bluebellstub.Unresponsive, http.StatusGatewayTimeout},
	} {
		e := startEntry(t, 3)
		e.behave(c.behaviour)
		got := e.do(http.MethodPost, "/once/x", "order")
		require.NoError(t, got.err)
		require.Equal(t, c.status, got.status, c.behaviour)
		require.Len(t, e.runs(), 1, c.behaviour)
	}
}

// If all endpoints decline a call without running it, the caller receives a retryable refusal by
// the entry, which has no endpoint's seal. If one endpoint accepts, the call runs there.
func TestDeclinedCallIsRefusedAsNotRun(t *testing.T) {
	e := startEntry(t, 3)
	e.behave(bluebellstub.Declining)
	c := e.do(http.MethodPost, "/once/x", "order")
	require.Equal(t, http.StatusServiceUnavailable, c.status)
	require.NotEmpty(t, c.header.Get("Retry-After"))
	require.Empty(t, bluebellplatform.Seal(c.header))
	require.Empty(t, e.runs())
	e.endpoints[1].SetBehaviour(bluebellstub.Normal)
	require.Equal(t, http.StatusOK, e.do(http.MethodPost, "/once/x", "order").status, "the call must run at the only endpoint that accepts calls")
}

// An idempotent call whose endpoint fails is retried at another endpoint.
func TestIdempotentCallIsRetried(t *testing.T) {
	for _, b := range []bluebellstub.Behaviour{
		bluebellstub.Truncating, bluebellstub.Failing, bluebellstub.Unsealed, bluebellstub.Unresponsive, bluebellstub.Unavailable,
	} {
		e := startEntry(t, 2)
		e.endpoints[0].SetBehaviour(b)
		for range 4 {
			c := e.do(http.MethodGet, "/read/x", "")
			require.NoError(t, c.err)
			require.Equal(t, http.StatusOK, c.status, b)
			require.Equal(t, bluebellstub.AnswerBody(c.id), c.body)
		}
	}
}

// If all attempts fail with an endpoint's own error response, the caller receives that response.
func TestEndpointErrorIsForwarded(t *testing.T) {
	e := startEntry(t, 2)
	e.behave(bluebellstub.Failing)
	c := e.do(http.MethodGet, "/read/x", "")
	require.Equal(t, http.StatusInternalServerError, c.status)
	require.NotEmpty(t, bluebellplatform.Seal(c.header))
	require.Len(t, e.runs(), 2, "the route allows two attempts")
}

// An endpoint that sends two responses to one call, or responses that end with the connection, must
// not cause a caller to receive the response to another call.
func TestResponsesToOtherCallsAreNotDelivered(t *testing.T) {
	for _, b := range []bluebellstub.Behaviour{bluebellstub.Duplicating, bluebellstub.Unframed} {
		e := startEntry(t, 1)
		e.behave(b)
		for range 10 {
			c := e.do(http.MethodPost, "/once/x", "order")
			require.NoError(t, c.err)
			require.Equal(t, bluebellstub.AnswerBody(c.id), c.body)
		}
	}
}

// eventsText returns the first n events of the stub's stream for a call.
func eventsText(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(bluebellstub.Event(id, i))
	}
	return b.String()
}

// The caller receives all events of a stream unchanged.
// A second copy of an answer may arrive on a connection that carries the next call. An answer
// without the ID of its call may be such a copy, and is given to no caller if the connection has
// carried another call. On a new connection it can only be the answer to this call.
func TestAnswerWithoutCallIDIsNotDelivered(t *testing.T) {
	for _, path := range []string{"/once/x", "/read/x", "/stream/x", "/stream/again/x"} {
		e := startEntry(t, 1)
		require.Equal(t, http.StatusOK, e.do(http.MethodPost, "/once/x", "first").status)
		e.behave(bluebellstub.Unidentified)
		c := e.do(http.MethodPost, path, "second")
		require.NoError(t, c.err)
		require.Equal(t, http.StatusBadGateway, c.status, path)
		require.NotContains(t, c.body, "answer to")
		require.Equal(t, http.StatusOK, e.do(http.MethodPost, path, "third").status, path)
	}
}

func TestStreamIsForwarded(t *testing.T) {
	e := startEntry(t, 1)
	c := e.do(http.MethodPost, "/stream/x", "prompt")
	require.NoError(t, c.err)
	require.Equal(t, eventsText(c.id, bluebellstub.StreamEvents), c.body)
}

// A broken stream continues at another endpoint after the last event that was delivered, but only
// if its route is resumable. Otherwise the caller's connection is aborted.
func TestBrokenStreamIsResumedOnlyOnResumableRoute(t *testing.T) {
	e := startEntry(t, 2)
	e.endpoints[0].SetBehaviour(bluebellstub.Truncating)
	resumed := false
	for range 6 {
		c := e.do(http.MethodPost, "/stream/again/x", "prompt")
		require.NoError(t, c.err)
		require.Equal(t, eventsText(c.id, bluebellstub.StreamEvents), c.body)
	}
	for _, r := range e.endpoints[1].Runs() {
		resumed = resumed || r.Call.ResumeAfter == "2"
	}
	require.True(t, resumed)

	e = startEntry(t, 1)
	e.behave(bluebellstub.Truncating)
	c := e.do(http.MethodPost, "/stream/x", "prompt")
	require.Error(t, c.err, "a broken stream must not look complete")
	require.Equal(t, eventsText(c.id, 2), c.body, "only complete events may be delivered")
	require.Len(t, e.runs(), 1)
}

// Without the ID of the last event, the position at which to resume the stream is unknown.
func TestStreamWithoutEventIDsIsNotResumed(t *testing.T) {
	e := startEntry(t, 2)
	e.behave(bluebellstub.Unnumbered)
	c := e.do(http.MethodPost, "/stream/again/x", "prompt")
	require.Error(t, c.err)
	require.Equal(t, 2, strings.Count(c.body, "data:"), "no event may be delivered twice")
	require.Len(t, e.runs(), 1)
}

// A caller that disconnects cancels its call at the endpoint.
func TestCallerDisconnectCancelsCall(t *testing.T) {
	e := startEntry(t, 1)
	e.behave(bluebellstub.Unresponsive)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address+"/once/x", strings.NewReader("order"))
	require.NoError(t, err)
	r.Host = "h.example"
	r.Header = bluebellplatform.CallerHeader(bluebellplatform.Call{ID: "gone", Key: "k", TimeLeft: 2 * time.Second})
	go func() {
		response, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = response.Body.Close()
		}
	}()
	require.Eventually(t, func() bool { return e.endpoints[0].ActiveCalls() == 1 }, testTimeout, time.Millisecond)
	cancel()
	cancelledAt := time.Now()
	require.Eventually(t, func() bool { return e.endpoints[0].ActiveCalls() == 0 }, testTimeout, time.Millisecond)
	require.Less(t, time.Since(cancelledAt), 500*time.Millisecond)
}

// strayRefuser starts an endpoint that runs each call, but answers every call after the first on a
// connection with a refusal that names no call, as a delayed refusal of an earlier call would look.
func strayRefuser(t *testing.T, id string, runs *atomic.Int64) bluebellfleet.Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					runs.Add(1)
					in, _ := bluebellplatform.DecodeIncomingCall(r.Header)
					if n > 0 {
						_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n")
						_ = bluebellplatform.NotRunHeader("").Write(conn)
						_, _ = io.WriteString(conn, "Content-Length: 0\r\n\r\n")
						continue
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
					_ = bluebellplatform.AnswerHeader(in.CallID, "seal").Write(conn)
					_, _ = io.WriteString(conn, "Content-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return bluebellfleet.Endpoint{ID: id, Target: "app", Address: listener.Addr().String(), State: bluebellfleet.Serving, StartUnixMillis: 1, Sequence: 1}
}

// On a reused connection, a refusal that names no call may be a delayed response to an earlier
// call, so it does not prove that the current call has not run.
func TestRefusalWithoutCallIDIsNotTrusted(t *testing.T) {
	e := startEntry(t, 0)
	var runs atomic.Int64
	e.placer.Update(bluebellplacement.Fleet{Entries: []string{"e1"}, Endpoints: []bluebellfleet.Endpoint{
		strayRefuser(t, "i-1", &runs), strayRefuser(t, "i-2", &runs),
	}})
	for call := range int64(8) {
		before := runs.Load()
		got := e.do(http.MethodPost, "/once/x", "order")
		require.NoError(t, got.err)
		require.Equal(t, before+1, runs.Load(), "call %d ran more than once", call)
		require.Contains(t, []int{http.StatusOK, http.StatusBadGateway}, got.status, "a call that has run must not be refused as not run")
	}
}

// head returns the request line and header of a call, without the framing headers.
func head(path, id string) string {
	var b strings.Builder
	b.WriteString("POST " + path + " HTTP/1.1\r\nHost: h.example\r\n")
	// Writes to a strings.Builder do not fail.
	_ = bluebellplatform.CallerHeader(bluebellplatform.Call{ID: id, Key: "k"}).Write(&b)
	return b.String()
}

// Bytes behind a body of ambiguous length must not be parsed as a call (request smuggling).
func TestSmuggledCallsAreNotRun(t *testing.T) {
	e := startEntry(t, 1)
	hidden := head("/once/hidden", "hidden") + "Content-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"length and chunks": "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"two lengths":       "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + hidden,
		"unknown coding":    "Transfer-Encoding: xchunked\r\n\r\n" + hidden,
		"a body":            fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(hidden), hidden),
	} {
		conn, err := net.Dial("tcp", e.address)
		require.NoError(t, err)
		_, err = io.WriteString(conn, head("/once/x", "seen")+text)
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
		_, _ = io.Copy(io.Discard, bufio.NewReader(conn))
		require.NoError(t, conn.Close())
		for _, r := range e.runs() {
			require.Equal(t, "seen", r.Call.CallID, name)
		}
	}
}

// During a planned stop, accepted calls are finished. A call that might not finish before the end
// of the stop is refused with a response on its connection, so that the caller retries at another
// entry.
func TestPlannedStopFinishesAcceptedCalls(t *testing.T) {
	e := startEntry(t, 1)
	require.Equal(t, http.StatusOK, e.do(http.MethodGet, "/read/x", "").status)
	e.stop()
	stopStart := time.Now()
	refused := false
	for time.Since(stopStart) < 2500*time.Millisecond {
		c := e.do(http.MethodPost, "/once/x", "order")
		require.NoError(t, c.err)
		require.Equal(t, http.StatusOK, c.status)
		require.True(t, c.closes || time.Since(stopStart) < time.Second)
		time.Sleep(50 * time.Millisecond)
	}
	for !refused {
		c := e.do(http.MethodPost, "/once/x", "order")
		if c.err != nil {
			break
		}
		refused = c.status == http.StatusServiceUnavailable
	}
	select {
	case err := <-e.ended:
		require.NoError(t, err)
	case <-time.After(testTimeout):
		require.Fail(t, "Serve must return after the stop")
	}
	require.Less(t, time.Since(stopStart), 8*time.Second)
	for _, r := range e.runs() {
		require.True(t, r.Finished)
	}
}

// A stream without framing that ends with its connection is complete after an event, and broken off
// before the first one.
func TestUnframedStreamWithoutEventsIsNotAnswered(t *testing.T) {
	e := startEntry(t, 3)
	e.behave(bluebellstub.UnframedStream)
	c := e.do(http.MethodPost, "/stream/x", "")
	require.Equal(t, http.StatusOK, c.status)
	require.Equal(t, bluebellstub.StreamEvents, strings.Count(c.body, "data:"))
	e.behave(bluebellstub.UnframedEmptyStream)
	require.Equal(t, http.StatusBadGateway, e.do(http.MethodPost, "/stream/x", "").status)
	e.behave(bluebellstub.Normal)
	e.endpoints[0].SetBehaviour(bluebellstub.UnframedEmptyStream)
	for range 6 {
		c = e.do(http.MethodPost, "/stream/again/x", "")
		require.Equal(t, http.StatusOK, c.status)
		require.Equal(t, bluebellstub.StreamEvents, strings.Count(c.body, "data:"), "resumable streams go on elsewhere")
	}
}

// A call that an endpoint breaks off is suspect until it is answered elsewhere.
func TestAnswerClearsCallThatWasBrokenOff(t *testing.T) {
	e := startEntry(t, 2)
	e.endpoints[0].SetBehaviour(bluebellstub.Truncating)
	for len(e.endpoints[0].Runs()) == 0 {
		require.Equal(t, http.StatusOK, e.do(http.MethodGet, "/read/x", "").status)
	}
	require.Empty(t, e.guard.Report(e.now()))
	e.endpoints[1].SetBehaviour(bluebellstub.Truncating)
	require.Equal(t, http.StatusBadGateway, e.do(http.MethodPost, "/once/x", "order").status)
	require.Len(t, e.guard.Report(e.now()), 1)
}

// A call in quarantine is refused at once as not run, with the rest of the term as Retry-After, and
// reaches no endpoint. Other calls are served.
func TestQuarantinedCallIsRefused(t *testing.T) {
	e := startEntry(t, 1)
	subject := bluebellquarantine.Call("c", "h.example", "/once/x", nil, []byte("order"))
	e.guard.SetVerdicts(e.now(), []bluebellquarantine.Verdict{{Subject: subject, Until: e.now() + time.Minute}})
	c := e.do(http.MethodPost, "/once/x", "order")
	require.Equal(t, http.StatusServiceUnavailable, c.status)
	retryAfter, err := strconv.ParseFloat(c.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, 60, retryAfter, 2)
	require.Empty(t, e.runs())
	require.Equal(t, http.StatusOK, e.do(http.MethodPost, "/once/x", "another order").status)
}

// A call whose answer has not begun is withdrawn from its endpoint when a block of it is put in
// quarantine. It may have run, so it is not refused as not run.
func TestVerdictWithdrawsCallFromEndpoint(t *testing.T) {
	e := startEntry(t, 1)
	e.behave(bluebellstub.Unresponsive)
	answered := make(chan call, 1)
	blocks := []bluebellplatform.Block{{ID: "first", Tokens: 10}, {ID: "own", Tokens: 10}}
	go func() { answered <- e.doBlocks(http.MethodPost, "/stream/x", blocks) }()
	require.Eventually(t, func() bool { return len(e.runs()) == 1 }, testTimeout, time.Millisecond)
	e.guard.SetVerdicts(e.now(), []bluebellquarantine.Verdict{{Subject: bluebellquarantine.Block("", "first", 0), Until: e.now() + time.Minute}})
	c := <-answered
	require.Equal(t, http.StatusBadGateway, c.status)
	require.Eventually(t, func() bool { return e.endpoints[0].ActiveCalls() == 0 }, testTimeout, time.Millisecond, "the endpoint drops the call")
	require.Equal(t, http.StatusServiceUnavailable, e.doBlocks(http.MethodPost, "/stream/x", blocks).status)
	require.Len(t, e.runs(), 1)
}

// A retry that waits for the turn of a limited endpoint does not make the entry refuse calls that
// another endpoint can take.
func TestRetryAtLimitedEndpointDoesNotRefuseOtherCalls(t *testing.T) {
	e := startEntry(t, 2)
	limited, free := e.endpoints[0], e.endpoints[1]
	limited.SetRateLimit("4")
	for limited.Arrivals() == 0 {
		require.Equal(t, http.StatusOK, e.do(http.MethodGet, "/read/x", "").status)
	}
	for range 10 {
		free.SetBehaviour(bluebellstub.Failing)
		ran := len(free.Runs())
		retried := make(chan call, 1)
		go func() { retried <- e.do(http.MethodGet, "/read/x", "") }()
		// The call goes to the limited endpoint if its turn has come.
		require.Eventually(t, func() bool { return len(free.Runs()) > ran || len(retried) == 1 }, testTimeout, time.Millisecond)
		free.SetBehaviour(bluebellstub.Normal)
		for range 5 {
			require.Equal(t, http.StatusOK, e.do(http.MethodGet, "/read/y", "").status)
		}
		<-retried
	}
}
