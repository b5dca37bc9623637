package bluebellduty_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebellcore/internal/bluebellduty"
)

const (
	lease       = 3 * time.Second
	longestCall = time.Second
	step        = 50 * time.Millisecond
)

// world is a replicated log and a clock that are shared by some holders.
type world struct {
	now     time.Duration
	term    uint64
	leader  *process
	fencing uint64
	sent    []sentCall
}

// process is a process of the world. Its view of the leadership may be out of date.
type process struct {
	world  *world
	name   string
	holder *bluebellduty.Holder

	cutOff      bool
	frozenUntil time.Duration
	viewTerm    uint64
	viewLeads   bool
	// viewAt is when a process that can communicate learns who leads.
	viewAt time.Duration
	// The proof and number of the call that the process is about to send, at sendAt.
	proof   bluebellduty.Proof
	fencing uint64
	sendAt  time.Duration
	// onPropose runs before each proposal takes effect.
	onPropose func()
}

// sentCall is a call that was sent at one time and arrives at another.
type sentCall struct {
	holder         string
	fencing        uint64
	sentAt, doneAt time.Duration
}

func (w *world) add(name string) *process {
	p := &process{world: w, name: name, onPropose: func() {}}
	p.holder = bluebellduty.New(bluebellduty.Config{
		Holder: name, Lease: lease, LongestCall: longestCall,
		Leadership: func() (uint64, bool) { return p.viewTerm, p.viewLeads },
		Propose:    p.propose, Uptime: func() time.Duration { return w.now },
		Count: func(string) {}, Logger: log.New(io.Discard),
	})
	return p
}

// elect makes p the leader. Other processes learn of it later.
func (w *world) elect(p *process) {
	w.term++
	w.leader = p
	p.viewTerm, p.viewLeads = w.term, true
}

// learn lets a process that can communicate learn who leads.
func (p *process) learn() {
	if !p.cutOff && p.viewTerm != p.world.term {
		p.viewTerm, p.viewLeads = p.world.term, p.world.leader == p
	}
}

func (p *process) propose(_ context.Context, c *pb.Command) (*pb.Result, error) {
	p.onPropose()
	if p.cutOff || p.world.leader != p || p.viewTerm != p.world.term {
		return nil, errors.New("not agreed")
	}
	if c.GetTakeOrders() != nil {
		p.world.fencing++
	}
	return &pb.Result{Fencing: p.world.fencing}, nil
}

func (p *process) acquired(t *testing.T) uint64 {
	t.Helper()
	p.holder.Poll()
	p.world.now += p.holder.Wait()
	fencing := p.holder.Acquire(t.Context())
	require.NotZero(t, fencing)
	return fencing
}

// The leader was suspended between the barrier and the call; without the clock that includes this
// time it would send a call while another holder acts.
func TestSuspendedHolderSendsNothing(t *testing.T) {
	w := &world{}
	a := w.add("a")
	w.elect(a)
	proof, err := a.holder.Prove(t.Context(), a.acquired(t))
	require.NoError(t, err)
	w.now += 400 * time.Millisecond
	require.NoError(t, proof.Check())
	w.now += 100 * time.Millisecond
	require.Error(t, proof.Check())
}

// A barrier that is agreed only after the process was suspended proves nothing any more.
func TestSuspensionDuringBarrier(t *testing.T) {
	w := &world{}
	a := w.add("a")
	w.elect(a)
	fencing := a.acquired(t)
	a.onPropose = func() { w.now += time.Minute }
	_, err := a.holder.Prove(t.Context(), fencing)
	require.Error(t, err)
}

// A leader without a majority must not act on its own idea that it leads.
func TestNothingIsSentWithoutQuorum(t *testing.T) {
	w := &world{}
	a := w.add("a")
	w.elect(a)
	a.cutOff = true
	a.holder.Poll()
	w.now += time.Minute
	require.Zero(t, a.holder.Acquire(t.Context()))
	a.cutOff = false
	fencing := a.holder.Acquire(t.Context())
	require.Equal(t, uint64(1), fencing)
	a.cutOff = true
	_, err := a.holder.Prove(t.Context(), fencing)
	require.Error(t, err)
}

// The leadership is lost and regained between two polls. The old number must not be used, since the
// other leader may have sent a higher one.
func TestRegainedLeadershipTakesNewNumber(t *testing.T) {
	w := &world{}
	a, b := w.add("a"), w.add("b")
	w.elect(a)
	first := a.acquired(t)
	w.elect(b)
	second := b.acquired(t)
	w.elect(a)
	_, err := a.holder.Prove(t.Context(), first)
	require.Error(t, err)
	require.Zero(t, a.holder.Acquire(t.Context()), "calls of the other holder may still arrive")
	require.Greater(t, a.acquired(t), second)
}

// Another process took a number, through a leader of an earlier release that forwards such commands.
// The barrier shows that, and the older number is not used again.
func TestBarrierShowsLaterNumber(t *testing.T) {
	w := &world{}
	a := w.add("a")
	w.elect(a)
	fencing := a.acquired(t)
	w.fencing++
	_, err := a.holder.Prove(t.Context(), fencing)
	require.Error(t, err)
	require.Zero(t, a.holder.Acquire(t.Context()))
	require.Equal(t, fencing+2, a.acquired(t))
}

// A holder whose number was refused went on using it. It must stop at once, also with calls that are
// already proven, and wait for the lease before it takes a new one.
func TestRefusedNumberIsNotUsedAgain(t *testing.T) {
	w := &world{}
	a := w.add("a")
	w.elect(a)
	fencing := a.acquired(t)
	proof, err := a.holder.Prove(t.Context(), fencing)
	require.NoError(t, err)
	a.holder.Refused(fencing)
	require.Error(t, proof.Check())
	_, err = a.holder.Prove(t.Context(), fencing)
	require.Error(t, err)
	w.now += a.holder.Wait() - time.Millisecond
	require.Zero(t, a.holder.Acquire(t.Context()))
	w.now += time.Millisecond
	next := a.holder.Acquire(t.Context())
	require.Equal(t, fencing+1, next)
	a.holder.Refused(fencing)
	require.Equal(t, next, a.holder.Acquire(t.Context()), "a late refusal of an earlier number says nothing of this one")
}

// Three processes are elected, cut off and frozen at random, and send calls that take up to
// longestCall to be carried out. The failures to guard against are two holders with one number, a
// lower number that is carried out after a higher one, and the order A, B, A within the lease.
func TestHoldersUnderPartitionsAndFreezes(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomly(t, seed) })
	}
}

func runRandomly(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	chance := func(every time.Duration) bool { return random.Float64() < float64(step)/float64(every) }
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	w := &world{}
	processes := []*process{w.add("a"), w.add("b"), w.add("c")}
	w.elect(processes[0])
	for w.now < 5*time.Minute {
		w.now += step
		if chance(12*time.Second) || (w.leader.cutOff || w.leader.frozenUntil > w.now) && chance(2*time.Second) {
			// A cut-off or frozen process can not be elected.
			if p := processes[random.IntN(len(processes))]; !p.cutOff && p.frozenUntil <= w.now {
				w.elect(p)
			}
		}
		for _, p := range processes {
			if chance(15 * time.Second) {
				p.cutOff = !p.cutOff
			}
			if chance(20 * time.Second) {
				p.frozenUntil = w.now + upTo(8*time.Second)
			}
			if p.frozenUntil <= w.now {
				runStep(t, p, upTo)
			}
		}
	}
	require.Greater(t, len(w.sent), 50, "the run shows something only if calls are sent")
	checkCalls(t, w.sent)
}

// runStep lets one process do what it does between two moments at which it may be frozen.
func runStep(t *testing.T, p *process, upTo func(time.Duration) time.Duration) {
	w := p.world
	if p.viewTerm == w.term || p.cutOff {
		p.viewAt = w.now + upTo(700*time.Millisecond)
	} else if p.viewAt <= w.now {
		p.learn()
	}
	if p.fencing > 0 && p.sendAt <= w.now {
		if p.proof.Check() == nil {
			w.sent = append(w.sent, sentCall{holder: p.name, fencing: p.fencing, sentAt: w.now, doneAt: w.now + upTo(longestCall)})
		}
		p.fencing = 0
	}
	p.holder.Poll()
	fencing := p.holder.Acquire(t.Context())
	if fencing == 0 || p.fencing > 0 {
		return
	}
	proof, err := p.holder.Prove(t.Context(), fencing)
	if err == nil {
		p.proof, p.fencing, p.sendAt = proof, fencing, w.now+upTo(700*time.Millisecond)
	}
}

func checkCalls(t *testing.T, sent []sentCall) {
	t.Helper()
	holders := map[uint64]string{}
	for _, c := range sent {
		if other, known := holders[c.fencing]; known {
			require.Equal(t, other, c.holder, "two holders with number %d", c.fencing)
		}
		holders[c.fencing] = c.holder
	}
	done := slices.Clone(sent)
	slices.SortStableFunc(done, func(a, b sentCall) int { return int(a.doneAt - b.doneAt) })
	for i := 1; i < len(done); i++ {
		require.GreaterOrEqual(t, done[i].fencing, done[i-1].fencing, "a lower number is carried out after a higher one")
	}
	for i := 1; i < len(sent); i++ {
		if sent[i].holder == sent[i-1].holder {
			continue
		}
		for j := i + 1; j < len(sent) && sent[j].sentAt-sent[i-1].sentAt <= lease; j++ {
			require.NotEqual(t, sent[i-1].holder, sent[j].holder, "holders act in the order A, B, A within the lease")
		}
	}
}
