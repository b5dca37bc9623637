// Package bluebellfrontend takes the calls of callers of a discovered deployment.
//
// The server of the standard library is used in place of fasthttp: it notices
// that a caller has left while its call still waits, and lets an answer begin
// before the call's body has been read.
//
// # Framing
//
// A call whose body comes in chunks has its connection closed after the answer:
// what an ambiguous header might have hidden behind the body is never read as
// another call.
//
// # Usage
//
//	front := bluebellfrontend.New(bluebellfrontend.Config{...})
//	err := front.Serve(ctx, callers, health)
package bluebellfrontend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc/pool"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebellgate/internal/bluebellrelay"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// maxHeaderBytes and headerTimeout bound headers before a declaration is known;
	// they are above what declarations allow callers.
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	// idleTimeout is above what declarations allow callers, so that a caller closes
	// a kept connection first.
	idleTimeout = 120 * time.Second
	// defaultMaxBody bounds a body where the declaration does not.
	defaultMaxBody = 4 << 20
	// startReturn is when a caller may come back to an entry that has just started:
	// the time in which it hears of the declaration.
	startReturn = 500 * time.Millisecond
	// rotationDelay is how long calls are taken after the entry has said that it is
	// not ready: the balancer asks each second and believes two answers. Calls that
	// come later might outlast the stop.
	rotationDelay = 2800 * time.Millisecond
	// elsewhereReturn is when a caller may come back whose call came too late: it
	// meets another entry.
	elsewhereReturn = 50 * time.Millisecond
	// stopMargin is kept from the time that a stop may take.
	stopMargin = 500 * time.Millisecond
	// readyTimeout bounds one health check.
	readyTimeout = 2 * time.Second
)

// State is what calls are decided by at one time.
type State struct {
	Plan     *bluebelldeployment.Plan
	Revision uint64
}

// Config sets up a Front.
type Config struct {
	// State returns what is in force; its plan is nil before the first declaration.
	State func() State
	Relay *bluebellrelay.Relay
	// Ready tells whether calls could be served.
	Ready func() bool
	// StopWithin bounds a planned stop.
	StopWithin time.Duration
	// Draw returns a number in [0, 1).
	Draw func() float64
	// Count counts a call that was answered here, by its status.
	Count  func(status int)
	Logger *log.Logger
}

// Front serves callers and health checks of one entry.
type Front struct {
	cfg     Config
	callers *http.Server
	health  *http.Server
	// stopping is set while callers are asked to go elsewhere, closed once no more
	// calls are taken.
	stopping, closed atomic.Bool
}

// New returns a front that does not listen yet.
func New(cfg Config) *Front {
	f := &Front{cfg: cfg}
	complaints := cfg.Logger.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel})
	f.callers = &http.Server{
		Handler: http.HandlerFunc(f.serveCall), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: complaints, DisableGeneralOptionsHandler: true,
	}
	f.health = &http.Server{
		Handler: http.HandlerFunc(f.serveReady), ReadHeaderTimeout: readyTimeout, ErrorLog: complaints,
	}
	return f
}

// Serve answers until ctx ends and all calls that were taken have been answered.
func (f *Front) Serve(ctx context.Context, callers, health net.Listener) error {
	servers := pool.New().WithErrors()
	servers.Go(func() error { return ignoreClosed(f.callers.Serve(callers)) })
	servers.Go(func() error { return ignoreClosed(f.health.Serve(health)) })
	<-ctx.Done()
	err := f.stop()
	return errors.Join(err, f.health.Close(), servers.Wait())
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop ends a planned stop: callers are asked to go elsewhere by the health check
// and by closing each connection after its next answer.
func (f *Front) stop() error {
	f.stopping.Store(true)
	f.cfg.Logger.Info("stopping", "Within", f.cfg.StopWithin)
	delay := min(rotationDelay, f.cfg.StopWithin/2)
	time.Sleep(delay)
	f.closed.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), f.cfg.StopWithin-delay-stopMargin)
	defer cancel()
	if err := f.callers.Shutdown(ctx); err != nil {
		f.cfg.Logger.Warn("calls were cut by the end of the stop", "Error", err)
		return f.callers.Close()
	}
	return nil
}

func (f *Front) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != bluebellplatform.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case f.stopping.Load() || !f.cfg.Ready():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// refusal is an answer by the entry itself.
type refusal struct {
	status int
	after  time.Duration
	cause  error
}

func (f *Front) serveCall(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	if f.stopping.Load() || r.ContentLength < 0 {
		w.Header().Set("Connection", "close")
	}
	state := f.cfg.State()
	query, refused := f.read(w, r, state, start)
	if refused != nil {
		f.refuse(w, r, *refused, state)
		return
	}
	f.cfg.Relay.Serve(r.Context(), query, f.sink(w))
}

// sink writes an answer to a caller.
func (f *Front) sink(w http.ResponseWriter) bluebellrelay.Sink {
	controller := http.NewResponseController(w)
	return bluebellrelay.Sink{
		Begin: func(status int, h http.Header) {
			for name, values := range h {
				w.Header()[name] = values
			}
			if _, dated := h["Date"]; !dated {
				// Nothing is added to an endpoint's answer.
				w.Header()["Date"] = nil
			}
			f.cfg.Count(status)
			w.WriteHeader(status)
		},
		Write: func(part []byte) error {
			if _, err := w.Write(part); err != nil {
				return err
			}
			return controller.Flush()
		},
		Abort: func() { panic(http.ErrAbortHandler) },
	}
}

// refuse answers a call that has not been sent to any endpoint.
func (f *Front) refuse(w http.ResponseWriter, r *http.Request, why refusal, state State) {
	call, _ := bluebellplatform.DecodeCall(r.Header)
	for name, values := range bluebellplatform.RefusalHeader(call.ID, why.after) {
		w.Header()[name] = values
	}
	f.cfg.Count(why.status)
	w.WriteHeader(why.status)
	f.cfg.Logger.Info("call", "Call", call.ID, "Outcome", "refused", "Status", why.status, "Host", r.Host,
		"Path", r.URL.Path, "Cause", why.cause, "Revision", state.Revision, "Version", state.Plan.Version())
}

// read makes a query of a caller's request.
func (f *Front) read(w http.ResponseWriter, r *http.Request, state State, start time.Time) (*bluebellrelay.Request, *refusal) {
	if f.closed.Load() {
		return nil, &refusal{http.StatusServiceUnavailable, elsewhereReturn, errors.New("the entry is stopping")}
	}
	if state.Plan == nil {
		return nil, &refusal{http.StatusServiceUnavailable, startReturn, errors.New("nothing is declared yet")}
	}
	call, err := bluebellplatform.DecodeCall(r.Header)
	if err != nil {
		return nil, &refusal{status: http.StatusBadRequest, cause: err}
	}
	uri, path := target(r)
	route := state.Plan.Route(hostOf(r.Host), path)
	if route == nil {
		return nil, &refusal{status: http.StatusNotFound, cause: errors.New("no route")}
	}
	q := &bluebellrelay.Request{
		Call: call, Route: route, Method: r.Method, URI: uri, Host: r.Host, Header: r.Header,
		Target: state.Plan.Target(route.TargetFor(f.cfg.Draw())), Revision: state.Revision,
		Deadline: start.Add(within(call.Left, route.Timeout)),
	}
	if state.Plan.NeedsKeys() && !route.Public {
		if q.Customer = state.Plan.CustomerOf(call.Key); q.Customer == nil {
			return nil, &refusal{status: http.StatusUnauthorized, cause: errors.New("no customer has the key")}
		}
	}
	var refused *refusal
	q.Body, refused = readBody(w, r, state.Plan.Limits(), q.Deadline)
	return q, refused
}

// target returns the path with and without the query, as they came.
func target(r *http.Request) (uri, path string) {
	uri = r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	path, _, _ = strings.Cut(uri, "?")
	return uri, path
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// within returns the shorter of the time that the caller waits, if it says so, and
// the timeout of the route.
func within(left, timeout time.Duration) time.Duration {
	if left > 0 && left < timeout {
		return left
	}
	return timeout
}

func readBody(w http.ResponseWriter, r *http.Request, limits bluebelldeployment.Limits, deadline time.Time) ([]byte, *refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	limit := limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, &refusal{status: http.StatusInternalServerError, cause: fmt.Errorf("read deadline: %w", err)}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, cause: err}
	case err != nil:
		w.Header().Set("Connection", "close")
		return nil, &refusal{status: http.StatusRequestTimeout, cause: fmt.Errorf("body: %w", err)}
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return nil, &refusal{status: http.StatusInternalServerError, cause: fmt.Errorf("read deadline: %w", err)}
	}
	return body, nil
}
