package bluebellchaos

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/bluebellsoak/bluebellanswer"
)

// maxFindings limits the findings of each check.
const maxFindings = 20

// execution is a call that an endpoint began to process. endpoint names its incarnation and backend
// the address that incarnations share.
type execution struct {
	endpoint, backend string
	bluebellstub.Run
}

// checkCalls compares the outcomes that callers observed with the executions at endpoints and
// returns the findings.
func checkCalls(outcomes []outcome, executions []execution) []string {
	byCall := map[string][]execution{}
	for _, r := range executions {
		byCall[r.Call.CallID] = append(byCall[r.Call.CallID], r)
	}
	var findings []string
	report := func(o outcome, format string, args ...any) {
		if len(findings) < maxFindings {
			findings = append(findings, fmt.Sprintf("call %s (%s, status %d): ", o.id, o.path, o.status)+fmt.Sprintf(format, args...))
		}
	}
	madeCalls := map[string]bool{}
	for _, o := range outcomes {
		madeCalls[o.id] = true
		checkOutcome(o, byCall[o.id], func(format string, args ...any) { report(o, format, args...) })
	}
	for id, callExecutions := range byCall {
		if !madeCalls[id] {
			report(outcome{id: id}, "endpoints ran it %d times, but no caller made this call", len(callExecutions))
		}
	}
	return findings
}

// checkOutcome checks one call. A call is repeatable if it is idempotent or a resumable stream.
func checkOutcome(o outcome, executions []execution, report func(format string, args ...any)) {
	repeatable := strings.HasPrefix(o.path, readPath) || strings.HasPrefix(o.path, resumablePath)
	if !repeatable && len(executions) > 1 {
		report("ran %d times", len(executions))
	}
	if saysNotRun(o.status) && len(executions) > 0 && !repeatable {
		report("refused as not run, but endpoint %s ran it", executions[0].endpoint)
	}
	if o.status == http.StatusNotFound && !strings.HasPrefix(o.path, extraPath) || o.status == http.StatusUnauthorized {
		report("refused, but the route and the key are valid")
	}
	for _, r := range executions {
		if r.URI != o.path || r.Body != o.requestBody || r.Method != http.MethodPost {
			report("ran as %s %s with a body of %d bytes that begins with %.40q", r.Method, r.URI, len(r.Body), r.Body)
		}
		if r.Call.Customer != customerName || r.Call.HasKey {
			report("ran for customer %q, key passed on: %v", r.Call.Customer, r.Call.HasKey)
		}
	}
	if o.oddHead {
		report("the head of the answer is no HTTP")
	}
	if o.status == http.StatusOK {
		checkAnswer(o, len(executions), report)
	}
}

// saysNotRun reports whether a status promises callers that the call has not run and does not run later.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkAnswer checks an answer with status 200 against the body or events that the stub
// endpoint sends for the call.
func checkAnswer(o outcome, executions int, report func(format string, args ...any)) {
	switch {
	case o.seal == "":
		report("success status, but the answer has no seal of an endpoint")
	case executions == 0:
		report("success status, but no endpoint ran the call")
	}
	if !strings.HasPrefix(o.path, streamPath) {
		if o.complete && o.body != bluebellstub.AnswerBody(o.id) {
			report("complete answer has the wrong body: %q", o.body)
		}
		return
	}
	var want strings.Builder
	for n := range bluebellstub.StreamEvents {
		want.WriteString(bluebellstub.Event(o.id, n+1))
	}
	if o.complete && o.body != want.String() {
		report("complete stream has the wrong events: %q", o.body)
	}
	if !o.complete && !strings.HasPrefix(want.String(), o.body) {
		report("interrupted stream has the wrong events: %q", o.body)
	}
}

// checkOrders returns a finding for each order to load an older version of weights than the one before.
func checkOrders(endpoint string, orders []bluebellstub.Order) []string {
	var findings []string
	for i, o := range orders {
		if i > 0 && o.Version < orders[i-1].Version {
			findings = append(findings, fmt.Sprintf("%s was ordered to load version %d of the weights after version %d", endpoint, o.Version, orders[i-1].Version))
		}
	}
	return findings
}

// checkAnswered returns the findings on calls without an answer.
func checkAnswered(outcomes []outcome, executions []execution, t *timeline, stopTimeout time.Duration) []string {
	backends := map[string][]string{}
	for _, r := range executions {
		backends[r.Call.CallID] = append(backends[r.Call.CallID], r.backend)
	}
	var calls []bluebellanswer.Call
	for _, o := range outcomes {
		calls = append(calls, bluebellanswer.Call{
			ID: o.id, Gate: gateName(o.gate), Endpoints: backends[o.id], Opened: o.opened, Began: o.began, Sent: o.sent, Ended: o.ended, Limit: statedTimeout,
			Reused: o.reused, Begun: o.status != 0, Complete: o.complete, GaveUp: o.gaveUp,
		})
	}
	cfg := bluebellanswer.Config{StopTimeout: stopTimeout}
	findings := cfg.Unanswered(calls, t.recorded())
	return append(findings[:min(len(findings), maxFindings)], cfg.Overdue(calls, t.recorded())...)
}
