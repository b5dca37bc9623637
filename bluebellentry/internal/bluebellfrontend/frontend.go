package bluebellfrontend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"

	"bluebellhaven.org/bluebell/bluebelllistener"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebellentry/internal/bluebelldispatch"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 8 << 20
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// readTimeout bounds the time in which a caller must send a whole request.
	readTimeout = 15 * time.Second
	// idleTimeout bounds the time between two requests on a connection.
	idleTimeout = 90 * time.Second
	// writeTimeout bounds one write to a caller that doesn't read.
	writeTimeout = 60 * time.Second
	// maxConnections bounds the number of open connections from callers.
	maxConnections = 8192
)

// Config holds the settings and dependencies of a Server.
type Config struct {
	// VM is the name of the VM that this process runs on.
	VM         string
	Dispatcher *bluebelldispatch.Dispatcher
	// View returns the view of the agreed state that is in force on this VM.
	View func() *pb.View
	// Operators are the operators who are accepted before a configuration is agreed.
	Operators []*pb.Operator
	// Secret is the key with which VMs sign hops.
	Secret []byte
	// Propose sends a command to the voters and returns its result once they agreed on it.
	Propose func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	// Status returns the status that operators see.
	Status func(ctx context.Context) *pb.OperatorStatus
	// ChangeMembers replaces a voter of the replicated log.
	ChangeMembers func(ctx context.Context, m *pb.Members) error
	// Records returns the routing records of a request.
	Records func(requestID string) []*pb.RoutingRecord
	// Metrics serves the metrics of the process.
	Metrics http.Handler
	// Ready reports whether this VM knows an endpoint that can serve calls.
	Ready func() bool
	// CountError counts an error answer.
	CountError func(code bluebelldispatch.Code)
	// Now returns the monotonic time since the start of the process.
	Now func() time.Duration
	// WallClock returns the current date and time.
	WallClock func() time.Time
	NewID     func() string
	Logger    *log.Logger
}

// Server is the HTTP server of one entry.
type Server struct {
	cfg       Config
	app       *fiber.App
	directory atomic.Pointer[directory]
	notReady  atomic.Bool
	active    activeCount
}

// New returns a Server. Serve must be called to accept connections.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.app = fiber.New(fiber.Config{
		BodyLimit: maxBodyBytes, ReadBufferSize: maxHeaderBytes, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, Concurrency: maxConnections,
		ErrorHandler: s.handleError, AppName: "bluebellentry",
	})
	s.app.Get("/healthz/live", func(c fiber.Ctx) error { return c.SendString("live\n") })
	s.app.Get("/healthz/ready", s.handleReady)
	s.app.Get("/metrics", adaptor.HTTPHandler(cfg.Metrics))
	s.app.Post("/v1/completions", s.trackActive(s.handleModel(false)))
	s.app.Post("/v1/chat/completions", s.trackActive(s.handleModel(true)))
	s.app.Get("/v1/models", s.handleModels)
	s.app.All("/services/:target/*", s.trackActive(s.handleService))
	s.registerOperatorRoutes()
	return s
}

// Serve accepts connections from a listener until Stop is called.
func (s *Server) Serve(listener net.Listener) error {
	retrying := bluebelllistener.New(bluebelllistener.Config{Listener: listener, OnError: func(err error) {
		s.cfg.Logger.Warn("failed to accept a connection", "Address", listener.Addr(), "Error", err)
	}})
	err := s.app.Listener(lingerListener{retrying}, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// SetNotReady makes the readiness check fail, so that the load balancer sends no more
// requests. Requests that still arrive are served.
func (s *Server) SetNotReady() { s.notReady.Store(true) }

// Drain waits until no request is active or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	for {
		ended := s.active.waitChannel()
		if ended == nil {
			return
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return
		}
	}
}

// Stop closes the listener and waits until the connections are closed or ctx ends.
func (s *Server) Stop(ctx context.Context) error { return s.app.ShutdownWithContext(ctx) }

// currentDirectory returns the directory of the configuration in force.
func (s *Server) currentDirectory() *directory {
	configuration := s.cfg.View().Configuration
	d := s.directory.Load()
	if d == nil || d.configuration != configuration {
		d = newDirectory(configuration, s.cfg.Operators)
		s.directory.Store(d)
	}
	return d
}

func (s *Server) handleReady(c fiber.Ctx) error {
	switch {
	case s.notReady.Load():
		return c.Status(http.StatusServiceUnavailable).SendString("stopping\n")
	case !s.cfg.Ready():
		return c.Status(http.StatusServiceUnavailable).SendString("no usable endpoint is known\n")
	}
	return c.SendString("ready\n")
}

// trackActive counts a request as active until its handler returns. The method stream counts
// a streamed answer until it ends.
func (s *Server) trackActive(h func(c fiber.Ctx) error) fiber.Handler {
	return func(c fiber.Ctx) error {
		s.active.begin()
		defer s.active.end()
		return h(c)
	}
}
