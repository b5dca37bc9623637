// Package bluebellcontrol serves the control interface of a core process: the
// registrations of endpoints and the calls of operators.
//
// A change is acknowledged once it is agreed by a quorum and applied at this process, and so is the
// message of an endpoint that it drains or is gone. Other registrations are only kept in memory, since
// the endpoint renews them. An order without a version takes effect only while its sender waits. A read
// of the declaration first commits a barrier to the log, so it never returns a state older
// than a change acknowledged before the read, even after this process was frozen or
// disconnected. Without a quorum the read fails.
//
// # Usage
//
//	server := bluebellcontrol.New(bluebellcontrol.Config{...})
//	err := server.Serve(ctx, listener)
package bluebellcontrol

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"bluebellhaven.org/bluebell/bluebellbody"
	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/bluebell/bluebelllistener"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// answerTimeout is slightly shorter than the one second after which operators and
	// endpoints try another process.
	answerTimeout = 900 * time.Millisecond
	// maxDeclarationBytes bounds a declaration: several times one with ten thousand routes. maxRegistrationBytes
	// bounds the body of any other call: many times the size of a registration.
	maxDeclarationBytes  = 8 << 20
	maxRegistrationBytes = 64 << 10
	// maxHeldBytes bounds the bodies of all calls together.
	maxHeldBytes = 24 << 20
	// maxClockDifference is how far the start of an endpoint may lie in the future. It is long,
	// since a time of day that is wrong by minutes must not keep endpoints from registering.
	maxClockDifference = 24 * time.Hour
	readTimeout        = 10 * time.Second
	idleTimeout        = 60 * time.Second
)

// linger bounds what is read of a request after it was refused.
var linger = bluebelllistener.Linger{Timeout: 2 * time.Second, MaxBytes: maxDeclarationBytes}

var errBodyTooLarge = errors.New("the body is too large")

// MaxEndpoints limits the endpoints that register. With all of them a reply to a follower takes less
// than the timeout of a poll on the slowest specified link.
const MaxEndpoints = 4096

// Config sets up a Server.
type Config struct {
	Registry *bluebellfleet.Registry
	// Deployment returns the agreed deployment that this process has applied, and its
	// revision.
	Deployment func() (*pb.Deployment, uint64)
	// Propose commits a command to the log and waits until this process has applied its
	// result.
	Propose func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	// AppliedIndex returns the index of the last log entry that this process has applied. ProposeAfter is like
	// Propose, but its result is a Conflict if another order may be behind the entry with index after.
	AppliedIndex func() uint64
	ProposeAfter func(ctx context.Context, c *pb.Command, after uint64) (*pb.Result, error)
	// RecordDeparture records where the loss of core processes that is tolerated cannot undo it that an endpoint is
	// draining or gone.
	RecordDeparture func(ctx context.Context, e bluebellfleet.Endpoint) error
	Now             func() time.Duration
	// Uptime is a clock that goes on while the machine is suspended.
	Uptime func() time.Duration
	// WallClock returns the time of day.
	WallClock func() time.Time
	// ObserveCall records an answered call in the metrics.
	ObserveCall func(verb string, status int, d time.Duration)
	Logger      *log.Logger
}

// Server serves the control interface of one process.
type Server struct {
	cfg   Config
	http  *fasthttp.Server
	stall stallWatch
	// bodies is the memory of the bodies of calls.
	bodies *bluebellbody.Pool
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, stall: stallWatch{now: cfg.Uptime}, bodies: bluebellbody.NewPool(maxHeldBytes)}
	s.http = &fasthttp.Server{
		Handler: s.handle, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, StreamRequestBody: true, DisablePreParseMultipartForm: true,
		NoDefaultServerHeader: true, Logger: httpLogger{cfg.Logger}, CloseOnShutdown: true, ErrorHandler: refuseHeader,
	}
	return s
}

// readBody reads the body of a call into memory that held reserves. Only a declaration may be large.
func readBody(c *fasthttp.RequestCtx, verb bluebellplatform.Verb, held *bluebellbody.Body) ([]byte, error) {
	limit := maxRegistrationBytes
	if verb == bluebellplatform.Declare {
		limit = maxDeclarationBytes
	}
	if c.Request.Header.ContentLength() > limit {
		return nil, errBodyTooLarge
	}
	if c.RequestBodyStream() == nil {
		return nil, nil
	}
	body, err := held.Read(io.LimitReader(c.RequestBodyStream(), int64(limit)+1))
	if err == nil && len(body) > limit {
		err = errBodyTooLarge
	}
	return body, err
}

// refuseBody answers a call whose body could not be read.
func refuseBody(err error) reply {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return failure(fasthttp.StatusRequestEntityTooLarge, err)
	case errors.Is(err, bluebellbody.ErrFull):
		return failure(fasthttp.StatusServiceUnavailable, err)
	}
	return failure(fasthttp.StatusRequestTimeout, err)
}

// refuseHeader answers a call whose header could not be read.
func refuseHeader(c *fasthttp.RequestCtx, err error) {
	c.Conn().(*timedConn).unread.Store(true)
	var tooLarge *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.As(err, &tooLarge):
		c.Error("the header is too large\n", fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &network) && network.Timeout():
		c.Error("the header did not arrive in time\n", fasthttp.StatusRequestTimeout)
	default:
		c.Error("the header is malformed\n", fasthttp.StatusBadRequest)
	}
}

// httpLogger writes the messages of the HTTP server to the log.
type httpLogger struct{ logger *log.Logger }

// Printf logs one message at debug level.
func (l httpLogger) Printf(format string, args ...any) { l.logger.Debugf(format, args...) }

// Serve answers calls until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		defer cancel()
		if err := s.http.ShutdownWithContext(shutdownCtx); err != nil {
			s.cfg.Logger.Warn("control interface shutdown timed out", "Error", err)
		}
	})
	defer stop()
	watchCtx, stopWatch := context.WithCancel(ctx)
	var watch conc.WaitGroup
	defer watch.Wait()
	defer stopWatch()
	watch.Go(func() { s.stall.run(watchCtx) })
	robust := bluebelllistener.New(bluebelllistener.Config{Listener: listener, OnError: func(err error) {
		s.cfg.Logger.Warn("failed to accept a connection", "Address", listener.Addr(), "Error", err)
	}})
	return s.http.Serve(timedListener{Listener: robust, now: s.cfg.Uptime})
}

// reply is the answer to one call.
type reply struct {
	status int
	body   []byte
}

func ok() reply { return reply{status: fasthttp.StatusOK, body: []byte("{}")} }

func failure(status int, err error) reply {
	return reply{status: status, body: []byte(err.Error() + "\n")}
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	start := s.cfg.Now()
	o := bluebellplatform.DecodeOperation(string(c.Method()), string(c.Path()))
	verb := o.Verb.String()
	from := s.sender(c)
	// An error means that the connection is closed already.
	held := s.bodies.Open(func() { _ = from.conn.SetReadDeadline(time.Now()) })
	defer held.Release()
	body, err := readBody(c, o.Verb, held)
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	var r reply
	switch {
	case err != nil:
		r = refuseBody(err)
		from.conn.unread.Store(true)
		c.SetConnectionClose()
	case isQuarantineCall(string(c.Path())):
		verb = "Quarantine"
		r = s.answerQuarantine(ctx, from, string(c.Method()), string(c.Path()))
	default:
		r = s.answer(ctx, from, o, body)
	}
	c.SetStatusCode(r.status)
	c.SetBody(r.body)
	if r.status < 300 {
		c.SetContentType("application/json")
	}
	if o.Verb != bluebellplatform.Register && o.Verb != bluebellplatform.Leave {
		c.SetConnectionClose()
	}
	s.cfg.ObserveCall(verb, r.status, s.cfg.Now()-start)
	from.answered()
}

func (s *Server) answer(ctx context.Context, from sender, o bluebellplatform.Operation, body []byte) reply {
	switch o.Verb {
	case bluebellplatform.Register:
		return s.register(ctx, o.Subject, body)
	case bluebellplatform.Leave:
		return s.leave(ctx, from, o.Subject, body)
	case bluebellplatform.Declare:
		return s.declare(ctx, body)
	case bluebellplatform.ReadDeclaration:
		return s.readDeclaration(ctx)
	case bluebellplatform.DomainOut, bluebellplatform.DomainIn:
		out := o.Verb == bluebellplatform.DomainOut
		return s.proposeChange(ctx, o, &pb.Command{Body: &pb.Command_OrderDomain{OrderDomain: &pb.OrderDomain{Name: o.Subject, Out: out}}}, from.propose)
	case bluebellplatform.NameWeights:
		model, version, err := bluebellplatform.DecodeWeightsVersion(body)
		if err != nil {
			return s.refuseChange(o, err)
		}
		return s.proposeChange(ctx, o, &pb.Command{Body: &pb.Command_NameWeights{NameWeights: &pb.NameWeights{Model: model, Version: version}}}, s.cfg.Propose)
	case bluebellplatform.StartMove, bluebellplatform.ReadMove:
		return failure(fasthttp.StatusNotImplemented, errors.New("software moves of discovered endpoints are not supported"))
	}
	return failure(fasthttp.StatusNotFound, errors.New("no such call"))
}

// register merges the registration of an endpoint into the registry. That the endpoint is draining is recorded
// before it is acknowledged, also if this registration was received before.
func (s *Server) register(ctx context.Context, id string, body []byte) reply {
	now := s.cfg.Now()
	known, _ := s.cfg.Registry.Endpoint(id)
	e, err := bluebellplatform.DecodeRegistration(known, id, body, now)
	if err != nil {
		s.cfg.Logger.Warn("invalid registration rejected", "ID", id, "Error", err)
		return failure(fasthttp.StatusBadRequest, err)
	}
	if start := time.UnixMilli(e.StartUnixMillis); start.Sub(s.cfg.WallClock()) > maxClockDifference {
		s.cfg.Logger.Warn("registration from the future rejected", "ID", id, "Start", start)
		return failure(fasthttp.StatusBadRequest, errors.New("the endpoint has not started yet"))
	}
	switch s.cfg.Registry.Merge(e) {
	case bluebellfleet.Changed:
		s.cfg.Logger.Info("endpoint registration changed", "ID", id, "Target", e.Target, "Address", e.Address, "State", e.State,
			"Born", e.StartUnixMillis, "Sequence", e.Sequence, "Cold", e.ColdUntil > now, "Weights", e.Weights, "Source", "endpoint")
	case bluebellfleet.Full:
		s.cfg.Logger.Warn("registration rejected: too many endpoints", "ID", id, "Limit", MaxEndpoints)
		return failure(fasthttp.StatusServiceUnavailable, errors.New("too many endpoints"))
	case bluebellfleet.Stale:
		s.cfg.Logger.Debug("outdated registration ignored", "ID", id, "Born", e.StartUnixMillis, "Sequence", e.Sequence)
	case bluebellfleet.Undeclared:
		s.cfg.Logger.Debug("registration of an undeclared target kept apart", "ID", id, "Target", e.Target, "Address", e.Address, "State", e.State)
		if e.State == bluebellfleet.Draining {
			// Departures are recorded by ID, and the ID may be that of an endpoint of a declared target.
			return failure(fasthttp.StatusServiceUnavailable, fmt.Errorf("the target %q is not declared", e.Target))
		}
		return ok()
	}
	current, _ := s.cfg.Registry.Endpoint(id)
	if current.State == bluebellfleet.Draining && current.StartUnixMillis == e.StartUnixMillis {
		return s.recordDeparture(ctx, current)
	}
	return ok()
}

// recordDeparture answers the message of an endpoint that it is draining or gone.
func (s *Server) recordDeparture(ctx context.Context, e bluebellfleet.Endpoint) reply {
	if err := s.cfg.RecordDeparture(ctx, e); err != nil {
		s.cfg.Logger.Warn("departure not recorded", "ID", e.ID, "State", e.State, "Born", e.StartUnixMillis, "Error", err)
		return failure(fasthttp.StatusServiceUnavailable, err)
	}
	return ok()
}

// leave marks an endpoint as gone. It ignores a request of an earlier incarnation (start) of
// an endpoint that has restarted since. An endpoint that is not registered here, as after a restart of all
// core processes, may still be used by entries: it is recorded as gone too, or the request is refused if it
// does not say which incarnation leaves. A request that says nothing of the incarnation could come from an earlier
// one, unless its sender still waits.
func (s *Server) leave(ctx context.Context, from sender, id string, body []byte) reply {
	startUnixMillis, _ := bluebellplatform.DecodeLeave(body)
	if startUnixMillis == 0 {
		if err := from.check(); err != nil {
			s.cfg.Logger.Warn("leave refused", "ID", id, "Error", err)
			return failure(fasthttp.StatusServiceUnavailable, err)
		}
	}
	if !s.cfg.Registry.MarkGone(id, startUnixMillis) {
		s.cfg.Logger.Warn("leave not recorded: unknown endpoint without start time", "ID", id)
		return failure(fasthttp.StatusServiceUnavailable, errors.New("the endpoint is not registered, and names no start time"))
	}
	current, _ := s.cfg.Registry.Endpoint(id)
	s.cfg.Logger.Info("endpoint left", "ID", id, "State", bluebellfleet.Gone, "Born", startUnixMillis, "Source", "endpoint")
	if current.State != bluebellfleet.Gone {
		return ok() // a later incarnation has registered
	}
	return s.recordDeparture(ctx, current)
}

// declare proposes a declaration. One that is not newer than the applied declaration was
// accepted or superseded before, and is acknowledged without a proposal.
func (s *Server) declare(ctx context.Context, body []byte) reply {
	o := bluebellplatform.Operation{Verb: bluebellplatform.Declare}
	declared, err := bluebellplatform.DecodeDeclaration(body)
	if err != nil {
		return s.refuseChange(o, err)
	}
	if current, _ := s.cfg.Deployment(); current.GetVersion() >= declared.Version() {
		s.cfg.Logger.Info("declaration ignored: not newer than the one in force", "Version", declared.Version(), "InForce", current.GetVersion())
		return ok()
	}
	return s.proposeChange(ctx, o, &pb.Command{Body: &pb.Command_DeclareDeployment{
		DeclareDeployment: &pb.DeclareDeployment{Version: declared.Version(), Document: body},
	}}, s.cfg.Propose)
}

func (s *Server) refuseChange(o bluebellplatform.Operation, err error) reply {
	s.cfg.Logger.Warn("change refused", "Verb", o.Verb, "Error", err)
	return failure(fasthttp.StatusBadRequest, err)
}

// proposeFunc commits a command to the log and waits until this process has applied its result.
type proposeFunc func(ctx context.Context, c *pb.Command) (*pb.Result, error)

func (s *Server) proposeChange(ctx context.Context, o bluebellplatform.Operation, c *pb.Command, propose proposeFunc) reply {
	result, err := propose(ctx, c)
	if err != nil {
		s.cfg.Logger.Warn("change not agreed", "Verb", o.Verb, "Subject", o.Subject, "Error", err)
		return failure(fasthttp.StatusServiceUnavailable, err)
	}
	current, revision := s.cfg.Deployment()
	s.cfg.Logger.Info("change agreed", "Verb", o.Verb, "Subject", o.Subject, "Result", result.Revision,
		"Revision", revision, "Version", current.GetVersion())
	return ok()
}

func (s *Server) readDeclaration(ctx context.Context) reply {
	if _, err := s.cfg.Propose(ctx, &pb.Command{Body: &pb.Command_Barrier{Barrier: &pb.Barrier{}}}); err != nil {
		return failure(fasthttp.StatusServiceUnavailable, err)
	}
	current, _ := s.cfg.Deployment()
	if current.GetVersion() == 0 {
		return failure(fasthttp.StatusServiceUnavailable, errors.New("nothing is declared yet"))
	}
	return reply{status: fasthttp.StatusOK, body: current.Document}
}
