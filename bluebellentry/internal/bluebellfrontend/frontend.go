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

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebellentry/internal/bluebelldispatch"
)

const (
	// maxBody bounds a request, in bytes.
	maxBody = 8 << 20
	// headerBuffer bounds a request's header, in bytes.
	headerBuffer = 16 << 10
	// readTimeout bounds the time in which a caller must have sent a request.
	readTimeout = 15 * time.Second
	idleTimeout = 90 * time.Second
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 60 * time.Second
	// maxCallers bounds the connections of callers.
	maxCallers = 8192
)

// Config sets up a Front.
type Config struct {
	VM         string
	Dispatcher *bluebelldispatch.Dispatcher
	View       func() *pb.View
	// Operators may operate before a configuration is agreed.
	Operators []*pb.Operator
	Secret    []byte
	Propose   func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	Status    func(ctx context.Context) *pb.OperatorStatus
	// ChangeMembers replaces a voter of the log.
	ChangeMembers func(ctx context.Context, m *pb.Members) error
	Records       func(requestID string) []*pb.RoutingRecord
	Metrics       http.Handler
	// Ready tells whether calls could be served.
	Ready        func() bool
	CountRefusal func(code bluebelldispatch.Code)
	Now          func() time.Duration
	Wall         func() time.Time
	NewID        func() string
	Logger       *log.Logger
}

// Server serves HTTP for one entry.
type Server struct {
	cfg       Config
	app       *fiber.App
	directory atomic.Pointer[directory]
	stopping  atomic.Bool
	active    activeCount
}

// New returns a front that does not listen yet.
func New(cfg Config) *Server {
	f := &Server{cfg: cfg}
	f.app = fiber.New(fiber.Config{
		BodyLimit: maxBody, ReadBufferSize: headerBuffer, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, Concurrency: maxCallers,
		ErrorHandler: f.handleError, AppName: "bluebellentry",
	})
	f.app.Get("/healthz/live", func(c fiber.Ctx) error { return c.SendString("live\n") })
	f.app.Get("/healthz/ready", f.ready)
	f.app.Get("/metrics", adaptor.HTTPHandler(cfg.Metrics))
	f.app.Post("/v1/completions", f.tracked(f.model(false)))
	f.app.Post("/v1/chat/completions", f.tracked(f.model(true)))
	f.app.Get("/v1/models", f.models)
	f.app.All("/services/:target/*", f.tracked(f.service))
	f.operatorRoutes()
	return f
}

// Serve answers on a listener until Stop.
func (f *Server) Serve(listener net.Listener) error {
	err := f.app.Listener(lingerListener{listener}, fiber.ListenConfig{DisableStartupMessage: true})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// SetNotReady makes the entry not ready, so that the balancer sends nothing
// more. Requests that still come are served.
func (f *Server) SetNotReady() { f.stopping.Store(true) }

// Drain waits until all requests have ended, or ctx has.
func (f *Server) Drain(ctx context.Context) {
	for {
		ended := f.active.none()
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

// Stop closes the listener and the connections.
func (f *Server) Stop(ctx context.Context) error { return f.app.ShutdownWithContext(ctx) }

// lookup returns the directory of the configuration in force.
func (f *Server) lookup() *directory {
	configuration := f.cfg.View().Configuration
	d := f.directory.Load()
	if d == nil || d.configuration != configuration {
		d = newDirectory(configuration, f.cfg.Operators)
		f.directory.Store(d)
	}
	return d
}

func (f *Server) ready(c fiber.Ctx) error {
	switch {
	case f.stopping.Load():
		return c.Status(http.StatusServiceUnavailable).SendString("stopping\n")
	case !f.cfg.Ready():
		return c.Status(http.StatusServiceUnavailable).SendString("no usable endpoint is known\n")
	}
	return c.SendString("ready\n")
}

// tracked counts a request until its handler, or its stream, has ended.
func (f *Server) tracked(h func(c fiber.Ctx) error) fiber.Handler {
	return func(c fiber.Ctx) error {
		f.active.begin()
		defer f.active.end()
		return h(c)
	}
}
