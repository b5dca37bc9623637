package bluebellchaos

import (
	"fmt"
	"net/http"
	"strings"

	"bluebellhaven.org/bluebellfake/bluebellstub"
)

// maxFindings bounds what one drill reports.
const maxFindings = 20

// run is a call that an endpoint began.
type run struct {
	endpoint string
	bluebellstub.Run
}

// checkCalls holds what callers saw against what endpoints ran.
func checkCalls(outcomes []outcome, runs []run) []string {
	byCall := map[string][]run{}
	for _, r := range runs {
		byCall[r.Call.CallID] = append(byCall[r.Call.CallID], r)
	}
	var findings []string
	report := func(o outcome, format string, args ...any) {
		if len(findings) < maxFindings {
			findings = append(findings, fmt.Sprintf("call %s (%s, status %d): ", o.id, o.path, o.status)+fmt.Sprintf(format, args...))
		}
	}
	known := map[string]bool{}
	for _, o := range outcomes {
		known[o.id] = true
		checkOutcome(o, byCall[o.id], func(format string, args ...any) { report(o, format, args...) })
	}
	for id, list := range byCall {
		if !known[id] {
			report(outcome{id: id}, "%d runs of a call that nobody made", len(list))
		}
	}
	return findings
}

func checkOutcome(o outcome, runs []run, report func(format string, args ...any)) {
	repeatable := strings.HasPrefix(o.path, readPath) || strings.HasPrefix(o.path, againPath)
	if !repeatable && len(runs) > 1 {
		report("ran %d times", len(runs))
	}
	if o.status == http.StatusServiceUnavailable && len(runs) > 0 && !repeatable {
		report("refused as not run, but ran at %s", runs[0].endpoint)
	}
	if o.status == http.StatusNotFound || o.status == http.StatusUnauthorized {
		report("refused although it is allowed")
	}
	for _, r := range runs {
		if r.URI != o.path || r.Body != "body of "+o.id || r.Method != http.MethodPost {
			report("ran as %s %s with body %q", r.Method, r.URI, r.Body)
		}
		if r.Call.Customer != customer || r.Call.HasKey {
			report("ran for customer %q, key passed on: %v", r.Call.Customer, r.Call.HasKey)
		}
	}
	if o.status == http.StatusOK {
		checkAnswer(o, len(runs), report)
	}
}

func checkAnswer(o outcome, runs int, report func(format string, args ...any)) {
	switch {
	case o.seal == "":
		report("a success without the seal of an endpoint")
	case runs == 0:
		report("a success that no endpoint ran")
	}
	if !strings.HasPrefix(o.path, streamPath) {
		if o.whole && o.body != bluebellstub.AnswerBody(o.id) {
			report("a whole answer of other bytes: %q", o.body)
		}
		return
	}
	var want strings.Builder
	for n := range bluebellstub.StreamEvents {
		want.WriteString(bluebellstub.Event(o.id, n+1))
	}
	if o.whole && o.body != want.String() {
		report("a whole stream of other events: %q", o.body)
	}
	if !o.whole && !strings.HasPrefix(want.String(), o.body) {
		report("a broken stream of other events: %q", o.body)
	}
}
