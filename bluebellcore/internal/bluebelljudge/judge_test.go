package bluebelljudge_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellquarantine"
	"bluebellhaven.org/bluebell/bluebellstate"
	"bluebellhaven.org/bluebellcore/internal/bluebelljudge"
)

const second = time.Second

// core is a core process with the replicated state. Its clocks stand still until advance.
type core struct {
	machine   *bluebellstate.Machine
	ledger    *bluebellquarantine.Ledger
	now       time.Duration
	wallAhead time.Duration
	leads     bool
	proposals int
	judge     *bluebelljudge.Judge
}

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newCore() *core {
	c := &core{machine: bluebellstate.New(), now: 10 * second, leads: true}
	c.restart()
	return c
}

// restart gives the core process the state of a new one, apart from the log.
func (c *core) restart() {
	c.ledger = bluebellquarantine.NewLedger(bluebellquarantine.LedgerConfig{})
	c.judge = bluebelljudge.New(bluebelljudge.Config{
		Ledger: c.ledger, Deployment: func() (*pb.Deployment, uint64) { return c.machine.View().GetDeployment(), c.machine.View().Revision },
		IsLeader: func() bool { return c.leads },
		Propose: func(_ context.Context, command *pb.Command) (*pb.Result, error) {
			c.proposals++
			command.UnixNanos = c.wallClock().UnixNano()
			return c.machine.Apply(command), nil
		},
		Now: func() time.Duration { return c.now }, WallClock: c.wallClock, Logger: log.New(io.Discard),
	})
}

func (c *core) wallClock() time.Time { return epoch.Add(c.now + c.wallAhead) }

// report lets an entry report suspects for a time, while the judge judges.
func (c *core) report(d time.Duration, suspects ...bluebellquarantine.Suspect) {
	for end := c.now + d; c.now < end; c.now += 100 * time.Millisecond {
		c.ledger.Record("entry", c.now, bluebellquarantine.Report{Suspects: suspects})
		c.judge.Judge(context.Background())
	}
}

// inForce returns the number of quarantines in force.
func (c *core) inForce() int {
	n := 0
	for _, q := range c.machine.View().GetDeployment().GetQuarantines() {
		if c.wallClock().UnixNano() < q.Until {
			n++
		}
	}
	return n
}

var subject = bluebellquarantine.Block("m", "poisoned", 1)

// crashed returns the subject with crashes of different endpoints at the given times.
func crashed(at ...time.Duration) bluebellquarantine.Suspect {
	s := bluebellquarantine.Suspect{Subject: subject}
	for i, t := range at {
		s.Crashes = append(s.Crashes, bluebellquarantine.Crash{Endpoint: uint64(i), At: t})
	}
	return s
}

func TestLeaderQuarantinesOnce(t *testing.T) {
	c := newCore()
	c.leads = false
	c.report(2*second, crashed(second, 2*second, 3*second))
	require.Zero(t, c.inForce(), "only the leader judges")
	c.leads = true
	c.report(5*second, crashed(second, 2*second, 3*second))
	require.Equal(t, 1, c.inForce())
	require.Equal(t, 1, c.proposals)
}

// Evidence that an entry refutes before it is confirmed leads to no verdict.
func TestRefutedEvidenceLeadsToNoVerdict(t *testing.T) {
	c := newCore()
	c.report(300*time.Millisecond, crashed(second, 2*second, 3*second))
	c.ledger.Record("other", c.now, bluebellquarantine.Report{Suspects: []bluebellquarantine.Suspect{{Subject: subject, ServedAt: 4 * second}}})
	c.report(5*second, crashed(second, 2*second, 3*second))
	require.Zero(t, c.proposals)
}

// An answer after the verdict lifts it, also by a new leader; one from before does not, even if the
// clock of the new leader differs by seconds.
func TestAnswerLiftsQuarantine(t *testing.T) {
	for _, ahead := range []time.Duration{0, -5 * second, 5 * second} {
		c := newCore()
		evidence := crashed(second, 2*second, 3*second)
		evidence.ServedAt = second / 2
		c.report(2*second, evidence)
		require.Equal(t, 1, c.inForce())
		c.wallAhead = ahead
		c.restart()
		c.report(2*second, evidence)
		require.Equal(t, 1, c.inForce(), "clock ahead by %v", ahead)
		c.now += 20 * second
		c.report(2*second, bluebellquarantine.Suspect{Subject: subject, ServedAt: c.now})
		require.Zero(t, c.inForce(), "clock ahead by %v", ahead)
	}
}

// After its term one crash renews a quarantine; crashes from before do not.
func TestQuarantineIsRenewedAfterItsTerm(t *testing.T) {
	c := newCore()
	c.report(2*second, crashed(second, 2*second, 3*second))
	require.Equal(t, 1, c.inForce())
	c.now += 11 * time.Minute
	c.report(2*second, crashed(second, 2*second, 3*second))
	require.Zero(t, c.inForce())
	c.report(2*second, crashed(c.now))
	require.Equal(t, 1, c.inForce())
}

// A verdict that the state refuses is not proposed again and again.
func TestRefusedVerdictIsProposedAfterPause(t *testing.T) {
	c := newCore()
	for key := range uint64(256) {
		c.machine.Apply(&pb.Command{UnixNanos: c.wallClock().UnixNano(), Body: &pb.Command_SetQuarantine{SetQuarantine: &pb.SetQuarantine{Key: key + 1}}})
	}
	c.report(10*second, crashed(second, 2*second, 3*second))
	require.LessOrEqual(t, c.proposals, 2)
	require.Positive(t, c.proposals)
}
