package bluebellsender_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellprovider"
	"bluebellhaven.org/bluebellcore/internal/bluebellduty"
	"bluebellhaven.org/bluebellcore/internal/bluebellsender"
	"bluebellhaven.org/bluebellfake/bluebellstub"
)

const (
	lease        = 200 * time.Millisecond
	wait         = lease + bluebellduty.ProofTimeout + bluebellsender.CallTimeout
	eventTimeout = 20 * time.Second
)

var usageSubject = bluebellprovider.Subject{Duty: bluebellprovider.Usage}

// replicatedLog is the log that the holders of a test share, with the decided usage windows.
type replicatedLog struct {
	started time.Time

	mu      sync.Mutex
	term    uint64
	leader  *process
	fencing uint64
	decided int64
	sent    map[int64]bool
}

// process is a process with a sender. Its view of the leadership may be out of date.
type process struct {
	log  *replicatedLog
	name string
	// suspended is the time for which the process was suspended so far.
	suspended atomic.Int64
	cutOff    atomic.Bool
	// afterBarrier runs when a barrier was agreed, beforeRecord before a record is proposed.
	afterBarrier, beforeRecord func()
	scales                     func() []bluebellprovider.ScaleOrder

	mu        sync.Mutex
	viewTerm  uint64
	viewLeads bool
}

func newLog() *replicatedLog { return &replicatedLog{started: time.Now(), sent: map[int64]bool{}} }

// start starts a sender. The scales may be nil.
func (l *replicatedLog) start(t *testing.T, name string, provider *bluebellstub.Provider, prepare func(p *process)) *process {
	t.Helper()
	p := &process{log: l, name: name, afterBarrier: func() {}, beforeRecord: func() {}}
	prepare(p)
	duty := bluebellduty.New(bluebellduty.Config{
		Holder: name, Lease: lease, LongestCall: bluebellsender.CallTimeout, Leadership: p.leadership, Propose: p.propose,
		Uptime: func() time.Duration { return time.Since(l.started) + time.Duration(p.suspended.Load()) },
		Count:  func(string) {}, Logger: log.New(io.Discard),
	})
	sender := bluebellsender.New(bluebellsender.Config{
		Name: name, Address: provider.Address(), CallsPerSecond: 50, UsageDue: 10 * time.Second, Duty: duty,
		NextUsage: l.nextUsage, Scales: p.scales, Propose: p.propose, CommandVersion: func() uint32 { return 2 },
		Now: func() time.Duration { return time.Since(l.started) }, Rand: rand.Float64,
		CountCall: func(string, string) {}, SetGauge: func(string, float64) {}, Logger: log.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		sender.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return p
}

func (l *replicatedLog) elect(p *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term++
	l.leader = p
	p.setView(l.term, true)
}

func (p *process) setView(term uint64, leads bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.viewTerm, p.viewLeads = term, leads
}

// learn lets a process that can communicate learn who leads.
func (p *process) learn() {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	if !p.cutOff.Load() {
		p.setView(p.log.term, p.log.leader == p)
	}
}

func (p *process) leadership() (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.viewTerm, p.viewLeads
}

func (p *process) propose(_ context.Context, c *pb.Command) (*pb.Result, error) {
	if c.GetRecordUsageSent() != nil {
		p.beforeRecord()
	}
	if c.GetBarrier() != nil {
		defer p.afterBarrier()
	}
	term, _ := p.leadership()
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	if p.cutOff.Load() || p.log.leader != p || term != p.log.term {
		return nil, errors.New("not agreed")
	}
	switch body := c.Body.(type) {
	case *pb.Command_TakeOrders:
		p.log.fencing++
	case *pb.Command_RecordUsageSent:
		p.log.sent[body.RecordUsageSent.Window] = true
	}
	return &pb.Result{Fencing: p.log.fencing}, nil
}

func (l *replicatedLog) decide(windows int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decided += windows
}

func (l *replicatedLog) nextUsage(time.Duration) (int64, []string, []uint64, time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w := int64(1); w <= l.decided; w++ {
		if !l.sent[w] {
			return w, []string{"a", "b"}, []uint64{uint64(w), 2}, 5 * time.Second, true
		}
	}
	return 0, nil, nil, 0, false
}

func (l *replicatedLog) allSent() bool {
	_, _, _, _, open := l.nextUsage(0)
	return !open
}

func startProvider(t *testing.T, checks bool) *bluebellstub.Provider {
	t.Helper()
	provider, err := bluebellstub.StartProvider(bluebellstub.ProviderConfig{
		Listen: "127.0.0.1:0", ChecksFencing: checks, CallsPerSecond: 50, Lease: lease,
	})
	require.NoError(t, err)
	t.Cleanup(provider.Stop)
	return provider
}

// Each decided window is sent once and recorded. A record that was never agreed would make the windows
// pile up, and a repeat would cost a call.
func TestWindowsAreSentOnceAndRecorded(t *testing.T) {
	t.Parallel()
	l, provider := newLog(), startProvider(t, false)
	a := l.start(t, "a", provider, func(*process) {})
	l.decide(5)
	start := time.Now()
	l.elect(a)
	require.Eventually(t, l.allSent, eventTimeout, 10*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(start), wait, "a new leader waits for calls of the previous one")
	calls := provider.Calls()
	require.Len(t, calls, 5)
	for i, c := range calls {
		require.Equal(t, int64(i+1), c.Window)
		require.Equal(t, []uint64{uint64(i + 1), 2}, c.Counts)
		require.Equal(t, "a", c.Holder)
		require.Equal(t, uint64(1), c.Fencing)
	}
	require.Empty(t, provider.Findings())
}

// The holder is cut off from the other core processes after the provider has accepted a window that is
// not recorded yet. The next holder sends the same report.
func TestSuccessorSendsUnrecordedWindow(t *testing.T) {
	t.Parallel()
	l, provider := newLog(), startProvider(t, false)
	a := l.start(t, "a", provider, func(p *process) { p.beforeRecord = func() { p.cutOff.Store(true) } })
	b := l.start(t, "b", provider, func(*process) {})
	l.decide(1)
	l.elect(a)
	require.Eventually(t, func() bool { return len(provider.Calls()) == 1 }, eventTimeout, 10*time.Millisecond)
	l.elect(b)
	require.Eventually(t, l.allSent, eventTimeout, 10*time.Millisecond)
	calls := provider.Calls()
	require.Len(t, calls, 2)
	require.Equal(t, "b", calls[1].Holder)
	require.Equal(t, uint64(2), calls[1].Fencing)
	require.Equal(t, calls[0].Counts, calls[1].Counts)
	require.Empty(t, provider.Findings())
}

// The holder is suspended right after its barrier was agreed, and wakes when another one has acted. It
// must not send the call that the barrier was for.
func TestSuspendedHolderSendsNothing(t *testing.T) {
	t.Parallel()
	l, provider := newLog(), startProvider(t, false)
	asleep, wake := make(chan struct{}), make(chan struct{})
	var once sync.Once
	a := l.start(t, "a", provider, func(p *process) {
		p.afterBarrier = func() {
			once.Do(func() {
				close(asleep)
				<-wake
				p.suspended.Store(int64(time.Minute))
			})
		}
	})
	b := l.start(t, "b", provider, func(*process) {})
	l.decide(1)
	l.elect(a)
	<-asleep
	l.elect(b)
	require.Eventually(t, func() bool { return len(provider.Calls()) == 1 }, eventTimeout, 10*time.Millisecond)
	close(wake)
	time.Sleep(500 * time.Millisecond)
	for _, c := range provider.Calls() {
		require.Equal(t, "b", c.Holder)
	}
	require.Empty(t, provider.Findings())
}

// The provider has seen a higher number and answers 409. The holder must send nothing more with its
// number, on any subject, until it holds the lease anew.
func TestRefusedHolderStops(t *testing.T) {
	t.Parallel()
	l, provider := newLog(), startProvider(t, true)
	provider.RaiseFencing(usageSubject, 2)
	a := l.start(t, "a", provider, func(p *process) {
		p.scales = func() []bluebellprovider.ScaleOrder {
			return []bluebellprovider.ScaleOrder{{Target: "t", FailureDomain: "d", Endpoints: uint32(20 + time.Since(l.started)/(300*time.Millisecond))}}
		}
	})
	l.decide(1)
	l.elect(a)
	require.Eventually(t, l.allSent, eventTimeout, 10*time.Millisecond)
	var refusedAt time.Time
	for _, c := range provider.Calls() {
		switch {
		case c.Outcome == bluebellprovider.Refused:
			require.Zero(t, refusedAt, "one call is refused")
			require.Equal(t, uint64(1), c.Fencing)
			refusedAt = c.At
		case c.Fencing == 2:
			require.GreaterOrEqual(t, c.At.Sub(refusedAt), wait, "the lease is taken anew")
		case !refusedAt.IsZero():
			require.Less(t, c.At.Sub(refusedAt), lease, "calls that were on their way")
		}
	}
	require.NotZero(t, refusedAt)
	require.Empty(t, provider.Findings())
}

// The provider is down, slow, busy or silent for a while. It must not get calls without a pause, and all
// windows must reach it soon after. A silent provider carries the calls out later.
func TestProviderFailures(t *testing.T) {
	for _, test := range []struct {
		name      string
		behaviour bluebellstub.ProviderBehaviour
		maxCalls  int
	}{
		{"busy", bluebellstub.ProviderBehaviour{Outcome: bluebellprovider.Limited}, 8},
		{"failing", bluebellstub.ProviderBehaviour{Outcome: bluebellprovider.Failed}, 8},
		{"silent", bluebellstub.ProviderBehaviour{Outcome: bluebellprovider.Unanswered}, 4},
		{"silent and late", bluebellstub.ProviderBehaviour{Outcome: bluebellprovider.Unanswered, Late: 2 * time.Second}, 4},
		{"slow", bluebellstub.ProviderBehaviour{Delay: 800 * time.Millisecond}, 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l, provider := newLog(), startProvider(t, true)
			provider.SetBehaviour(func() bluebellstub.ProviderBehaviour { return test.behaviour })
			a := l.start(t, "a", provider, func(*process) {})
			l.decide(3)
			l.elect(a)
			time.Sleep(wait + 3*time.Second)
			require.LessOrEqual(t, len(provider.Calls()), test.maxCalls)
			require.NotEmpty(t, provider.Calls())
			provider.SetBehaviour(func() bluebellstub.ProviderBehaviour { return bluebellstub.ProviderBehaviour{} })
			require.Eventually(t, l.allSent, eventTimeout, 10*time.Millisecond)
			require.Equal(t, 3, provider.Windows())
			require.Empty(t, provider.Findings())
		})
	}
}

// No connection can be opened. The calls wait, no barrier is agreed for them, and they are sent once
// the provider is back.
func TestProviderDown(t *testing.T) {
	t.Parallel()
	l := newLog()
	provider := startProvider(t, false)
	address := provider.Address()
	provider.Stop()
	var barriers atomic.Int64
	a := l.start(t, "a", provider, func(p *process) { p.afterBarrier = func() { barriers.Add(1) } })
	l.decide(2)
	l.elect(a)
	time.Sleep(wait + time.Second)
	require.Zero(t, barriers.Load())
	require.False(t, l.allSent())
	var restarted *bluebellstub.Provider
	require.Eventually(t, func() bool {
		var err error
		restarted, err = bluebellstub.StartProvider(bluebellstub.ProviderConfig{Listen: address})
		return err == nil
	}, eventTimeout, 10*time.Millisecond)
	t.Cleanup(restarted.Stop)
	require.Eventually(t, l.allSent, eventTimeout, 10*time.Millisecond)
	require.Equal(t, 2, restarted.Windows())
}

// A call that was given up must not be delivered by the system when the link is back: the connection
// is reset.
func TestUnansweredCallIsReset(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = io.Copy(io.Discard, conn)
		ended <- err
	}()
	l := newLog()
	duty := alwaysHeld(l)
	sender := bluebellsender.New(bluebellsender.Config{
		Name: "a", Address: listener.Addr().String(), CallsPerSecond: 50, Duty: duty, NextUsage: l.nextUsage,
		CommandVersion: func() uint32 { return 2 }, Now: func() time.Duration { return time.Since(l.started) }, Rand: rand.Float64,
		CountCall: func(string, string) {}, SetGauge: func(string, float64) {}, Logger: log.New(io.Discard),
	})
	l.decide(1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		sender.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	select {
	case err := <-ended:
		require.ErrorContains(t, err, "reset")
	case <-time.After(eventTimeout):
		require.Fail(t, "the connection stays open")
	}
}

// alwaysHeld returns a holder that leads and waits for nobody.
func alwaysHeld(l *replicatedLog) *bluebellduty.Holder {
	return bluebellduty.New(bluebellduty.Config{
		Holder: "a", Leadership: func() (uint64, bool) { return 1, true },
		Propose: func(context.Context, *pb.Command) (*pb.Result, error) { return &pb.Result{Fencing: 1}, nil },
		Uptime:  func() time.Duration { return time.Since(l.started) }, Count: func(string) {}, Logger: log.New(io.Discard),
	})
}

// Three processes lead in turn, are cut off and learn late that they no longer lead, while a part of the
// calls gets no answer and is carried out late. Two holders must not act together, and each window
// must reach the provider with the same counts.
func TestHoldersTakeTurns(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			takeTurns(t, seed)
		})
	}
}

func takeTurns(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	l, provider := newLog(), startProvider(t, seed%2 == 0)
	var mu sync.Mutex
	answers := rand.New(rand.NewPCG(seed, 6))
	provider.SetBehaviour(func() bluebellstub.ProviderBehaviour {
		mu.Lock()
		defer mu.Unlock()
		if answers.IntN(4) > 0 {
			return bluebellstub.ProviderBehaviour{}
		}
		return bluebellstub.ProviderBehaviour{Outcome: bluebellprovider.Unanswered, Late: time.Duration(answers.IntN(3000)) * time.Millisecond}
	})
	var processes []*process
	for n := range 3 {
		processes = append(processes, l.start(t, fmt.Sprint("p", n), provider, func(p *process) {
			p.scales = func() []bluebellprovider.ScaleOrder {
				return []bluebellprovider.ScaleOrder{{Target: "t", FailureDomain: "d", Endpoints: uint32(17 + time.Since(l.started)/time.Second%5)}}
			}
		}))
	}
	for range 8 {
		l.elect(processes[random.IntN(len(processes))])
		l.decide(2)
		for range 5 {
			time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
			p := processes[random.IntN(len(processes))]
			p.cutOff.Store(!p.cutOff.Load() && random.IntN(2) == 0)
			for _, p := range processes {
				p.learn()
			}
		}
	}
	for _, p := range processes {
		p.cutOff.Store(false)
	}
	l.elect(processes[0])
	for _, p := range processes {
		p.learn()
	}
	require.Eventually(t, l.allSent, 2*eventTimeout, 10*time.Millisecond)
	require.Equal(t, 16, provider.Windows())
	require.Empty(t, provider.Findings())
}
