// Package bluebellstub simulates the endpoints of a discovered deployment, in which
// endpoints register themselves. The stubs encode and decode calls and registrations with
// the codecs of package bluebellplatform, record the calls that they run and the orders to load
// weights that they accept, and can be made to misbehave.
//
// # Usage
//
//	endpoint, err := bluebellstub.Start(bluebellstub.Config{...})
//	defer endpoint.Stop()
//	endpoint.SetBehaviour(bluebellstub.Unresponsive)
//	runs := endpoint.Runs()
package bluebellstub

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"bluebellhaven.org/bluebell/bluebellfleet"
	"bluebellhaven.org/platform/bluebellplatform"
)

// Behaviour determines how an endpoint treats calls.
type Behaviour int

// The behaviours of an endpoint.
const (
	// Normal runs each call and sends a complete answer.
	Normal Behaviour = iota
	// Unresponsive runs calls and never answers.
	Unresponsive
	// Declining does not run calls and answers 503 with the header that states so.
	Declining
	// Failing runs calls and answers 500.
	Failing
	// Truncating runs calls and closes the connection in the middle of the answer
	// or stream.
	Truncating
	// Unsealed runs calls and answers without the seal, the header that distinguishes an
	// endpoint's answer from one made by the system.
	Unsealed
	// Duplicating runs calls and sends a second answer, with another call ID, behind the
	// first.
	Duplicating
	// Unavailable runs calls and answers 503 without the header that states that a call has
	// not run. The status alone suggests so, wrongly.
	Unavailable
	// Unframed sends no Content-Length and ends the answer by closing the connection.
	Unframed
	// Unnumbered sends stream events without IDs and closes the connection in the middle
	// of the stream.
	Unnumbered
	// Stalling sends the first half of a stream, and then a comment now and then, without
	// end.
	Stalling
	// Unidentified runs calls and answers without the ID of the call.
	Unidentified
	// Commenting sends only comments, now and then, without end.
	Commenting
	// UnframedStream sends streams without a length or chunks, and ends them by closing the
	// connection.
	UnframedStream
	// UnframedEmptyStream does the same before the first event.
	UnframedEmptyStream
	// Pausing is silent for a second, or as SetPauseTime demands, before the answer or in the middle
	// of a stream, and then completes it.
	Pausing
	// OddHead runs calls and answers with a head that is no HTTP, another one for each call.
	OddHead
	// ResettingEarly answers calls with long bodies at once with a status of 200 and no length, sends a part of
	// the answer and resets the connection while the body is still being sent.
	ResettingEarly
)

const (
	// Slots is the number of slots that endpoints register.
	Slots = 8
	// StreamEvents is the number of events of a complete stream.
	StreamEvents = 5
	// StreamPathPrefix is the prefix of the paths that are answered with a stream.
	StreamPathPrefix = "/stream/"
	// registerTimeout bounds one registration.
	registerTimeout = time.Second
	// defaultPauseTime is how long Pausing is silent.
	defaultPauseTime = time.Second
	// commentInterval is the time between the comments of Stalling and Commenting.
	commentInterval = 30 * time.Millisecond
)

// Config configures an Endpoint.
type Config struct {
	ID, Target, FailureDomain string
	// Listen is the address to listen on. If it is empty, the endpoint listens on a free
	// port of 127.0.0.1.
	Listen string
	// Advertise is the address to register. If it is empty, the address of the listener
	// is registered.
	Advertise string
	Weights   map[string]uint64
	// ProcessingTime is the time to answer a call that is not streamed, or to send each
	// event of a stream.
	ProcessingTime time.Duration
	// StartUnixMillis is the start time to register, in milliseconds since 1970 (Unix time).
	StartUnixMillis int64
	// Crashes, if not nil, reports whether a call crashes the endpoint when its answer begins.
	Crashes func(call bluebellplatform.IncomingCall) bool
	// CrashAfter is how long such a call runs before the crash. If it is not 0, the endpoint crashes
	// without having sent the header of its answer.
	CrashAfter time.Duration
	// OnCrash, if not nil, is called after such a crash.
	OnCrash func()
	// Copies, if not nil, reports whether the response to the previous call on a connection, a refusal or an
	// answer, is written once more now that the next call has arrived there.
	Copies func() bool
	// MaxCalls is the number of calls that the endpoint runs at a time, 0 for no limit. It declines others.
	MaxCalls int
}

// Run is a call that an endpoint has begun to run. Finished is set once an answer has been
// written without an error.
type Run struct {
	Call     bluebellplatform.IncomingCall
	Method   string
	URI      string
	Body     string
	Finished bool
	// At is when the run began.
	At time.Time
}

// Endpoint is one simulated endpoint.
type Endpoint struct {
	cfg      Config
	listener net.Listener
	server   *http.Server
	done     chan struct{} // closed when the server has stopped

	mu        sync.Mutex
	behaviour Behaviour
	// oddHeads counts the answers of OddHead.
	oddHeads int
	// processing replaces Config.ProcessingTime if it is not 0.
	processing time.Duration
	// pause replaces defaultPauseTime if it is not 0.
	pause       time.Duration
	runs        []*Run
	sequence    uint64
	state       bluebellfleet.State
	activeCalls int
	arrivals    []time.Time
	// misdirected are the IDs of the calls that were refused since they were for another endpoint.
	misdirected []string
	// rateLimit is the limit that answers name, "" for none.
	rateLimit string
	// said is added to the header of all answers.
	said http.Header
	// endless is the part of responses that does not end, "" if all end.
	endless string
	// brittle, if not nil, makes the endpoint crash when it turns too many calls away.
	brittle *brittleness
	// weights are the loaded versions by model, and orders the accepted orders to load others.
	weights map[string]uint64
	orders  []Order
	// coldUntil is when the endpoint ceases to be cold.
	coldUntil time.Time
	// ended is set once the endpoint has crashed or was stopped.
	ended bool
}

// Order is an accepted order to load a version of a model's weights.
type Order struct {
	Model   string
	Version uint64
	// At is when it was accepted.
	At time.Time
}

// Start returns an endpoint that serves calls until Stop.
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
	e := &Endpoint{cfg: cfg, listener: listener, done: make(chan struct{}), state: bluebellfleet.Serving, weights: map[string]uint64{}}
	maps.Copy(e.weights, cfg.Weights)
	e.server = &http.Server{Handler: http.HandlerFunc(e.serveCall), ReadHeaderTimeout: time.Minute, ConnContext: withConn}
	go func() {
		defer close(e.done)
		_ = e.server.Serve(copyingListener{listener})
	}()
	return e, nil
}

// Stop closes the listener and all connections at once, as a crash does.
func (e *Endpoint) Stop() {
	e.end()
	// The server does not know the listener yet if it has only just started.
	_ = e.listener.Close()
	<-e.done
}

// end closes all connections. The endpoint no longer registers.
func (e *Endpoint) end() {
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	_ = e.server.Close()
}

// Ended reports whether the endpoint has crashed or was stopped.
func (e *Endpoint) Ended() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// Address returns the address on which the endpoint listens.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// SetBehaviour sets the behaviour for calls that arrive from now on.
func (e *Endpoint) SetBehaviour(b Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = b
}

// Runs returns the calls that the endpoint has begun to run, oldest first.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// ActiveCalls returns the number of calls that are being run.
func (e *Endpoint) ActiveCalls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.activeCalls
}

// Arrivals returns the number of calls received, including declined ones.
func (e *Endpoint) Arrivals() int { return len(e.ArrivalTimes()) }

// ArrivalTimes returns when the calls were received, including declined ones.
func (e *Endpoint) ArrivalTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// Misdirected returns the IDs of the calls that were refused since they were for another endpoint.
func (e *Endpoint) Misdirected() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.misdirected)
}

// SetRateLimit makes answers name a limit of calls a second, or none if it is "".
func (e *Endpoint) SetRateLimit(perSecond string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rateLimit = perSecond
}

// Say adds a header to all answers from now on, in place of that of an earlier call.
func (e *Endpoint) Say(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.said = h
}

// NextRegistration increments the sequence number of the endpoint's registrations and
// returns a registration with it.
func (e *Endpoint) NextRegistration() bluebellfleet.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return bluebellfleet.Endpoint{
		ID: e.cfg.ID, Target: e.cfg.Target, Address: e.cfg.Advertise, FailureDomain: e.cfg.FailureDomain,
		SoftwareVersion: "v1", Slots: Slots, State: e.state, StartUnixMillis: e.cfg.StartUnixMillis, Sequence: e.sequence, Weights: maps.Clone(e.weights),
	}
}

// Drain makes later registrations report that the endpoint is draining.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = bluebellfleet.Draining
}

// BecomeCold makes later registrations report that the endpoint is cold until a time.
func (e *Endpoint) BecomeCold(until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = until
}

// coldLeft returns how much longer the endpoint is cold.
func (e *Endpoint) coldLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(time.Until(e.coldUntil), 0)
}

// Register tries the control addresses in order until one of them accepts a registration.
// If none does, it returns the error of the last one. An endpoint that has ended does not register.
func (e *Endpoint) Register(ctx context.Context, client *http.Client, controlAddresses []string) error {
	if e.Ended() {
		return errors.New("endpoint has ended")
	}
	path, body, err := bluebellplatform.EncodeRegistration(e.NextRegistration(), e.coldLeft())
	if err != nil {
		return err
	}
	var lastErr error
	for _, control := range controlAddresses {
		lastErr = putRegistration(ctx, client, "http://"+control+path, body)
		if lastErr == nil {
			return nil
		}
	}
	return lastErr
}

// putRegistration sends a registration to one control address.
func putRegistration(ctx context.Context, client *http.Client, url string, body []byte) error {
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
		return fmt.Errorf("PUT %s: status %d, want 200", url, response.StatusCode)
	}
	return nil
}

func (e *Endpoint) serveCall(w http.ResponseWriter, r *http.Request) {
	if e.currentBehaviour() == ResettingEarly && (r.ContentLength < 0 || r.ContentLength >= longBodyBytes) {
		resetEarly(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	isCall := r.URL.Path != bluebellplatform.OrderPath && r.URL.Path != bluebellplatform.ReportPath
	e.beginRequest(r, isCall)
	if !isCall {
		if part, found := e.endlessPart(); found {
			e.serveEndless(w, r, "", part)
			return
		}
		e.serveOrder(w, r, body)
		return
	}
	incoming, err := bluebellplatform.DecodeIncomingCall(r.Header)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if incoming.Endpoint != e.cfg.ID {
		e.mu.Lock()
		e.misdirected = append(e.misdirected, incoming.CallID)
		e.mu.Unlock()
		writeHeader(w, bluebellplatform.AnswerHeader(incoming.CallID, ""), http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	if e.rateLimit != "" {
		for name, values := range bluebellplatform.LimitHeader(e.rateLimit) {
			w.Header()[name] = values
		}
	}
	maps.Copy(w.Header(), e.said)
	e.mu.Unlock()
	run, behaviour := e.beginRun(Run{Call: incoming, Method: r.Method, URI: r.RequestURI, Body: string(body)})
	if run == nil {
		if e.fallsOver() {
			panic(http.ErrAbortHandler)
		}
		writeHeader(w, bluebellplatform.NotRunHeader(incoming.CallID), http.StatusServiceUnavailable)
		return
	}
	defer e.endRun()
	if part, found := e.endlessPart(); found {
		e.serveEndless(w, r, incoming.CallID, part)
		return
	}
	if e.cfg.Crashes != nil && e.cfg.Crashes(incoming) {
		e.crash(w, incoming)
	}
	if err := e.writeAnswer(w, r, run, behaviour); err == nil {
		e.mu.Lock()
		run.Finished = true
		e.mu.Unlock()
	}
}

// serveOrder accepts an order, whose weights are loaded at once, or answers with a report.
func (e *Endpoint) serveOrder(w http.ResponseWriter, r *http.Request, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == bluebellplatform.ReportPath {
		text, err := bluebellplatform.EncodeReport(bluebellplatform.EndpointReport{Sequence: uint64(len(e.orders)), Weights: e.weights, Running: e.activeCalls})
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(text)
		return
	}
	order, endpoint, err := bluebellplatform.DecodeWeightsOrder(r.Header, body)
	switch {
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	case endpoint != e.cfg.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case order.Sequence != nil && *order.Sequence != uint64(len(e.orders)):
		w.WriteHeader(http.StatusConflict)
	default:
		e.orders = append(e.orders, Order{Model: order.Model, Version: order.Version, At: time.Now()})
		e.weights[order.Model] = order.Version
		w.WriteHeader(http.StatusAccepted)
	}
}

// Weights returns the loaded version of a model's weights.
func (e *Endpoint) Weights(model string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights[model]
}

// Orders returns the accepted orders, oldest first.
func (e *Endpoint) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// crash begins the answer to a call, or runs it for Config.CrashAfter, and then closes the listener and
// all connections. It does not return.
func (e *Endpoint) crash(w http.ResponseWriter, call bluebellplatform.IncomingCall) {
	if e.cfg.CrashAfter > 0 {
		time.Sleep(e.cfg.CrashAfter)
	} else {
		writeHeader(w, bluebellplatform.AnswerHeader(call.CallID, e.cfg.ID+"."+call.CallID), http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	e.end()
	if e.cfg.OnCrash != nil {
		e.cfg.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

// beginRun records a run and returns it with the current behaviour. The run is nil if the
// endpoint declines the call.
func (e *Endpoint) beginRun(r Run) (*Run, Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, time.Now())
	full := e.cfg.MaxCalls > 0 && e.activeCalls >= e.cfg.MaxCalls
	if full || e.behaviour == Declining || e.brittle.turnsAway(e.activeCalls) {
		return nil, Declining
	}
	e.activeCalls++
	r.At = time.Now()
	e.runs = append(e.runs, &r)
	return &r, e.behaviour
}

// SetProcessingTime replaces Config.ProcessingTime.
func (e *Endpoint) SetProcessingTime(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.processing = d
}

// SetPauseTime sets how long Pausing is silent.
func (e *Endpoint) SetPauseTime(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pause = d
}

func (e *Endpoint) pauseTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pause > 0 {
		return e.pause
	}
	return defaultPauseTime
}

func (e *Endpoint) processingTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.processing > 0 {
		return e.processing
	}
	return e.cfg.ProcessingTime
}

func (e *Endpoint) endRun() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeCalls--
}

func writeHeader(w http.ResponseWriter, h http.Header, status int) {
	for name, values := range h {
		w.Header()[name] = values
	}
	w.WriteHeader(status)
}

// writeAnswer answers a call as the behaviour demands.
func (e *Endpoint) writeAnswer(w http.ResponseWriter, r *http.Request, run *Run, b Behaviour) error {
	header := bluebellplatform.AnswerHeader(run.Call.CallID, e.cfg.ID+"."+run.Call.CallID)
	switch b {
	case Unresponsive:
		<-r.Context().Done()
		return r.Context().Err()
	case Failing:
		writeHeader(w, header, http.StatusInternalServerError)
		return nil
	case Unavailable:
		time.Sleep(e.processingTime())
		writeHeader(w, header, http.StatusServiceUnavailable)
		return nil
	case Unidentified:
		header = bluebellplatform.AnswerHeader("", e.cfg.ID+"."+run.Call.CallID)
	case Unsealed:
		header = bluebellplatform.AnswerHeader(run.Call.CallID, "")
	}
	if len(r.URL.Path) >= len(StreamPathPrefix) && r.URL.Path[:len(StreamPathPrefix)] == StreamPathPrefix {
		return e.writeStream(w, r, run, header, b)
	}
	processing := e.processingTime()
	if b == Pausing {
		processing += e.pauseTime()
	}
	select {
	case <-time.After(processing):
	case <-r.Context().Done():
		return r.Context().Err()
	}
	text := AnswerBody(run.Call.CallID)
	switch b {
	case OddHead:
		return e.writeOddHead(w, header, text)
	case Truncating:
		header.Set("Content-Length", strconv.Itoa(len(text)))
		writeHeader(w, header, http.StatusOK)
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	case Duplicating, Unframed:
		return writeRawAnswer(w, header, text, b)
	}
	writeHeader(w, header, http.StatusOK)
	_, err := io.WriteString(w, text)
	return err
}

// AnswerBody returns the complete body of the answer to a call.
func AnswerBody(callID string) string { return "answer to " + callID + "\n" }

// Event returns event n, counted from 1, of the stream that answers a call.
func Event(callID string, n int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, callID, n) }

// writeRawAnswer writes an answer directly to the connection, since the HTTP server allows
// neither a second answer nor one without framing, and closes the connection.
func writeRawAnswer(w http.ResponseWriter, h http.Header, text string, b Behaviour) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	var out bytes.Buffer
	appendAnswer := func(h http.Header, text string, framed bool) {
		out.WriteString("HTTP/1.1 200 OK\r\n")
		_ = h.Write(&out)
		if framed {
			fmt.Fprintf(&out, "Content-Length: %d\r\n", len(text))
		}
		out.WriteString("\r\n" + text)
	}
	appendAnswer(h, text, b == Duplicating)
	if b == Duplicating {
		appendAnswer(bluebellplatform.AnswerHeader("another", "x"), AnswerBody("another"), true)
	}
	_, err = conn.Write(out.Bytes())
	return err
}

// writeComments sends comments until the caller closes the connection.
func writeComments(w http.ResponseWriter, r *http.Request) error {
	for {
		select {
		case <-time.After(commentInterval):
		case <-r.Context().Done():
			return r.Context().Err()
		}
		if _, err := io.WriteString(w, ": still here\n\n"); err != nil {
			return err
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
	}
}

// writeStream answers a call with a stream of events. If the call states the last event
// that its caller received, the stream resumes after that event.
func (e *Endpoint) writeStream(w http.ResponseWriter, r *http.Request, run *Run, h http.Header, b Behaviour) error {
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
	if b == OddHead {
		return e.writeOddHead(w, h, Event(run.Call.CallID, first))
	}
	if b == UnframedStream || b == UnframedEmptyStream {
		var text strings.Builder
		for n := first; n <= StreamEvents && b == UnframedStream; n++ {
			text.WriteString(Event(run.Call.CallID, n))
		}
		return writeRawAnswer(w, h, text.String(), Unframed)
	}
	writeHeader(w, h, http.StatusOK)
	controller := http.NewResponseController(w)
	for n := first; n <= StreamEvents; n++ {
		processing := e.processingTime()
		if b == Pausing && n == StreamEvents/2+1 {
			processing += e.pauseTime()
		}
		select {
		case <-time.After(processing):
		case <-r.Context().Done():
			return r.Context().Err()
		}
		if b == Commenting || b == Stalling && n == StreamEvents/2+1 {
			return writeComments(w, r)
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
