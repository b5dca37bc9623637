// Package bluebelloperate is a client of the operator API that entries serve over HTTP.
// An entry is a process that accepts callers' calls; it also accepts operators' changes.
//
// # Usage
//
//	client := bluebelloperate.NewClient(addresses, key)
//	result, err := client.SubmitChange(command)
//	lagging, err := client.WaitInForce(result.Revision, vms, timeout)
//
// A call tries the entries in order until one answers. All attempts to submit a change
// carry the same ChangeID, so the change takes effect once however often it is sent.
package bluebelloperate

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"bluebellhaven.org/bluebell/bluebellhead"
	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// callTimeout bounds one request to one entry.
	callTimeout = 10 * time.Second
	// pollInterval is the pause between two status requests of WaitInForce.
	pollInterval = 50 * time.Millisecond
	// changeAttempts is how often SubmitChange goes through the entries, with
	// changeRetryDelay between two attempts.
	changeAttempts   = 3
	changeRetryDelay = 300 * time.Millisecond
	// maxBodyBytes bounds the body of a response.
	maxBodyBytes = 256 << 20
)

// ResponseError is an error response of an entry.
type ResponseError struct {
	Status int
	Body   *pb.CallError
}

var _ error = (*ResponseError)(nil)

func (e *ResponseError) Error() string {
	return fmt.Sprintf("%s: %s (status %d, %v)", e.Body.GetCode(), e.Body.GetMessage(), e.Status, e.Body.GetRun())
}

// Client sends an operator's requests to entries.
type Client struct {
	addresses []string
	key       string
	http      fasthttp.Client
}

// NewClient returns a client that authenticates with the operator's key. Each of addresses
// is the IP address and port of an entry.
func NewClient(addresses []string, key string) *Client {
	return &Client{addresses: addresses, key: key, http: fasthttp.Client{MaxResponseBodySize: maxBodyBytes, Dial: dial}}
}

// dial opens a connection whose responses are checked: the client takes a status of 000 for 200.
func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return bluebellhead.NewConn(conn), nil
}

// SubmitChange sends a change and returns the verdict on it. It retries if no entry answers
// or the error response allows a retry.
func (c *Client) SubmitChange(command *pb.Command) (*pb.Result, error) {
	body, err := protojson.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("change: %w", err)
	}
	for attempt := 1; ; attempt++ {
		var result pb.Result
		err = c.call(fasthttp.MethodPost, "/operator/v1/change", body, &result)
		if err == nil {
			return &result, nil
		}
		var responseErr *ResponseError
		if attempt == changeAttempts || errors.As(err, &responseErr) && !responseErr.Body.GetRetry() {
			return nil, err
		}
		time.Sleep(changeRetryDelay)
	}
}

// Status returns the status as seen by the first entry that answers.
func (c *Client) Status() (*pb.OperatorStatus, error) {
	var s pb.OperatorStatus
	return &s, c.call(fasthttp.MethodGet, "/operator/v1/status", nil, &s)
}

// Configuration returns the configuration that is in force at the first entry that answers.
func (c *Client) Configuration() (*pb.Configuration, error) {
	var configuration pb.Configuration
	return &configuration, c.call(fasthttp.MethodGet, "/operator/v1/configuration", nil, &configuration)
}

// RoutingRecords collects the routing records of a request from all entries, oldest first.
// It returns the records that it got even if some entries fail.
func (c *Client) RoutingRecords(requestID string) ([]*pb.RoutingRecord, error) {
	var all []*pb.RoutingRecord
	var errs []error
	path := "/operator/v1/why?RequestID=" + url.QueryEscape(requestID)
	for _, address := range c.addresses {
		var records pb.RoutingRecords
		if err := c.callEntry(address, fasthttp.MethodGet, path, nil, &records); err != nil {
			errs = append(errs, fmt.Errorf("entry %s: %w", address, err))
			continue
		}
		all = append(all, records.Records...)
	}
	slices.SortFunc(all, func(a, b *pb.RoutingRecord) int { return int(a.UnixNanos - b.UnixNanos) })
	return all, errors.Join(errs...)
}

// ChangeMembers replaces the members of the replicated log. Only the leader of the log
// accepts this, so ChangeMembers tries each entry.
func (c *Client) ChangeMembers(m *pb.Members) error {
	body, err := protojson.Marshal(m)
	if err != nil {
		return fmt.Errorf("members: %w", err)
	}
	var errs []error
	for _, address := range c.addresses {
		var members pb.Members
		err := c.callEntry(address, fasthttp.MethodPost, "/operator/v1/members", body, &members)
		if err == nil {
			return nil
		}
		errs = append(errs, fmt.Errorf("entry %s: %w", address, err))
	}
	return errors.Join(errs...)
}

// WaitInForce waits until a revision, or a later one, is in force at all VMs. It returns the
// VMs where it is not in force after timeout, and the error of the last status request.
func (c *Client) WaitInForce(revision uint64, vms []string, timeout time.Duration) ([]string, error) {
	deadline := time.Now().Add(timeout)
	for {
		s, err := c.Status()
		lagging := slices.Clone(vms)
		if err == nil {
			lagging = laggingVMs(s, revision, vms)
		}
		if len(lagging) == 0 || time.Now().After(deadline) {
			return lagging, err
		}
		time.Sleep(pollInterval)
	}
}

// laggingVMs returns the VMs where a revision older than the given one is in force.
func laggingVMs(s *pb.OperatorStatus, revision uint64, vms []string) []string {
	revisionInForce := map[string]uint64{}
	for _, standing := range s.Standings {
		revisionInForce[standing.VM] = standing.RevisionInForce
	}
	var lagging []string
	for _, vm := range vms {
		if revisionInForce[vm] < revision {
			lagging = append(lagging, vm)
		}
	}
	return lagging
}

// call sends a request to the entries in order until one answers. It goes on to the next
// entry if one does not answer or its error response allows a retry.
func (c *Client) call(method, path string, body []byte, response proto.Message) error {
	errs := []error{errors.New("no entry answers")}
	for _, address := range c.addresses {
		err := c.callEntry(address, method, path, body, response)
		var responseErr *ResponseError
		if err == nil || errors.As(err, &responseErr) && !responseErr.Body.GetRetry() {
			return err
		}
		errs = append(errs, fmt.Errorf("entry %s: %w", address, err))
	}
	return errors.Join(errs...)
}

// callEntry sends one request to one entry and decodes the body of its answer into response.
func (c *Client) callEntry(address, method, path string, body []byte, response proto.Message) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	if err := c.http.DoTimeout(req, resp, callTimeout); err != nil {
		return err
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return protojson.Unmarshal(resp.Body(), response)
	}
	var e pb.ErrorBody
	if err := protojson.Unmarshal(resp.Body(), &e); err != nil {
		return fmt.Errorf("status %d: %w", resp.StatusCode(), err)
	}
	return &ResponseError{Status: resp.StatusCode(), Body: e.Error}
}
