package bluebellchaos

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// cutEach is such that 1 of cutEach answers breaks off in its head or early in its body.
	cutEach = 6
	// cutBodyBytes is how much of the body may be sent before an answer with a length breaks off.
	cutBodyBytes = 8
	// cutPause is the pause of a caller between two calls.
	cutPause = 4 * time.Millisecond
)

// CutReport is the result of RunCutHeads.
type CutReport struct {
	// Cut counts the answers that were broken off, and Positions the different lengths sent of them.
	Cut, Positions int
	// Served counts the complete answers with status 200.
	Served int
	// Findings describes each violation.
	Findings []string
}

// RunCutHeads runs a deployment whose endpoints break answers off at each byte of their heads and close the
// connection. It checks that no caller takes what is left for a whole answer.
func RunCutHeads(ctx context.Context, cfg Config) (CutReport, error) {
	r := &cutRun{deployment: newDeployment(cfg), rng: rand.New(rand.NewPCG(cfg.Seed, 6)), positions: map[int]bool{}, runs: map[string]int{}}
	defer func() {
		for _, l := range r.listeners {
			_ = l.Close()
		}
		r.serving.Wait()
	}()
	err := r.whileServing(ctx, func(*backend) error { return nil }, r.run)
	if err != nil {
		return CutReport{}, err
	}
	r.report.Positions = len(r.positions)
	return r.report, nil
}

// cutRun is a deployment whose endpoints answer from raw connections.
type cutRun struct {
	*deployment
	listeners []net.Listener
	serving   conc.WaitGroup

	mu        sync.Mutex
	rng       *rand.Rand
	positions map[int]bool
	// runs counts how often each call was run.
	runs   map[string]int
	report CutReport
}

// run replaces the endpoints and makes calls for the configured time.
func (r *cutRun) run(ctx context.Context) {
	for _, b := range r.backends {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.report.Findings = append(r.report.Findings, err.Error())
			return
		}
		r.listeners = append(r.listeners, listener)
		r.serving.Go(func() { r.accept(listener) })
		b.proxy.retarget(listener.Addr().String())
	}
	ctx, stop := context.WithTimeout(ctx, r.cfg.Duration)
	defer stop()
	var calls conc.WaitGroup
	for n := range concurrentProbes {
		calls.Go(func() {
			client := &http.Client{Timeout: clientTimeout}
			defer client.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				path := callPaths[(n+i)%len(callPaths)]
				id := fmt.Sprintf("cut-%d-%d", n, i)
				r.check(call(client, r.callers.gates[i%len(r.callers.gates)], id, path, nil))
				time.Sleep(cutPause)
			}
		})
	}
	calls.Wait()
}

func (r *cutRun) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.serving.Go(func() { r.serve(conn) })
	}
}

// serve answers the calls on a connection until it breaks one off.
func (r *cutRun) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		incoming, err := bluebellplatform.DecodeIncomingCall(request.Header)
		if err != nil {
			return
		}
		answer, keep := r.answer(incoming.CallID, strings.HasPrefix(request.URL.Path, streamPath))
		if _, err := io.WriteString(conn, answer); err != nil || !keep {
			if !keep && len(answer)%2 == 0 {
				reset(conn)
			}
			return
		}
	}
}

// answer returns what is sent of the answer to a call, and whether that is all of it.
func (r *cutRun) answer(id string, stream bool) (text string, whole bool) {
	body := bluebellstub.AnswerBody(id)
	if stream {
		body = ""
		for n := range bluebellstub.StreamEvents {
			body += bluebellstub.Event(id, n+1)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	framed := r.rng.IntN(4) > 0
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if !framed {
		length = "Connection: close\r\n"
	}
	first := r.rng.IntN(2) == 0
	if first {
		head.WriteString(length)
	}
	if stream {
		head.WriteString("Content-Type: text/event-stream\r\n")
	}
	// Writes to a strings.Builder do not fail.
	_ = bluebellplatform.AnswerHeader(id, "seal."+id).Write(&head)
	if !first {
		head.WriteString(length)
	}
	head.WriteString("\r\n")
	if r.rng.IntN(cutEach) > 0 {
		return head.String() + body, framed
	}
	// The end of an answer without a length is not told from a break in its body.
	most := head.Len()
	if framed {
		most += cutBodyBytes
	}
	cut := r.rng.IntN(most)
	r.report.Cut++
	r.positions[cut] = true
	return (head.String() + body)[:cut], false
}

// check checks what a caller has got.
func (r *cutRun) check(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var executions []execution
	for range r.runs[o.id] {
		executions = append(executions, execution{Run: bluebellstub.Run{
			Call: bluebellplatform.IncomingCall{CallID: o.id, Customer: customerName}, Method: http.MethodPost, URI: o.path, Body: o.requestBody,
		}})
	}
	checkOutcome(o, executions, func(format string, args ...any) {
		if len(r.report.Findings) < maxFindings {
			r.report.Findings = append(r.report.Findings, fmt.Sprintf("call %s (%s, status %d): ", o.id, o.path, o.status)+fmt.Sprintf(format, args...))
		}
	})
	if o.status == http.StatusOK && o.complete {
		r.report.Served++
	}
}
