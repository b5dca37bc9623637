package bluebellorder_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/platform/bluebellplatform"
)

// answer is an answer that an endpoint has written to a connection.
type answer struct {
	path string
	text []byte
}

// serveCopies serves connections and returns the address. Before each answer it writes the bytes that
// copyOf returns for the path of the request and the earlier answers of the connection.
func serveCopies(t *testing.T, handler http.Handler, copyOf func(path string, earlier []answer) []byte) string {
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
			go serveConnection(conn, handler, copyOf)
		}
	}()
	return listener.Addr().String()
}

func serveConnection(conn net.Conn, handler http.Handler, copyOf func(path string, earlier []answer) []byte) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var earlier []answer
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		response := recorder.Result()
		response.ContentLength = int64(recorder.Body.Len())
		var text bytes.Buffer
		if err := response.Write(&text); err != nil {
			return
		}
		if _, err := conn.Write(slices.Concat(copyOf(r.URL.Path, earlier), text.Bytes())); err != nil {
			return
		}
		earlier = append(earlier, answer{path: r.URL.Path, text: text.Bytes()})
	}
}

// firstTo returns the first answer to a path, nil if there is none.
func firstTo(path string, earlier []answer) []byte {
	for _, a := range earlier {
		if a.path == path {
			return a.text
		}
	}
	return nil
}

// register registers an endpoint, and renews the registration until the test ends.
func (c *cluster) register(t *testing.T, e *endpoint, address string) {
	t.Helper()
	done, stopped := make(chan struct{}), make(chan struct{})
	merge := func(sequence uint64) {
		e.mu.Lock()
		defer e.mu.Unlock()
		c.registry.Merge(bluebellfleet.Endpoint{
			ID: e.id, Target: "llm", Address: address, State: bluebellfleet.Serving,
			StartUnixMillis: 1, Sequence: sequence, Weights: map[string]uint64{"m0": e.version}, ReceivedAt: c.now(),
		})
	}
	merge(1)
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(200 * time.Millisecond)
		defer ticker.Stop()
		for sequence := uint64(2); ; sequence++ {
			select {
			case <-ticker.C:
				merge(sequence)
			case <-done:
				return
			}
		}
	}()
	t.Cleanup(func() {
		close(done)
		<-stopped
	})
}

// refusingEndpoint is an endpoint that refuses its next order with a status, if that is not 0.
type refusingEndpoint struct {
	*endpoint
	cluster *cluster

	mu     sync.Mutex
	status int
}

func (e *refusingEndpoint) refuseNext(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status = status
}

func (e *refusingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status == 0 || r.URL.Path != bluebellplatform.OrderPath {
		e.cluster.serve(e.endpoint, w, r)
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
	e.endpoint.mu.Lock()
	defer e.endpoint.mu.Unlock()
	e.orders, e.fencingNumbers = append(e.orders, time.Now()), append(e.fencingNumbers, order.Fencing)
	w.WriteHeader(e.status)
	e.status = 0
}

// The answer to an earlier request on a kept connection was taken for that to an order, so that a refusal of the
// order was not noticed: the endpoint was awaited for 6 s, and a refused fencing number was used again.
func TestCopyIsNotTakenForAnswerToOrder(t *testing.T) {
	for name, test := range map[string]struct {
		// copied is the path whose first answer is copied.
		copied string
		// version is the version that the endpoint has loaded before that.
		version uint64
		// refusal is the status of the answer to the order for the next version.
		refusal int
		// fencing is the number of the order after that, and maxDelay bounds the time until then.
		fencing  uint64
		maxDelay time.Duration
	}{
		"Report":         {copied: bluebellplatform.ReportPath, version: 1, refusal: http.StatusServiceUnavailable, fencing: 1, maxDelay: 4 * time.Second},
		"ReportRefusal":  {copied: bluebellplatform.ReportPath, version: 1, refusal: bluebellplatform.OrderFencingRefused, fencing: 2, maxDelay: eventTimeout},
		"Accepted":       {copied: bluebellplatform.OrderPath, version: 2, refusal: http.StatusServiceUnavailable, fencing: 1, maxDelay: 4 * time.Second},
		"AcceptedFenced": {copied: bluebellplatform.OrderPath, version: 2, refusal: bluebellplatform.OrderFencingRefused, fencing: 2, maxDelay: eventTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 0)
			e := &refusingEndpoint{endpoint: &endpoint{id: "i-0", version: 1}, cluster: c}
			c.register(t, e.endpoint, serveCopies(t, e, func(path string, earlier []answer) []byte {
				if path != bluebellplatform.OrderPath {
					return nil
				}
				return firstTo(test.copied, earlier)
			}))
			if test.version > 1 {
				c.requested.Store(test.version)
				require.Eventually(t, func() bool { return c.allHave(test.version) && c.loading.Load() == 0 }, eventTimeout, time.Millisecond)
			}
			e.refuseNext(test.refusal)
			c.requested.Store(test.version + 1)
			refused := int(test.version) - 1
			orders := func() ([]time.Time, []uint64) {
				e.endpoint.mu.Lock()
				defer e.endpoint.mu.Unlock()
				return slices.Clone(e.orders), slices.Clone(e.fencingNumbers)
			}
			require.Eventually(t, func() bool {
				_, numbers := orders()
				return len(numbers) > refused+1
			}, eventTimeout, time.Millisecond)
			times, numbers := orders()
			require.Equal(t, test.fencing, numbers[refused+1])
			require.Less(t, times[refused+1].Sub(times[refused]), test.maxDelay)
			require.Eventually(t, func() bool { return c.allHave(test.version + 1) }, eventTimeout, time.Millisecond)
		})
	}
}

// A copy of an earlier report has the sequence of earlier orders. The order that named it was refused, and the endpoint
// was awaited for 6 s.
func TestCopyIsNotTakenForReport(t *testing.T) {
	c := newCluster(t, 0)
	e := &endpoint{id: "i-0", version: 1}
	c.endpoints = append(c.endpoints, e)
	c.register(t, e, serveCopies(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(e, w, r) }),
		func(path string, earlier []answer) []byte {
			if path != bluebellplatform.ReportPath || c.requested.Load() != 3 {
				return nil
			}
			return firstTo(path, earlier)
		}))
	c.requested.Store(2)
	require.Eventually(t, func() bool { return c.allHave(2) && c.loading.Load() == 0 }, eventTimeout, time.Millisecond)
	c.requested.Store(3)
	require.Eventually(t, func() bool { return c.allHave(3) }, 4*time.Second, time.Millisecond)
	require.Equal(t, 2, c.orders(), "orders")
}
