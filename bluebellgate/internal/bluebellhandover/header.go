package bluebellhandover

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// prefix begins the names of all headers of this package, in canonical form.
const prefix = "Bluebell-Handover-"

const (
	headerRevision    = prefix + "Revision"
	headerTarget      = prefix + "Target"
	headerTried       = prefix + "Tried"
	headerSilent      = prefix + "Silent"
	headerTimeLeft    = prefix + "Time-Left"
	headerWaited      = prefix + "Waited"
	headerResumeAfter = prefix + "Resume-After"
	headerQuery       = prefix + "Query"
	headerOutcome     = prefix + "Outcome"
	headerEndpoints   = prefix + "Endpoints"
	headerReceived    = prefix + "Received"
	headerRetryAfter  = prefix + "Retry-After"
	headerDeployment  = prefix + "Deployment"
)

// maxMillis bounds durations in headers.
const maxMillis = float64(24 * time.Hour / time.Millisecond)

// Offer is what an origin tells a helper about a call.
type Offer struct {
	// Origin is the address of the origin's connection, for logs. It is not encoded.
	Origin string
	// Revision is that of the deployment by which the call was routed to Target.
	Revision uint64
	Target   string
	// Tried holds the IDs of the endpoints that may have had the call, and Silent those of them that
	// the origin has not heard of since.
	Tried, Silent []string
	// TimeLeft is the time within which the helper must answer. Waited is how long the caller has
	// waited.
	TimeLeft, Waited time.Duration
	// ResumeAfter is the ID of the last event that the caller has received, "" for none.
	ResumeAfter string
	// Query only asks whether the helper would take a call of Target. There is no call to run.
	Query bool
}

// Encode adds the offer to the header of a call.
func (o Offer) Encode(h http.Header) {
	h.Set(headerRevision, strconv.FormatUint(o.Revision, 10))
	h.Set(headerTarget, o.Target)
	setList(h, headerTried, o.Tried)
	setList(h, headerSilent, o.Silent)
	setMillis(h, headerTimeLeft, o.TimeLeft)
	setMillis(h, headerWaited, o.Waited)
	if o.ResumeAfter != "" {
		h.Set(headerResumeAfter, o.ResumeAfter)
	}
	if o.Query {
		h.Set(headerQuery, "1")
	}
}

// DecodeOffer decodes the offer in the header of a call.
func DecodeOffer(h http.Header) (Offer, error) {
	o := Offer{Target: h.Get(headerTarget), Tried: list(h, headerTried), Silent: list(h, headerSilent), ResumeAfter: h.Get(headerResumeAfter), Query: h.Get(headerQuery) != ""}
	var err, leftErr, waitedErr error
	o.Revision, err = strconv.ParseUint(h.Get(headerRevision), 10, 64)
	o.TimeLeft, leftErr = millis(h, headerTimeLeft)
	o.Waited, waitedErr = millis(h, headerWaited)
	if err := errors.Join(err, leftErr, waitedErr); err != nil {
		return Offer{}, fmt.Errorf("offer: %w", err)
	}
	return o, nil
}

// Outcome is what a helper did with a call.
type Outcome int

// The outcomes of a call that was handed over.
const (
	// Answered means that the answer is that of an endpoint.
	Answered Outcome = iota
	// Declined means that the call has not run and that another helper may run it.
	Declined
	// Refused means that the call has not run, for a reason that holds at all entries.
	Refused
	// Failed means that the call may have run.
	Failed
	// Accepted answers a query: the helper would take a call.
	Accepted
)

var outcomes = [...]string{"Answered", "Declined", "Refused", "Failed", "Accepted"}

func (o Outcome) String() string { return outcomes[o] }

// Result is what a helper tells the origin about a call, beside the answer.
type Result struct {
	Outcome Outcome
	// Endpoints holds the IDs of the endpoints to which the helper has sent the call. Received is
	// the number of those that may have received it.
	Endpoints []string
	Received  int
	// RetryAfter is when a refused call may be sent again, 0 if not known.
	RetryAfter time.Duration
}

// Encode adds the result to the header of an answer.
func (r Result) Encode(h http.Header) {
	h.Set(headerOutcome, r.Outcome.String())
	setList(h, headerEndpoints, r.Endpoints)
	h.Set(headerReceived, strconv.Itoa(r.Received))
	if r.RetryAfter > 0 {
		setMillis(h, headerRetryAfter, r.RetryAfter)
	}
}

// DecodeResult decodes the result in the header of an answer. An answer without a result is not one of
// a helper.
func DecodeResult(h http.Header) (Result, error) {
	r := Result{Outcome: -1, Endpoints: list(h, headerEndpoints)}
	for i, name := range outcomes {
		if h.Get(headerOutcome) == name {
			r.Outcome = Outcome(i)
		}
	}
	var err, afterErr error
	r.Received, err = strconv.Atoi(h.Get(headerReceived))
	if h.Get(headerRetryAfter) != "" {
		r.RetryAfter, afterErr = millis(h, headerRetryAfter)
	}
	if err := errors.Join(err, afterErr); err != nil || r.Outcome < 0 || r.Received < 0 {
		return Result{}, errors.Join(errors.New("answer has no result of a helper"), err)
	}
	return r, nil
}

// Strip removes all headers of this package.
func Strip(h http.Header) {
	for name := range h {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), prefix) {
			delete(h, name)
		}
	}
}

func setMillis(h http.Header, name string, d time.Duration) {
	h.Set(name, strconv.FormatFloat(float64(max(d, 0))/float64(time.Millisecond), 'f', 3, 64))
}

func millis(h http.Header, name string) (time.Duration, error) {
	n, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil || math.IsNaN(n) || n < 0 || n > maxMillis {
		return 0, fmt.Errorf("%s is no duration: %q", name, h.Get(name))
	}
	return time.Duration(n * float64(time.Millisecond)), nil
}

// setList sets a header to a list, with each element escaped as an HTTP token allows.
func setList(h http.Header, name string, elements []string) {
	quoted := make([]string, len(elements))
	for i, e := range elements {
		quoted[i] = strconv.QuoteToASCII(e)
	}
	if len(quoted) > 0 {
		h.Set(name, strings.Join(quoted, " "))
	}
}

// list returns the elements of a list, up to the first that is malformed.
func list(h http.Header, name string) []string {
	var elements []string
	rest := h.Get(name)
	for {
		quoted, err := strconv.QuotedPrefix(rest)
		if err != nil {
			return elements
		}
		e, err := strconv.Unquote(quoted)
		if err != nil {
			return elements
		}
		elements, rest = append(elements, e), strings.TrimPrefix(rest[len(quoted):], " ")
	}
}

// SetDeploymentQuery makes a request to another entry ask for its deployment, if that is newer than a revision.
func SetDeploymentQuery(h http.Header, revision uint64) {
	h.Set(headerDeployment, strconv.FormatUint(revision, 10))
}

// DeploymentQuery returns the revision of a request that SetDeploymentQuery has made, and whether it is one.
func DeploymentQuery(h http.Header) (revision uint64, ok bool) {
	revision, err := strconv.ParseUint(h.Get(headerDeployment), 10, 64)
	return revision, err == nil
}
