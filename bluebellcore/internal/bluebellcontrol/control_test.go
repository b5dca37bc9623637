package bluebellcontrol_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
	"bluebellhaven.org/bluebellcore/internal/bluebellcontrol"
	"bluebellhaven.org/platform/bluebellplatform"
)

// state is an agreed state of one process, with or without a quorum.
type state struct {
	mu      sync.Mutex
	machine *bluebellstate.Machine
	quorum  bool
	agreed  int
}

func (s *state) propose(_ context.Context, c *pb.Command) (*pb.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.quorum {
		return nil, errors.New("no quorum")
	}
	s.agreed++
	return s.machine.Apply(c), nil
}

func (s *state) deployment() (*pb.Deployment, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.View().Deployment, s.machine.View().Revision
}

type fixture struct {
	*state
	registry *bluebellfleet.Registry
	url      string
}

func start(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{state: &state{machine: bluebellstate.New(), quorum: true}}
	started := time.Now()
	now := func() time.Duration { return time.Since(started) + time.Second }
	f.registry = bluebellfleet.NewRegistry(bluebellfleet.Config{Now: now})
	server := bluebellcontrol.New(bluebellcontrol.Config{
		Registry: f.registry, Deployment: f.deployment, Propose: f.propose, Now: now,
		Observe: func(string, int, time.Duration) {}, Logger: log.New(io.Discard),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.url = "http://" + listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return f
}

func (f *fixture) do(t *testing.T, method, path, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer func() { require.NoError(t, response.Body.Close()) }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(text)
}

func declaration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"stream","timeout_ms":9,"service":"a"}],"services":[{"name":"a"}]}`, version)
}

func TestDeclarationsAreReadBackAsTheyWereSent(t *testing.T) {
	f := start(t)
	status, _ := f.do(t, http.MethodGet, "/config", "")
	require.Equal(t, http.StatusServiceUnavailable, status, "nothing is declared")
	for _, version := range []int{3, 9, 5, 9} {
		status, _ := f.do(t, http.MethodPut, "/config", declaration(version))
		require.Equal(t, http.StatusOK, status)
	}
	status, _ = f.do(t, http.MethodPut, "/config", strings.Replace(declaration(9), `"/"`, `"/other/"`, 1))
	require.Equal(t, http.StatusOK, status)
	status, text := f.do(t, http.MethodGet, "/config", "")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, declaration(9), text)
}

func TestInvalidDeclarationsAreRefusedAndNotInForce(t *testing.T) {
	f := start(t)
	f.do(t, http.MethodPut, "/config", declaration(1))
	for _, body := range []string{declaration(2)[:40], strings.Replace(declaration(2), `"service":"a"`, `"service":"b"`, 1), ""} {
		status, _ := f.do(t, http.MethodPut, "/config", body)
		require.Equal(t, http.StatusBadRequest, status)
	}
	_, text := f.do(t, http.MethodGet, "/config", "")
	require.Equal(t, declaration(1), text)
}

func TestWithoutAQuorumNothingIsAcknowledgedOrRead(t *testing.T) {
	f := start(t)
	f.do(t, http.MethodPut, "/config", declaration(1))
	f.mu.Lock()
	f.quorum = false
	f.mu.Unlock()
	for _, c := range [][3]string{
		{http.MethodPut, "/config", declaration(2)},
		{http.MethodGet, "/config", ""},
		{http.MethodPost, "/evac/a", ""},
		{http.MethodPost, "/version-put", `{"model":"m0","version":2}`},
	} {
		status, _ := f.do(t, c[0], c[1], c[2])
		require.Equal(t, http.StatusServiceUnavailable, status, c)
	}
	status, _ := f.do(t, http.MethodPut, "/config", declaration(1))
	require.Equal(t, http.StatusOK, status, "what was acknowledged before is again")
}

func TestOrdersOfOperators(t *testing.T) {
	f := start(t)
	for range 2 {
		status, _ := f.do(t, http.MethodPost, "/evac/a", "")
		require.Equal(t, http.StatusOK, status)
		status, _ = f.do(t, http.MethodPost, "/version-put", `{"model":"m0","version":2}`)
		require.Equal(t, http.StatusOK, status)
	}
	d, _ := f.deployment()
	require.Equal(t, []string{"a"}, d.DomainsOut)
	require.Equal(t, uint64(2), bluebellstate.WeightsOf(d, "m0"))
	status, _ := f.do(t, http.MethodDelete, "/evac/a", "")
	require.Equal(t, http.StatusOK, status)
	d, _ = f.deployment()
	require.Empty(t, d.DomainsOut)
	status, _ = f.do(t, http.MethodPost, "/version-put", `{"model":"m0"}`)
	require.Equal(t, http.StatusBadRequest, status)
	status, _ = f.do(t, http.MethodPost, "/rollouts", `{}`)
	require.Equal(t, http.StatusNotImplemented, status)
	status, _ = f.do(t, http.MethodGet, "/else", "")
	require.Equal(t, http.StatusNotFound, status)
}

func (f *fixture) register(t *testing.T, e bluebellfleet.Endpoint) int {
	t.Helper()
	path, body, err := bluebellplatform.EncodeRegistration(e, 0)
	require.NoError(t, err)
	status, _ := f.do(t, http.MethodPut, path, string(body))
	return status
}

func TestEndpointsComeAndLeave(t *testing.T) {
	f := start(t)
	e := bluebellfleet.Endpoint{ID: "i-1", Target: "a", Address: "10.0.0.1:1", FailureDomain: "d", State: bluebellfleet.Serving, Born: 100, Sequence: 1}
	require.Equal(t, http.StatusOK, f.register(t, e))
	require.Len(t, f.registry.Endpoints(), 1)
	status, _ := f.do(t, http.MethodPut, "/instances/i-2", `{"torn":`)
	require.Equal(t, http.StatusBadRequest, status)
	status, _ = f.do(t, http.MethodDelete, "/instances/i-1", `{"born":50}`)
	require.Equal(t, http.StatusOK, status)
	require.Len(t, f.registry.Endpoints(), 1, "an earlier incarnation left")
	status, _ = f.do(t, http.MethodDelete, "/instances/i-1", "")
	require.Equal(t, http.StatusOK, status)
	require.Empty(t, f.registry.Endpoints())
	status, _ = f.do(t, http.MethodDelete, "/instances/none", "")
	require.Equal(t, http.StatusOK, status)
}
