// Package bluebellstub has stand-ins for the endpoints of a discovered
// deployment. They speak the platform's format through its own codecs, keep count of
// what they ran, and misbehave on order.
//
// # Usage
//
//	endpoint, err := bluebellstub.Start(bluebellstub.Config{...})
//	defer endpoint.Stop()
//	endpoint.Behave(bluebellstub.Mute)
//	runs := endpoint.Runs()
package bluebellstub

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/platform/bluebellplatform"
)

// Behaviour is how an endpoint treats calls.
type Behaviour int

// The behaviours of an endpoint.
const (
	// Normal answers each call in whole.
	Normal Behaviour = iota
	// Unresponsive runs calls and answers nothing.
	Unresponsive
	// Declining does not run calls and says so.
	Declining
	// Failing runs calls and answers 500.
	Failing
	// Truncating runs calls and closes the connection within the answer.
	Truncating
	// Unsealed answers without the endpoint's seal.
	Unsealed
	// Duplicating sends a second answer to each call behind the first.
	Duplicating
	// Unavailable answers that the call has not run by its status alone, though it has.
	Unavailable
	// Unframed ends its answers by closing the connection.
	Unframed
	// Unnumbered cuts its streams, whose events have no IDs.
	Unnumbered
)

const (
	// StreamEvents is the number of events of a whole stream.
	StreamEvents = 5
	// StreamPathPrefix begins the paths that are answered with a stream.
	StreamPathPrefix = "/stream/"
	// registerTimeout bounds one registration.
	registerTimeout = time.Second
)

// Config sets up an Endpoint.
type Config struct {
	ID, Target, FailureDomain string
	// Listen is the address to listen on; a free port of loopback if "".
	Listen string
	// Advertise is the address to register; that of the listener if "".
	Advertise string
	Weights   map[string]uint64
	// ProcessingTime is how long a call, or an event of a stream, takes.
	ProcessingTime time.Duration
	// StartUnixMillis is the start of the endpoint, in milliseconds since 1970.
	StartUnixMillis int64
}

// Run is a call that an endpoint has begun.
type Run struct {
	Call     bluebellplatform.Incoming
	Method   string
	URI      string
	Body     string
	Finished bool
}

// Endpoint is one stand-in.
type Endpoint struct {
	cfg      Config
	listener net.Listener
	server   *http.Server
	done     chan struct{}

	mu        sync.Mutex
	behaviour Behaviour
	runs      []*Run
	sequence  uint64
	state     bluebellfleet.State
	active    int
	arrivals  int
}

// Start listens and serves.
func Start(cfg Config) (*Endpoint, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("endpoint %s: %w", cfg.ID, err)
	}
	if cfg.Advertise == "" {
		cfg.Advertise = listener.Addr().String()
	}
	e := &Endpoint{cfg: cfg, listener: listener, done: make(chan struct{}), state: bluebellfleet.Serving}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: time.Minute}
	go func() {
		defer close(e.done)
		_ = e.server.Serve(listener)
	}()
	return e, nil
}

// Stop ends the endpoint as a crash does.
func (e *Endpoint) Stop() {
	_ = e.server.Close()
	<-e.done
}

// Address returns where the endpoint listens.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// SetBehaviour changes how calls are treated from now on.
func (e *Endpoint) SetBehaviour(b Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = b
}

// Runs returns the calls that were begun, in order.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// ActiveCalls returns the number of calls at work.
func (e *Endpoint) ActiveCalls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active
}

// Arrivals returns the number of calls that came, those that were declined included.
func (e *Endpoint) Arrivals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals
}

// NextRegistration returns the endpoint's next registration.
func (e *Endpoint) NextRegistration() bluebellfleet.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return bluebellfleet.Endpoint{
		ID: e.cfg.ID, Target: e.cfg.Target, Address: e.cfg.Advertise, FailureDomain: e.cfg.FailureDomain,
		SoftwareVersion: "v1", Slots: 8, State: e.state, StartUnixMillis: e.cfg.StartUnixMillis, Sequence: e.sequence, Weights: e.cfg.Weights,
	}
}

// Drain makes the following registrations say that the endpoint leaves.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = bluebellfleet.Draining
}

// Register registers at one of the control addresses, the first that answers.
func (e *Endpoint) Register(ctx context.Context, client *http.Client, controls []string) error {
	path, body, err := bluebellplatform.EncodeRegistration(e.NextRegistration(), 0)
	if err != nil {
		return err
	}
	var failed error
	for _, control := range controls {
		failed = put(ctx, client, "http://"+control+path, body)
		if failed == nil {
			return nil
		}
	}
	return failed
}

func put(ctx context.Context, client *http.Client, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %d", url, response.StatusCode)
	}
	return nil
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	in, err := bluebellplatform.DecodeIncoming(r.Header)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if in.Endpoint != e.cfg.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run, behaviour := e.begin(Run{Call: in, Method: r.Method, URI: r.RequestURI, Body: string(body)})
	if run == nil {
		writeHeader(w, bluebellplatform.NotRunHeader(in.CallID), http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	if err := e.answer(w, r, run, behaviour); err == nil {
		e.mu.Lock()
		run.Finished = true
		e.mu.Unlock()
	}
}

// begin notes a run; nil if the endpoint declines.
func (e *Endpoint) begin(r Run) (*Run, Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	if e.behaviour == Declining {
		return nil, Declining
	}
	e.active++
	e.runs = append(e.runs, &r)
	return &r, e.behaviour
}

func (e *Endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
}

func writeHeader(w http.ResponseWriter, h http.Header, status int) {
	for name, values := range h {
		w.Header()[name] = values
	}
	w.WriteHeader(status)
}

func (e *Endpoint) answer(w http.ResponseWriter, r *http.Request, run *Run, b Behaviour) error {
	header := bluebellplatform.AnswerHeader(run.Call.CallID, e.cfg.ID+"."+run.Call.CallID)
	switch b {
	case Unresponsive:
		<-r.Context().Done()
		return r.Context().Err()
	case Failing:
		writeHeader(w, header, http.StatusInternalServerError)
		return nil
	case Unavailable:
		writeHeader(w, header, http.StatusServiceUnavailable)
		return nil
	case Unsealed:
		header = bluebellplatform.AnswerHeader(run.Call.CallID, "")
	}
	if len(r.URL.Path) >= len(StreamPathPrefix) && r.URL.Path[:len(StreamPathPrefix)] == StreamPathPrefix {
		return e.stream(w, r, run, header, b)
	}
	select {
	case <-time.After(e.cfg.ProcessingTime):
	case <-r.Context().Done():
		return r.Context().Err()
	}
	text := AnswerBody(run.Call.CallID)
	switch b {
	case Truncating:
		header.Set("Content-Length", strconv.Itoa(len(text)))
		writeHeader(w, header, http.StatusOK)
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	case Duplicating, Unframed:
		return raw(w, header, text, b)
	}
	writeHeader(w, header, http.StatusOK)
	_, err := io.WriteString(w, text)
	return err
}

// AnswerBody is the whole answer to a call.
func AnswerBody(callID string) string { return "answer to " + callID + "\n" }

// Event is one event of the stream that answers a call.
func Event(callID string, n int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, callID, n) }

// raw writes an answer past the server.
func raw(w http.ResponseWriter, h http.Header, text string, b Behaviour) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	var out bytes.Buffer
	answer := func(h http.Header, text string, framed bool) {
		out.WriteString("HTTP/1.1 200 OK\r\n")
		_ = h.Write(&out)
		if framed {
			fmt.Fprintf(&out, "Content-Length: %d\r\n", len(text))
		}
		out.WriteString("\r\n" + text)
	}
	answer(h, text, b == Duplicating)
	if b == Duplicating {
		answer(bluebellplatform.AnswerHeader("another", "x"), AnswerBody("another"), true)
	}
	_, err = conn.Write(out.Bytes())
	return err
}

func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, run *Run, h http.Header, b Behaviour) error {
	first := 1
	if run.Call.ResumeAfter != "" {
		last, err := strconv.Atoi(run.Call.ResumeAfter)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return err
		}
		first = last + 1
	}
	h.Set("Content-Type", "text/event-stream")
	writeHeader(w, h, http.StatusOK)
	controller := http.NewResponseController(w)
	for n := first; n <= StreamEvents; n++ {
		select {
		case <-time.After(e.cfg.ProcessingTime):
		case <-r.Context().Done():
			return r.Context().Err()
		}
		event := Event(run.Call.CallID, n)
		if b == Unnumbered {
			event = event[strings.Index(event, "data:"):]
		}
		if (b == Truncating || b == Unnumbered) && n == StreamEvents/2+1 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event); err != nil {
			return err
		}
		if err := controller.Flush(); err != nil {
			return err
		}
	}
	return nil
}
