package bluebelldispatch_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"bluebellhaven.org/bluebell/bluebellmove"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellroute"
	"bluebellhaven.org/bluebell/bluebellstate"
	"bluebellhaven.org/bluebellentry/internal/bluebelldispatch"
	"bluebellhaven.org/bluebellentry/internal/bluebellupstream"
)

var errNoLeader = errors.New("no voter leads")

// voters is an agreed state to which commands are applied while there is a leader.
type voters struct {
	mu      sync.Mutex
	machine *bluebellstate.Machine
	leader  bool
	// lossy is set if commands are agreed and the answers to their proposals are lost.
	lossy bool
	// proposed counts the proposals, and pending those that are not answered yet.
	proposed, pending, maxPending int
}

// newVoters returns voters without a leader. They agreed on a configuration in which the VM d0-0 owns the endpoint e0,
// and a call is poisoned that has crashed a number of endpoints.
func newVoters(t *testing.T, poisonLimit uint32) *voters {
	t.Helper()
	c := &pb.Configuration{
		Name: "c", Voters: []string{"d0-0"},
		Policy: &pb.Policy{
			CallTimeout: durationpb.New(time.Second), StreamTimeout: durationpb.New(time.Second), KeyRetention: durationpb.New(time.Hour),
			RetryPercent: 100, PoisonLimit: poisonLimit, RampFactor: 2, CanaryShare: 0.05,
		},
		FailureDomains: []*pb.FailureDomain{{Name: "d0"}},
		VMs:            []*pb.VM{{Name: "d0-0", FailureDomain: "d0"}},
		Targets:        []*pb.Target{{Name: "t", Kind: pb.Kind_Service, Version: "v1"}},
		Endpoints:      []*pb.Endpoint{{Name: "e0", Address: "e0:80", Target: "t", FailureDomain: "d0", Slots: 1000, ColdSlots: 1000}},
	}
	v := &voters{machine: bluebellstate.New()}
	result := v.machine.Apply(&pb.Command{ChangeID: "c1", Operator: "op", Body: &pb.Command_Apply{Apply: c}})
	require.Equal(t, pb.Verdict_Accepted, result.Verdict, result.Text)
	return v
}

// propose applies a command. Without a leader it waits for one and fails when ctx ends.
func (v *voters) propose(ctx context.Context, c *pb.Command) (*pb.Result, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.proposed++
	v.pending++
	defer func() { v.pending-- }()
	v.maxPending = max(v.maxPending, v.pending)
	var result *pb.Result
	if v.leader || v.lossy {
		result = v.machine.Apply(c)
	}
	if v.leader {
		return result, nil
	}
	v.mu.Unlock()
	<-ctx.Done()
	v.mu.Lock()
	return nil, errNoLeader
}

func (v *voters) elect() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leader = true
}

// counts returns the number of proposals, and the most that were pending at a time.
func (v *voters) counts() (proposed, maxPending int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.proposed, v.maxPending
}

func (v *voters) view() *pb.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.machine.View()
}

func (v *voters) poisons() int { return len(v.view().PoisonDigests) }

// dialCrashing opens a connection to an endpoint that closes it once it has read the request.
func dialCrashing(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		if r, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		// Unlike with TCP, the other side cannot set a deadline any more once this side is closed.
		time.Sleep(time.Millisecond)
	}()
	return client, nil
}

// newDispatcher returns a dispatcher of the VM d0-0, whose endpoint crashes at each call.
func newDispatcher(t *testing.T, v *voters) *bluebelldispatch.Dispatcher {
	t.Helper()
	started := time.Now()
	d := bluebelldispatch.New(bluebelldispatch.Config{
		VM: "d0-0", Router: bluebellroute.NewRouter(bluebellroute.Config{VM: "d0-0", LoadBound: 1.5}),
		Upstream: bluebellupstream.NewClient(bluebellupstream.ClientConfig{Dial: dialCrashing}),
		Outcomes: bluebellmove.NewOutcomeCounter("d0-0", 1), Propose: v.propose, View: v.view,
		Now: func() time.Duration { return time.Since(started) + time.Second }, WallClock: time.Now, After: time.After,
		NewID: func() string { return "id" }, Record: func(*pb.RoutingRecord) {}, Logger: log.New(io.Discard),
		Metrics: bluebelldispatch.MetricFuncs{
			Retry: func(string) {}, FirstToken: func(_, _, _ string, _ time.Duration) {}, Blocks: func(string, int, int) {}, Crash: func(string) {},
		},
	})
	t.Cleanup(d.Drain)
	health := map[string]*pb.EndpointHealth{"e0": {Endpoint: "e0", State: pb.HealthState_Ready, Versions: []string{"v1"}, Incarnation: "i1"}}
	d.SetTable(bluebellroute.BuildTable(bluebellroute.TableInput{View: v.view(), Health: health}), v.view().Configuration.Policy, 0)
	return d
}

func call(body string) *bluebelldispatch.Call {
	return &bluebelldispatch.Call{
		RequestID: "r", Customer: &pb.Customer{Name: "c"}, Target: "t", Kind: pb.Kind_Service, Method: "POST", Path: "/",
		Body: []byte(body), StartBy: 100 * time.Hour,
	}
}

// A report that was not agreed in time, since the leader had lost its term, was dropped, and the call went on to crash
// endpoints.
func TestCrashReportIsRepeatedUntilAgreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVoters(t, 1)
		d := newDispatcher(t, v)
		started := time.Now()
		_, err := d.Do(t.Context(), call("boom"))
		require.Equal(t, bluebelldispatch.CodeEndpointFailed, err.Code)
		require.Less(t, time.Since(started), 5100*time.Millisecond)
		time.Sleep(20 * time.Second)
		require.Zero(t, v.poisons())
		v.elect()
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, v.poisons())
		_, err = d.Do(t.Context(), call("boom"))
		require.Equal(t, bluebelldispatch.CodeRequestCrashesEndpoints, err.Code)
		proposed, _ := v.counts()
		time.Sleep(time.Minute)
		after, _ := v.counts()
		require.Equal(t, proposed, after, "agreed reports are not repeated")
	})
}

func TestCrashReportOutlastsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVoters(t, 1)
		d := newDispatcher(t, v)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		started := time.Now()
		_, err := d.Do(ctx, call("boom"))
		require.Equal(t, bluebelldispatch.CodeEndpointFailed, err.Code)
		require.LessOrEqual(t, time.Since(started), 2*time.Second)
		v.elect()
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, v.poisons())
	})
}

// The answers to proposals are lost, so the report of one crash is agreed several times.
func TestCrashReportThatIsAgreedAgainCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVoters(t, 2)
		v.lossy = true
		d := newDispatcher(t, v)
		_, err := d.Do(t.Context(), call("boom"))
		require.Equal(t, bluebelldispatch.CodeEndpointFailed, err.Code)
		time.Sleep(20 * time.Second)
		proposed, _ := v.counts()
		require.Greater(t, proposed, 2)
		v.elect()
		time.Sleep(5 * time.Second)
		require.Zero(t, v.poisons())
	})
}

// While there is no leader, the same crash is reported once at a time, the reports are limited in number, and each is
// given up after a while.
func TestPendingCrashReportsAreBounded(t *testing.T) {
	for _, c := range []struct {
		name          string
		body          func(n int) string
		pending, most int
	}{
		{"SameCall", func(int) string { return "boom" }, 1, 1},
		{"DifferentCalls", func(n int) string { return fmt.Sprint("boom", n) }, 200, 256},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVoters(t, 1)
				d := newDispatcher(t, v)
				var calls sync.WaitGroup
				for n := range 600 {
					calls.Go(func() {
						_, err := d.Do(t.Context(), call(c.body(n)))
						require.NotNil(t, err)
					})
				}
				calls.Wait()
				_, maxPending := v.counts()
				require.GreaterOrEqual(t, maxPending, c.pending)
				require.LessOrEqual(t, maxPending, c.most)
				time.Sleep(time.Hour)
				proposed, _ := v.counts()
				time.Sleep(time.Hour)
				after, _ := v.counts()
				require.Equal(t, proposed, after)
			})
		})
	}
}

// A report that is pending when the process stops is proposed for a little longer.
func TestStopWaitsForPendingCrashReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVoters(t, 1)
		d := newDispatcher(t, v)
		_, err := d.Do(t.Context(), call("boom"))
		require.Equal(t, bluebelldispatch.CodeEndpointFailed, err.Code)
		before, _ := v.counts()
		started := time.Now()
		d.Drain()
		require.LessOrEqual(t, time.Since(started), 5*time.Second)
		after, _ := v.counts()
		require.Greater(t, after, before)
	})
}
