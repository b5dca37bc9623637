package bluebellstub

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"bluebellhaven.org/bluebell/bluebellprovider"
	"bluebellhaven.org/platform/bluebellplatform"
)

// maxProviderBody bounds the body of a call to a Provider.
const maxProviderBody = 1 << 20

// ProviderConfig configures a Provider.
type ProviderConfig struct {
	// Listen is the address to listen on, "127.0.0.1:0" for any port.
	Listen string
	// ChecksFencing is set if calls with outdated fencing numbers are refused. Otherwise each is
	// a finding.
	ChecksFencing bool
	// CallsPerSecond is the number of calls that are taken in a second.
	CallsPerSecond int
	// Lease is the time within which holders must not act in the order A, B, A.
	Lease time.Duration
}

// ProviderBehaviour determines how a Provider treats calls.
type ProviderBehaviour struct {
	// Outcome is Accepted if the call is carried out and answered, Limited or Failed if it is refused,
	// and Unanswered if it gets no answer.
	Outcome bluebellprovider.Outcome
	// Late is how long after its arrival a call without an answer is carried out, 0 if it is not.
	Late time.Duration
	// Delay is the time before the answer of a call that is carried out.
	Delay time.Duration
}

// ProviderCall is a call that arrived at a Provider.
type ProviderCall struct {
	bluebellplatform.ProviderCall
	At      time.Time
	Outcome bluebellprovider.Outcome
}

// Provider simulates the provider's API, to which processes send the calls of duties. It records
// violations of the rules for holders.
type Provider struct {
	cfg    ProviderConfig
	server *http.Server
	listen net.Listener

	mu        sync.Mutex
	behaviour func() ProviderBehaviour
	calls     []ProviderCall
	findings  []string
	// holders holds the holder of each fencing number.
	holders map[uint64]string
	// arrived and executed hold the highest number by subject that arrived, and that was carried out.
	arrived, executed map[bluebellprovider.Subject]uint64
	refused           map[refusal]int
	reports           map[int64]string
	scales            map[bluebellprovider.Subject]uint32
}

// refusal is a number that was refused on a subject.
type refusal struct {
	subject bluebellprovider.Subject
	holder  string
	fencing uint64
}

// StartProvider starts a provider that answers all calls.
func StartProvider(cfg ProviderConfig) (*Provider, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("provider: %w", err)
	}
	p := &Provider{
		cfg: cfg, listen: listener, behaviour: func() ProviderBehaviour { return ProviderBehaviour{} }, holders: map[uint64]string{},
		arrived: map[bluebellprovider.Subject]uint64{}, executed: map[bluebellprovider.Subject]uint64{}, refused: map[refusal]int{},
		reports: map[int64]string{}, scales: map[bluebellprovider.Subject]uint32{},
	}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: time.Second}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Address returns the provider's IP address and port.
func (p *Provider) Address() string { return p.listen.Addr().String() }

// Stop stops the provider; new connections are refused.
func (p *Provider) Stop() { _ = p.server.Close() }

// SetBehaviour sets the function that determines how the next calls are treated.
func (p *Provider) SetBehaviour(behaviour func() ProviderBehaviour) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behaviour = behaviour
}

// RaiseFencing makes the provider regard a number as the highest of a subject that was carried out.
func (p *Provider) RaiseFencing(subject bluebellprovider.Subject, fencing uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.executed[subject] = max(p.executed[subject], fencing)
}

// Calls returns the calls that have arrived, in order.
func (p *Provider) Calls() []ProviderCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.calls)
}

// Findings describes the violations of rules.
func (p *Provider) Findings() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.findings)
}

// Windows returns the number of usage windows that were reported.
func (p *Provider) Windows() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.reports)
}

// Reported reports whether a usage window was reported.
func (p *Provider) Reported(window int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, reported := p.reports[window]
	return reported
}

// Endpoints returns the number of endpoints that was ordered last for a subject.
func (p *Provider) Endpoints(subject bluebellprovider.Subject) uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scales[subject]
}

func (p *Provider) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxProviderBody))
	if err != nil {
		return
	}
	call, err := bluebellplatform.DecodeProviderCall(r.URL.Path, r.Header, body)
	p.mu.Lock()
	if err != nil || r.Method != http.MethodPost {
		p.findings = append(p.findings, fmt.Sprintf("%s %s is invalid: %v", r.Method, r.URL.Path, err))
		p.mu.Unlock()
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	behaviour := p.behaviour()
	at := time.Now()
	if p.isOverRate(at) {
		behaviour = ProviderBehaviour{Outcome: bluebellprovider.Limited}
	}
	p.checkArrival(call, at)
	if behaviour.Outcome == bluebellprovider.Accepted {
		behaviour.Outcome = p.execute(call, body)
	}
	p.calls = append(p.calls, ProviderCall{ProviderCall: call, At: at, Outcome: behaviour.Outcome})
	p.mu.Unlock()
	if behaviour.Outcome == bluebellprovider.Unanswered {
		if behaviour.Late > 0 {
			time.AfterFunc(behaviour.Late, func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.execute(call, body)
			})
		}
		// Without an answer until the sender closes the connection.
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(behaviour.Delay):
		w.WriteHeader(bluebellplatform.EncodeProviderStatus(behaviour.Outcome))
	case <-r.Context().Done():
	}
}

// isOverRate reports whether as many calls as are taken have arrived in the second before at.
func (p *Provider) isOverRate(at time.Time) bool {
	n := p.cfg.CallsPerSecond
	return n > 0 && len(p.calls) >= n && at.Sub(p.calls[len(p.calls)-n].At) < time.Second
}

// checkArrival checks the rules for holders that concern the arrival of calls.
func (p *Provider) checkArrival(call bluebellplatform.ProviderCall, at time.Time) {
	report := func(format string, args ...any) {
		p.findings = append(p.findings, fmt.Sprintf("%v %s: ", call.Subject, call.Holder)+fmt.Sprintf(format, args...))
	}
	if holder, known := p.holders[call.Fencing]; known && holder != call.Holder {
		report("number %d was sent by %s before", call.Fencing, holder)
	}
	p.holders[call.Fencing] = call.Holder
	if highest := p.arrived[call.Subject]; call.Fencing < highest && !p.cfg.ChecksFencing {
		report("number %d arrived after %d", call.Fencing, highest)
	}
	p.arrived[call.Subject] = max(p.arrived[call.Subject], call.Fencing)
	if n := p.refused[refusal{call.Subject, call.Holder, call.Fencing}]; n > 0 {
		report("number %d arrived again after it was refused", call.Fencing)
	}
	another := ""
	for _, earlier := range slices.Backward(p.calls) {
		if at.Sub(earlier.At) > p.cfg.Lease {
			break
		}
		switch {
		case earlier.Subject != call.Subject:
		case earlier.Holder != call.Holder:
			another = earlier.Holder
		case another != "":
			report("acts again %v after a call before %s acted", at.Sub(earlier.At), another)
			return
		}
	}
}

// execute carries out a call, and returns Refused if its number is outdated and checked.
func (p *Provider) execute(call bluebellplatform.ProviderCall, body []byte) bluebellprovider.Outcome {
	if call.Fencing < p.executed[call.Subject] && p.cfg.ChecksFencing {
		p.refused[refusal{call.Subject, call.Holder, call.Fencing}]++
		return bluebellprovider.Refused
	}
	p.executed[call.Subject] = max(p.executed[call.Subject], call.Fencing)
	if call.Subject.Duty == bluebellprovider.Scale {
		p.scales[call.Subject] = call.Endpoints
		return bluebellprovider.Accepted
	}
	if before, reported := p.reports[call.Window]; reported && before != string(body) {
		p.findings = append(p.findings, fmt.Sprintf("%s reports window %d as %s after %s", call.Holder, call.Window, body, before))
	}
	p.reports[call.Window] = string(body)
	return bluebellprovider.Accepted
}
