// Package bluebellduty decides when this process may act for the whole system, which one
// process at a time may do: send orders to endpoints and calls to the provider.
//
// The holder of all duties is the leader of the replicated log. A new leader waits until no
// call of the previous one can still be sent, and then takes a fencing number from the log,
// one for each leadership. A barrier is agreed in the log before each call; it proves that this
// process still leads and that no later number was taken. The call must be sent within
// ProofTimeout after that, by a clock that goes on while the machine is suspended. After a
// refusal of its number, or another term, the holder waits again and takes a new number.
//
// # Usage
//
//	holder := bluebellduty.New(bluebellduty.Config{...})
//	holder.Poll() // at least every PollInterval
//	if fencing := holder.Acquire(ctx); fencing > 0 {
//		proof, err := holder.Prove(ctx, fencing)
//		// Connect, then check the proof immediately before sending.
//		err = proof.Check()
//		// If the receiver refuses the number:
//		holder.Refused(fencing)
//	}
package bluebellduty

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// ProofTimeout bounds the time between the start of a barrier and the sending of the call
	// that it is for.
	ProofTimeout = 500 * time.Millisecond
	// PollInterval is how often Poll must be called.
	PollInterval = 100 * time.Millisecond
)

var (
	errNotHeld  = errors.New("the fencing number is no longer held; nothing is sent")
	errTooOld   = errors.New("leadership is no longer certain; nothing is sent")
	errNoNumber = errors.New("no fencing number is held")
)

// Config sets up a Holder.
type Config struct {
	// Holder identifies this process in the log.
	Holder string
	// Lease is the time within which calls must not come from two different holders.
	Lease time.Duration
	// LongestCall is how long a call may take once it is sent.
	LongestCall time.Duration
	// Leadership reports whether this process regards itself as the leader, and the term. The
	// term shows a leadership that was lost and regained between two polls.
	Leadership func() (term uint64, leads bool)
	// Propose commits a command to the log. It should not forward it to another process: a
	// barrier that another leader has agreed does not prove that this process leads.
	Propose func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	// Uptime is a clock that goes on while the machine is suspended.
	Uptime func() time.Duration
	// Count increments a counter: fencing_numbers_acquired, fencing_numbers_lost,
	// fencing_numbers_refused, proofs_expired.
	Count  func(name string)
	Logger *log.Logger
}

// Holder holds the duties of one process. Its methods may be called concurrently.
type Holder struct {
	cfg Config

	mu    sync.Mutex
	leads bool
	term  uint64
	// waitingSince is when the wait for the calls of an earlier holder began.
	waitingSince time.Duration
	// fencing is the number that is held, 0 if none.
	fencing   uint64
	acquiring bool
}

// New returns a Holder that holds no number.
func New(cfg Config) *Holder { return &Holder{cfg: cfg} }

// Poll notes whether this process leads, and returns it.
func (h *Holder) Poll() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.poll()
}

func (h *Holder) poll() bool {
	term, leads := h.cfg.Leadership()
	switch {
	case !leads:
		h.lose("leadership lost")
	case !h.leads || term != h.term:
		h.loseAndWait("new leadership")
	}
	h.leads, h.term = leads, term
	return leads
}

// lose gives up the fencing number, if one is held.
func (h *Holder) lose(reason string) {
	if h.fencing == 0 {
		return
	}
	h.cfg.Logger.Info("fencing number lost", "Holder", h.cfg.Holder, "Fencing", h.fencing, "Term", h.term, "Reason", reason)
	h.cfg.Count("fencing_numbers_lost")
	h.fencing = 0
}

// loseAndWait gives up the number, and waits anew before another one is taken.
func (h *Holder) loseAndWait(reason string) {
	h.lose(reason)
	h.waitingSince = h.cfg.Uptime()
}

// Wait returns how long a new leader waits before it acts.
func (h *Holder) Wait() time.Duration { return h.cfg.Lease + ProofTimeout + h.cfg.LongestCall }

// Fencing returns the number that is held, 0 if none.
func (h *Holder) Fencing() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.poll()
	return h.fencing
}

// Acquire returns the fencing number that is held. If none is held, the process leads and the
// wait is over, it takes one from the log, which may take ProofTimeout. It returns 0 if no number
// is held after that.
func (h *Holder) Acquire(ctx context.Context) uint64 {
	h.mu.Lock()
	leads, term := h.poll(), h.term
	if !leads || h.fencing > 0 || h.acquiring || h.cfg.Uptime()-h.waitingSince < h.Wait() {
		defer h.mu.Unlock()
		return h.fencing
	}
	h.acquiring = true
	h.mu.Unlock()

	start := h.cfg.Uptime()
	callCtx, cancel := context.WithTimeout(ctx, ProofTimeout)
	defer cancel()
	result, err := h.cfg.Propose(callCtx, &pb.Command{Body: &pb.Command_TakeOrders{TakeOrders: &pb.TakeOrders{Holder: h.cfg.Holder}}})

	h.mu.Lock()
	defer h.mu.Unlock()
	h.acquiring = false
	if err != nil {
		return 0
	}
	if !h.poll() || h.term != term || h.cfg.Uptime()-start > ProofTimeout {
		return 0
	}
	h.fencing = result.Fencing
	h.cfg.Count("fencing_numbers_acquired")
	h.cfg.Logger.Info("fencing number acquired", "Holder", h.cfg.Holder, "Fencing", h.fencing, "Term", h.term, "Waited", start-h.waitingSince)
	return h.fencing
}

// Refused notes that the receiver of a call has refused its fencing number because it has seen
// a higher one. The number is not used again; after a wait as that of a new leader, Acquire
// takes a new one. A number that is no longer held is ignored.
func (h *Holder) Refused(fencing uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if fencing == 0 || fencing != h.fencing {
		return
	}
	h.cfg.Count("fencing_numbers_refused")
	h.loseAndWait("refused by a receiver")
}

// Proof proves for a short time that a call with a fencing number may be sent.
type Proof struct {
	holder        *Holder
	fencing, term uint64
	until         time.Duration
}

// Prove agrees a barrier for one call with the given number. It returns an error if the number
// is no longer held, or no barrier was agreed within ProofTimeout.
func (h *Holder) Prove(ctx context.Context, fencing uint64) (Proof, error) {
	h.mu.Lock()
	h.poll()
	proof := Proof{holder: h, fencing: fencing, term: h.term, until: h.cfg.Uptime() + ProofTimeout}
	h.mu.Unlock()
	if fencing == 0 {
		return Proof{}, errNoNumber
	}
	if err := proof.Check(); err != nil {
		return Proof{}, err
	}
	callCtx, cancel := context.WithTimeout(ctx, ProofTimeout)
	defer cancel()
	result, err := h.cfg.Propose(callCtx, &pb.Command{Body: &pb.Command_Barrier{Barrier: &pb.Barrier{}}})
	if err != nil {
		return Proof{}, fmt.Errorf("agree barrier: %w", err)
	}
	// A leader of an earlier release does not state the latest number.
	if result.Fencing > fencing {
		h.mu.Lock()
		if h.fencing == fencing {
			h.loseAndWait("a later number was taken")
		}
		h.mu.Unlock()
	}
	return proof, proof.Check()
}

// Check returns an error unless the call may be sent now. It is called immediately before the
// call is sent.
func (p Proof) Check() error {
	if p.holder == nil {
		return errNoNumber
	}
	h := p.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cfg.Uptime() >= p.until {
		h.cfg.Count("proofs_expired")
		return errTooOld
	}
	if h.poll(); h.fencing != p.fencing || h.term != p.term {
		return errNotHeld
	}
	return nil
}
