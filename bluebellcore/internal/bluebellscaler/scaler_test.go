package bluebellscaler_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
	"bluebellhaven.org/bluebellcore/internal/bluebellscaler"
)

const second = time.Second

// core is a leader with 20 engines in each of three failure domains, 6 entries and one other core process.
type core struct {
	machine  *bluebellstate.Machine
	registry *bluebellfleet.Registry
	scaler   *bluebellscaler.Scaler
	now      time.Duration
	enabled  bool
	leads    bool
	// silent are the failure domains whose engines do not register. Engines with a lower number than busy have
	// prompt tokens to read.
	silent map[string]bool
	busy   int
	// failing is the number of engines that register, but have failed at all entries.
	failing   int
	failedAt  time.Duration
	entries   int
	loads     int
	refused   uint32
	failNext  int
	proposals []string
}

func newCore() *core {
	c := &core{machine: bluebellstate.New(), now: second, enabled: true, leads: true, silent: map[string]bool{}, entries: 6, loads: 2, busy: 6}
	c.registry = bluebellfleet.NewRegistry(bluebellfleet.Config{Now: func() time.Duration { return c.now }})
	c.machine.Apply(&pb.Command{Body: &pb.Command_SetCommandVersion{SetCommandVersion: &pb.SetCommandVersion{Version: 2}}})
	c.restart()
	return c
}

// restart gives the core process the state of a new leader.
func (c *core) restart() {
	c.scaler = bluebellscaler.New(bluebellscaler.Config{
		Enabled: func() bool { return c.enabled }, IsLeader: func() bool { return c.leads }, Registry: c.registry,
		Deployment: func() (*pb.Deployment, uint64) { return &pb.Deployment{}, 1 },
		Targets: func() []bluebelldeployment.Target {
			return []bluebelldeployment.Target{
				{Name: "plain"},
				{Name: "llm", Engine: &bluebelldeployment.Engine{Slots: 64, Tokens: 93_231}, Scale: &bluebelldeployment.Scale{Min: 17, Max: 40, StartDuration: 8 * second}},
			}
		},
		CoreState: c.machine.CoreState, Loads: c.peerLoads, Cores: func() int { return 2 },
		Demands: func() []*pb.TargetDemand {
			return []*pb.TargetDemand{{Target: "llm", Returning: []uint32{0, c.refused}}, {Target: "plain", Waiting: []uint32{1000}}}
		},
		Propose: c.propose, Now: func() time.Duration { return c.now }, Scope: tally.NoopScope, Logger: log.New(io.Discard),
	})
}

// peerLoads divides the uses of the engines between two core processes.
func (c *core) peerLoads() []bluebellfeed.PeerLoads {
	loads := make([]bluebellfeed.PeerLoads, c.loads)
	for n := range c.entries {
		l := &loads[n%c.loads]
		l.Entries = append(l.Entries, bluebellfeed.EntryState{Address: fmt.Sprint(n)})
	}
	for i, e := range c.registry.Endpoints() {
		u := bluebellfeed.Use{Endpoint: e.ID, Calls: 10, Tokens: 20_000, AnsweredAt: c.now}
		if i%20 < c.busy {
			u.Unread = 400_000
		}
		if i < c.failing {
			u.Failing, u.AnsweredAt = 6, c.failedAt
		}
		l := &loads[i%c.loads]
		l.Uses = append(l.Uses, u)
	}
	return loads
}

func (c *core) propose(_ context.Context, command *pb.Command) (*pb.Result, error) {
	o := command.GetOrderScale()
	if c.failNext > 0 {
		c.failNext--
		return nil, errors.New("not agreed")
	}
	c.proposals = append(c.proposals, fmt.Sprintf("%s/%s %d", o.Target, o.FailureDomain, o.Endpoints))
	return c.machine.Apply(command), nil
}

// run lets a time pass, in which the engines register as the agreed numbers say.
func (c *core) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += 250 * time.Millisecond
		for _, domain := range []string{"a", "b", "c"} {
			n, ordered := bluebellstate.OrderedEndpoints(c.machine.CoreState(), "llm", domain)
			if !ordered {
				n = 20
			}
			for i := range 40 {
				e := bluebellfleet.Endpoint{
					ID: fmt.Sprintf("%s%02d", domain, i), Address: fmt.Sprintf("%s%02d", domain, i), Target: "llm", FailureDomain: domain,
					State: bluebellfleet.Serving, StartUnixMillis: 1, Sequence: uint64(c.now), ReceivedAt: c.now,
				}
				if i >= int(n) {
					e.State = bluebellfleet.Draining
				}
				if _, known := c.registry.Endpoint(e.ID); (known || e.State == bluebellfleet.Serving) && !c.silent[domain] {
					c.registry.Merge(e)
				}
			}
		}
		c.scaler.Observe(context.Background())
	}
}

// Guards against proposals of a process that does not lead, of a deployment that has no such duty, and of a command
// that a process of an earlier release would skip.
func TestOnlyTheLeaderOfAScaledDeploymentProposes(t *testing.T) {
	for name, change := range map[string]func(c *core){
		"not enabled":     func(c *core) { c.enabled = false },
		"not the leader":  func(c *core) { c.leads = false },
		"earlier release": func(c *core) { c.setVersion(1) },
	} {
		c := newCore()
		change(c)
		c.run(40 * second)
		require.Empty(t, c.proposals, name)
	}
}

func (c *core) setVersion(version uint32) {
	c.machine.Apply(&pb.Command{Body: &pb.Command_SetCommandVersion{SetCommandVersion: &pb.SetCommandVersion{Version: version}}})
}

// Guards against repeated proposals of the same number, and against a target that declares no bounds being scaled.
func TestCalmLoadIsAgreedStepByStep(t *testing.T) {
	c := newCore()
	c.run(90 * second)
	require.Equal(t, []string{"llm/a 18", "llm/b 18", "llm/c 18", "llm/a 17", "llm/b 17", "llm/c 17"}, c.proposals)
	require.Equal(t, []bluebellscaler.ScaleOrder{{"llm", "a", 17}, {"llm", "b", 17}, {"llm", "c", 17}}, bluebellscaler.AgreedScales(c.machine.CoreState()))
}

// Guards against a new leader that begins at the numbers of the start, or lowers before it has observed for long.
func TestNewLeaderGoesOnFromAgreedNumbers(t *testing.T) {
	c := newCore()
	c.run(20 * second)
	require.Len(t, c.proposals, 3)
	c.restart()
	c.run(10 * second)
	require.Len(t, c.proposals, 3)
	c.run(10 * second)
	require.Equal(t, []string{"llm/a 17", "llm/b 17", "llm/c 17"}, c.proposals[3:])
}

// Guards against a number that is not ordered because its first proposal was lost.
func TestFailedProposalIsRepeated(t *testing.T) {
	c := newCore()
	c.run(5 * second)
	c.refused, c.failNext, c.busy = 200, 3, 14
	c.run(4 * second)
	require.Equal(t, []string{"llm/a 22", "llm/b 22", "llm/c 22"}, c.proposals)
	require.Zero(t, c.failNext)
}

// Guards against endpoints that are stopped because a third of the entries, a core process or a failure domain is
// out of reach, and their load is not seen.
func TestPartitionLowersNothing(t *testing.T) {
	for name, cut := range map[string]func(c *core){
		"entries":      func(c *core) { c.entries = 4 },
		"core process": func(c *core) { c.loads = 1 },
		"engines":      func(c *core) { c.silent["b"] = true },
	} {
		c := newCore()
		c.run(5 * second)
		cut(c)
		c.run(40 * second)
		require.Empty(t, c.proposals, name)
	}
	c := newCore()
	c.loads = 1
	c.run(40 * second)
	require.Empty(t, c.proposals, "a new leader that never heard of the other core process's entries")
	c.run(60 * second)
	require.NotEmpty(t, c.proposals, "a core process that stays away has stopped")
}

// Guards against a failure domain whose replacements are ordered where they would fail as well.
func TestLostDomainIsReplacedInOthers(t *testing.T) {
	c := newCore()
	c.busy = 14
	c.run(5 * second)
	c.silent["b"] = true
	c.busy = 20 // the others get its calls
	c.run(40 * second)
	require.NotEmpty(t, c.proposals)
	for _, p := range c.proposals {
		require.NotContains(t, p, "llm/b")
	}
}

// Guards against an order for endpoints while a quarter of them cannot be reached for a short time. They go on
// registering, calls are refused at once, and the loss must be noticed before the shortage.
func TestUnreachableQuarterOrdersNothing(t *testing.T) {
	c := newCore()
	c.busy = 12
	c.run(11 * second)
	c.failing, c.failedAt, c.refused, c.busy = 15, c.now, 200, 20
	c.run(8 * second)
	c.failing, c.refused, c.busy = 0, 0, 12
	c.run(8 * second)
	require.Empty(t, c.proposals)
}

// Guards against replacements that are ordered for calls which are stuck at lost engines, although the others serve
// all new calls.
func TestCallsAtLostEnginesOrderNothing(t *testing.T) {
	c := newCore()
	c.busy = 14
	c.run(5 * second)
	c.silent["b"] = true
	c.run(40 * second)
	require.Empty(t, c.proposals)
}
