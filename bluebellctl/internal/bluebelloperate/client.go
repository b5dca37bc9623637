// Package bluebelloperate talks to entries in an operator's name.
//
// # Usage
//
//	client := bluebelloperate.NewClient(addresses, key)
//	result, err := client.SubmitChange(command)
//	lagging, err := client.WaitInForce(result.Revision, vms, timeout)
//
// Each call goes to the first entry that answers. A change keeps its ChangeID
// over all tries, so it takes effect once however often it is sent.
package bluebelloperate

import (
	"errors"
	"fmt"
	"net/url"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	callTimeout      = 10 * time.Second
	pollInterval     = 50 * time.Millisecond
	changeAttempts   = 3
	changeRetryDelay = 300 * time.Millisecond
	maxBodyBytes     = 256 << 20
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

// Client calls entries.
type Client struct {
	addresses []string
	key       string
	http      fasthttp.Client
}

// NewClient returns a client for entries at addresses, IP and port.
func NewClient(addresses []string, key string) *Client {
	return &Client{addresses: addresses, key: key, http: fasthttp.Client{MaxResponseBodySize: maxBodyBytes}}
}

// SubmitChange has a change agreed.
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

// Status returns what the first entry that answers knows.
func (c *Client) Status() (*pb.OperatorStatus, error) {
	var s pb.OperatorStatus
	return &s, c.call(fasthttp.MethodGet, "/operator/v1/status", nil, &s)
}

// Configuration returns the configuration in force.
func (c *Client) Configuration() (*pb.Configuration, error) {
	var configuration pb.Configuration
	return &configuration, c.call(fasthttp.MethodGet, "/operator/v1/configuration", nil, &configuration)
}

// RoutingRecords asks every entry for the decisions on a request.
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

// ChangeMembers replaces the members of the log; only its leader takes that.
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

// WaitInForce waits until a revision is in force at all VMs, and returns those
// where it is not when the time is over.
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

func laggingVMs(s *pb.OperatorStatus, revision uint64, vms []string) []string {
	inForce := map[string]uint64{}
	for _, standing := range s.Standings {
		inForce[standing.VM] = standing.RevisionInForce
	}
	var lagging []string
	for _, vm := range vms {
		if inForce[vm] < revision {
			lagging = append(lagging, vm)
		}
	}
	return lagging
}

// call tries the entries in order. Only one that did not answer is passed over.
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
