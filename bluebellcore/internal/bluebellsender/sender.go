// Package bluebellsender sends the calls of the duties to the infrastructure provider: reports of
// usage and numbers of endpoints.
//
// Only the holder of the duties sends (bluebellduty), the calls that bluebellprovider selects. Each
// call has a connection of its own, which is opened before the barrier is agreed, so that the call
// follows its barrier at once, and a call that finds no connection has certainly not been sent. A
// connection whose call gets no answer is reset, which keeps the system from sending the rest of the
// call later.
//
// A usage window that the provider has accepted is recorded in the replicated log. Until that is
// done, this process repeats the record and another holder repeats the report.
//
// # Usage
//
//	sender := bluebellsender.New(bluebellsender.Config{...})
//	sender.Run(ctx)
package bluebellsender

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"bluebellhaven.org/bluebell/bluebellhead"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellprovider"
	"bluebellhaven.org/bluebellcore/internal/bluebellduty"
	"bluebellhaven.org/platform/bluebellplatform"
)

// CallTimeout is the time within which the provider must answer a call.
const CallTimeout = time.Second

const (
	// pollInterval is how often the sender looks for calls to send. It is not much longer than the time
	// between two calls at the highest specified rate.
	pollInterval = 50 * time.Millisecond
	dialTimeout  = time.Second
	// recordTimeout bounds the proposal that records a sent window, and recordRetry is the time
	// between two such proposals of a window. Usually the first has been applied by then.
	recordTimeout = time.Second
	recordRetry   = 250 * time.Millisecond
	// recordVersion is the version of commands that has RecordUsageSent.
	recordVersion    = 2
	maxResponseBytes = 64 << 10
)

// Config sets up a Sender.
type Config struct {
	// Name identifies this process to the provider.
	Name string
	// Address is the IP address and port of the provider.
	Address string
	// CallsPerSecond is the number of calls that the provider takes from all processes together.
	CallsPerSecond float64
	// UsageDue is the time after the end of a usage window within which its report is due.
	UsageDue time.Duration
	// Duty decides when this process may send calls.
	Duty *bluebellduty.Holder
	// NextUsage returns the oldest decided usage window that is not recorded as sent, and the time
	// until its report is due, negative if it is overdue. It is called periodically with Now. If it
	// is nil, usage is not reported.
	NextUsage func(now time.Duration) (window int64, customers []string, counts []uint64, dueIn time.Duration, ok bool)
	// Scales returns the agreed numbers of endpoints. If it is nil, none are ordered.
	Scales func() []bluebellprovider.ScaleOrder
	// Propose commits a command to the log.
	Propose func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	// CommandVersion returns the version of the commands that all core processes can apply.
	CommandVersion func() uint32
	// Dial opens connections. If it is nil, the system's dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Now  func() time.Duration
	// Rand returns a random number from 0 to below 1.
	Rand func() float64
	// CountCall counts a call by duty and outcome. SetGauge sets the gauges duty_holder, fencing_number,
	// provider_calls_waiting and usage_overdue_seconds.
	CountCall func(duty, outcome string)
	SetGauge  func(name string, value float64)
	Logger    *log.Logger
}

// Sender sends the calls of one process.
type Sender struct {
	cfg Config

	mu    sync.Mutex
	queue *bluebellprovider.Queue
	// sent is the latest usage window that the provider has accepted from this process, if hasSent is
	// set.
	sent    int64
	hasSent bool

	// The fields below are used by the goroutine of Run only.
	fencing uint64
	// orderedAt is when each agreed number of endpoints was first seen.
	orderedAt map[bluebellprovider.ScaleOrder]time.Duration
	recordAt  time.Duration
	recording sync.Mutex
}

// New returns a sender that has sent no calls.
func New(cfg Config) *Sender {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	return &Sender{
		cfg:   cfg,
		queue: bluebellprovider.New(bluebellprovider.Config{CallsPerSecond: cfg.CallsPerSecond, Rand: cfg.Rand}),
	}
}

// Run sends calls while this process holds the duties, until ctx ends. Calls in flight are then
// finished, which takes CallTimeout at most.
func (s *Sender) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.step(ctx, &tasks)
		case <-ctx.Done():
			return
		}
	}
}

// step starts the calls that are to be sent now.
func (s *Sender) step(ctx context.Context, tasks *conc.WaitGroup) {
	var wanted []bluebellprovider.Call
	if s.cfg.Duty.Poll() {
		wanted = append(s.usageCalls(ctx, tasks), s.scaleCalls()...)
	} else {
		s.cfg.SetGauge("usage_overdue_seconds", 0)
	}
	fencing := s.cfg.Duty.Fencing()
	if fencing == 0 && len(wanted) > 0 {
		fencing = s.cfg.Duty.Acquire(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if fencing != s.fencing {
		s.queue.Forget()
		s.fencing = fencing
		s.cfg.SetGauge("fencing_number", float64(fencing))
		s.cfg.SetGauge("duty_holder", float64(min(fencing, 1)))
	}
	if fencing == 0 {
		return
	}
	now := s.cfg.Now()
	if excess := s.queue.Want(now, wanted); excess > 0 {
		s.cfg.CountCall("all", "no_room")
	}
	for call, ok := s.queue.Next(now, fencing); ok; call, ok = s.queue.Next(now, fencing) {
		tasks.Go(func() { s.execute(ctx, call) })
	}
	s.cfg.SetGauge("provider_calls_waiting", float64(s.queue.Waiting()))
}

// usageCalls returns the report of the next usage window, if there is one. It records a window
// that the provider has accepted.
func (s *Sender) usageCalls(ctx context.Context, tasks *conc.WaitGroup) []bluebellprovider.Call {
	if s.cfg.NextUsage == nil {
		return nil
	}
	now := s.cfg.Now()
	window, customers, counts, dueIn, ok := s.cfg.NextUsage(now)
	if !ok {
		s.cfg.SetGauge("usage_overdue_seconds", 0)
		return nil
	}
	s.cfg.SetGauge("usage_overdue_seconds", max(0, -dueIn.Seconds()))
	s.mu.Lock()
	isSent := s.hasSent && s.sent == window
	s.mu.Unlock()
	if isSent {
		s.recordSent(ctx, tasks, now, window)
		return nil
	}
	return []bluebellprovider.Call{{
		Subject: bluebellprovider.Subject{Duty: bluebellprovider.Usage}, Due: now + dueIn,
		Window: window, Customers: customers, Counts: counts,
	}}
}

// recordSent records in the log that the provider has accepted a window, at most every recordRetry.
func (s *Sender) recordSent(ctx context.Context, tasks *conc.WaitGroup, now time.Duration, window int64) {
	if now < s.recordAt || s.cfg.CommandVersion() < recordVersion || !s.recording.TryLock() {
		return
	}
	s.recordAt = now + recordRetry
	tasks.Go(func() {
		defer s.recording.Unlock()
		ctx, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		_, err := s.cfg.Propose(ctx, &pb.Command{Body: &pb.Command_RecordUsageSent{RecordUsageSent: &pb.RecordUsageSent{Window: window}}})
		if err != nil {
			s.cfg.Logger.Info("sent usage window not recorded yet", "Window", window, "Error", err)
		}
	})
}

// scaleCalls returns the orders of the agreed numbers of endpoints.
func (s *Sender) scaleCalls() []bluebellprovider.Call {
	if s.cfg.Scales == nil {
		return nil
	}
	now := s.cfg.Now()
	orderedAt := map[bluebellprovider.ScaleOrder]time.Duration{}
	var calls []bluebellprovider.Call
	for _, order := range s.cfg.Scales() {
		at, known := s.orderedAt[order]
		if !known {
			at = now
		}
		orderedAt[order] = at
		calls = append(calls, bluebellprovider.Call{
			Subject: bluebellprovider.Subject{Duty: bluebellprovider.Scale, Target: order.Target, FailureDomain: order.FailureDomain},
			Due:     at, Endpoints: order.Endpoints,
		})
	}
	s.orderedAt = orderedAt
	return calls
}

// execute sends one call and notes its outcome.
func (s *Sender) execute(ctx context.Context, call bluebellprovider.Call) {
	start := s.cfg.Now()
	outcome, status, err := s.send(ctx, call)
	now := s.cfg.Now()
	if outcome == bluebellprovider.Refused {
		s.cfg.Duty.Refused(call.Fencing)
	}
	s.mu.Lock()
	s.queue.Finish(now, call.Subject, outcome)
	if outcome == bluebellprovider.Accepted && call.Subject.Duty == bluebellprovider.Usage {
		s.sent, s.hasSent = call.Window, true
	}
	s.mu.Unlock()
	s.cfg.CountCall(call.Subject.Duty.String(), outcome.String())
	fields := []any{
		"Duty", call.Subject.Duty, "Fencing", call.Fencing, "Outcome", outcome, "Status", status, "Took", now - start, "Error", err,
	}
	if call.Subject.Duty == bluebellprovider.Usage {
		var sum uint64
		for _, n := range call.Counts {
			sum += n
		}
		fields = append(fields, "Window", call.Window, "Customers", len(call.Customers), "Calls", sum, "Age", now-call.Due+s.cfg.UsageDue)
	} else {
		fields = append(fields, "Target", call.Subject.Target, "FailureDomain", call.Subject.FailureDomain, "Endpoints", call.Endpoints, "Age", now-call.Due)
	}
	s.cfg.Logger.Info("provider called", fields...)
}

// send sends one call. The status is 0 without an answer.
func (s *Sender) send(ctx context.Context, call bluebellprovider.Call) (outcome bluebellprovider.Outcome, status int, err error) {
	request, err := s.encode(call)
	if err != nil {
		return bluebellprovider.Failed, 0, err
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := s.cfg.Dial(dialCtx, "tcp", s.cfg.Address)
	if err != nil {
		return bluebellprovider.Unreachable, 0, err
	}
	defer func() { _ = conn.Close() }()
	// If this process ends or its machine stops, the system must not deliver the call later: another
	// holder may have acted by then. Closing with a reset discards only what was not sent, since the
	// response is read before.
	bluebellduty.DiscardOnClose(conn, CallTimeout)
	proof, err := s.cfg.Duty.Prove(ctx, call.Fencing)
	if err != nil {
		return bluebellprovider.NotSent, 0, err
	}
	if err := conn.SetDeadline(time.Now().Add(CallTimeout)); err != nil {
		return bluebellprovider.NotSent, 0, err
	}
	if err := proof.Check(); err != nil {
		return bluebellprovider.NotSent, 0, err
	}
	if _, err := conn.Write(request); err != nil {
		return bluebellprovider.Unanswered, 0, err
	}
	source := bluebellhead.NewReader(io.LimitReader(conn, maxResponseBytes))
	response, err := source.ReadResponse(bufio.NewReader(source), nil)
	if err != nil {
		return bluebellprovider.Unanswered, 0, err
	}
	return bluebellplatform.DecodeProviderStatus(response.StatusCode), response.StatusCode, nil
}

// encode returns the bytes of a request.
func (s *Sender) encode(call bluebellprovider.Call) ([]byte, error) {
	path, header, body, err := bluebellplatform.EncodeProviderCall(bluebellplatform.ProviderCall{Holder: s.cfg.Name, Call: call})
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+s.cfg.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header, r.Close = header, true
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		return nil, err
	}
	return text.Bytes(), nil
}
