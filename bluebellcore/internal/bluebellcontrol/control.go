// Package bluebellcontrol serves the control interface of a core process: the
// registrations of endpoints and the calls of operators.
//
// A change is acknowledged once it is agreed and shows at this process. A read of
// the declaration has a barrier agreed first, so it never shows an older state
// than what was acknowledged before it, also after this process was frozen or cut
// off; without a quorum it fails.
//
// # Usage
//
//	server := bluebellcontrol.New(bluebellcontrol.Config{...})
//	err := server.Serve(ctx, listener)
package bluebellcontrol

import (
	"bytes"
	"context"
	"errors"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/valyala/fasthttp"

	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// answerTimeout is a little less than the second after which operators and
	// endpoints go on to another process.
	answerTimeout = 900 * time.Millisecond
	// maxBodyBytes bounds a declaration, in bytes: several times what callers may send.
	maxBodyBytes = 32 << 20
	readTimeout  = 10 * time.Second
	idleTimeout  = 60 * time.Second
)

// Config sets up a Server.
type Config struct {
	Registry *bluebellfleet.Registry
	// Deployment returns what is agreed and shows here, and its revision.
	Deployment func() (*pb.Deployment, uint64)
	// Propose has a command agreed and waits until its result shows here.
	Propose func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	Now     func() time.Duration
	// ObserveCall counts an answered call.
	ObserveCall func(verb string, status int, d time.Duration)
	Logger      *log.Logger
}

// Server is the control interface of one process.
type Server struct {
	cfg  Config
	http *fasthttp.Server
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.http = &fasthttp.Server{
		Handler: s.handle, MaxRequestBodySize: maxBodyBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, Logger: httpLogger{cfg.Logger}, CloseOnShutdown: true,
	}
	return s
}

// httpLogger hands the server's own complaints to the log.
type httpLogger struct{ logger *log.Logger }

// Printf logs one complaint.
func (p httpLogger) Printf(format string, args ...any) { p.logger.Debugf(format, args...) }

// Serve answers calls until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		defer cancel()
		if err := s.http.ShutdownWithContext(shutdownCtx); err != nil {
			s.cfg.Logger.Warn("control interface not shut down in time", "Error", err)
		}
	})
	defer stop()
	return s.http.Serve(listener)
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
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	r := s.answer(ctx, o, bytes.Clone(c.PostBody()))
	c.SetStatusCode(r.status)
	c.SetBody(r.body)
	if r.status < 300 {
		c.SetContentType("application/json")
	}
	s.cfg.ObserveCall(o.Verb.String(), r.status, s.cfg.Now()-start)
}

func (s *Server) answer(ctx context.Context, o bluebellplatform.Operation, body []byte) reply {
	switch o.Verb {
	case bluebellplatform.Register:
		return s.register(o.Subject, body)
	case bluebellplatform.Leave:
		return s.leave(o.Subject, body)
	case bluebellplatform.Declare:
		return s.declare(ctx, body)
	case bluebellplatform.ReadDeclaration:
		return s.readDeclaration(ctx)
	case bluebellplatform.DomainOut, bluebellplatform.DomainIn:
		out := o.Verb == bluebellplatform.DomainOut
		return s.proposeChange(ctx, o, &pb.Command{Body: &pb.Command_OrderDomain{OrderDomain: &pb.OrderDomain{Name: o.Subject, Out: out}}})
	case bluebellplatform.NameWeights:
		model, version, err := bluebellplatform.DecodeWeights(body)
		if err != nil {
			return s.refuseChange(o, err)
		}
		return s.proposeChange(ctx, o, &pb.Command{Body: &pb.Command_NameWeights{NameWeights: &pb.NameWeights{Model: model, Version: version}}})
	case bluebellplatform.StartMove, bluebellplatform.ReadMove:
		return failure(fasthttp.StatusNotImplemented, errors.New("software moves of discovered endpoints are not supported"))
	}
	return failure(fasthttp.StatusNotFound, errors.New("no such call"))
}

// register takes in what an endpoint says of itself.
func (s *Server) register(id string, body []byte) reply {
	now := s.cfg.Now()
	e, err := bluebellplatform.DecodeRegistration(id, body, now)
	if err != nil {
		s.cfg.Logger.Warn("registration not taken", "ID", id, "Error", err)
		return failure(fasthttp.StatusBadRequest, err)
	}
	switch s.cfg.Registry.Merge(e) {
	case bluebellfleet.Changed:
		s.cfg.Logger.Info("endpoint", "ID", id, "Target", e.Target, "Address", e.Address, "State", e.State,
			"Born", e.Born, "Sequence", e.Sequence, "Cold", e.ColdUntil > now, "Weights", e.Weights, "Source", "endpoint")
	case bluebellfleet.Late:
		s.cfg.Logger.Debug("registration is late", "ID", id, "Born", e.Born, "Sequence", e.Sequence)
	}
	return ok()
}

// leave notes that an endpoint is gone. One that was started again since keeps
// its place.
func (s *Server) leave(id string, body []byte) reply {
	current, found := s.cfg.Registry.Endpoint(id)
	born, hasBorn := bluebellplatform.DecodeLeave(body)
	if found && hasBorn && born < current.Born {
		return ok()
	}
	if s.cfg.Registry.Leave(id) {
		s.cfg.Logger.Info("endpoint", "ID", id, "State", bluebellfleet.Gone, "Born", current.Born, "Source", "endpoint")
	}
	return ok()
}

// declare has a declaration agreed. One that is not newer than what shows here was
// taken or overtaken before.
func (s *Server) declare(ctx context.Context, body []byte) reply {
	o := bluebellplatform.Operation{Verb: bluebellplatform.Declare}
	plan, err := bluebellplatform.DecodeDeclaration(body)
	if err != nil {
		return s.refuseChange(o, err)
	}
	if current, _ := s.cfg.Deployment(); current.GetVersion() >= plan.Version() {
		s.cfg.Logger.Info("declaration is not newer", "Version", plan.Version(), "InForce", current.GetVersion())
		return ok()
	}
	return s.proposeChange(ctx, o, &pb.Command{Body: &pb.Command_DeclareDeployment{
		DeclareDeployment: &pb.DeclareDeployment{Version: plan.Version(), Document: body},
	}})
}

func (s *Server) refuseChange(o bluebellplatform.Operation, err error) reply {
	s.cfg.Logger.Warn("change refused", "Verb", o.Verb, "Error", err)
	return failure(fasthttp.StatusBadRequest, err)
}

func (s *Server) proposeChange(ctx context.Context, o bluebellplatform.Operation, c *pb.Command) reply {
	result, err := s.cfg.Propose(ctx, c)
	if err != nil {
		s.cfg.Logger.Warn("change without answer", "Verb", o.Verb, "Subject", o.Subject, "Error", err)
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
