package bluebelldispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellroute"
	"bluebellhaven.org/bluebellentry/internal/bluebellupstream"
)

// This file sends calls to endpoints and to other owners. After a failure it determines
// whether the call may have run.

// send sends a call to its endpoint and reads the start of the answer.
func (d *Dispatcher) send(ctx context.Context, c *Call, decision *bluebellroute.Decision) (*Reply, *CallError) {
	header := http.Header{}
	header.Set(HeaderVersion, decision.Version)
	header.Set(HeaderCustomer, c.Customer.Name)
	if c.Key != "" {
		header.Set("Idempotency-Key", c.Key)
	}
	reply, err := d.exchange(ctx, c, decision, decision.Endpoint.Address, c.Path, header)
	if err == nil {
		return reply, d.checkStatus(decision, reply)
	}
	if err.BrokenOff && err.MaybeSent {
		d.reportCrash(ctx, c, decision.Endpoint.Name)
	}
	return nil, exchangeError("endpoint "+decision.Endpoint.Name, err)
}

// checkStatus returns an error if the endpoint answered with a status of 500 or above or
// with 429 (Too Many Requests).
func (d *Dispatcher) checkStatus(decision *bluebellroute.Decision, reply *Reply) *CallError {
	if reply.Status < 500 && reply.Status != http.StatusTooManyRequests {
		return nil
	}
	reply.Close()
	return unknownRunError(502, CodeEndpointFailed, time.Second, "endpoint %s answered with status %d", decision.Endpoint.Name, reply.Status)
}

// exchangeError returns the error of a failed exchange. Its run state is NotRun only if
// nothing was sent.
func exchangeError(peer string, err *bluebellupstream.Error) *CallError {
	if !err.MaybeSent {
		return notRunError(502, CodeEndpointFailed, 100*time.Millisecond, "%s cannot be reached: %v", peer, err)
	}
	return unknownRunError(502, CodeEndpointFailed, time.Second, "%s failed: %v", peer, err)
}

// exchange sends a call to an address and reads the start of the answer.
func (d *Dispatcher) exchange(ctx context.Context, c *Call, decision *bluebellroute.Decision, address, path string, header http.Header) (*Reply, *bluebellupstream.Error) {
	header.Set("Content-Type", c.ContentType)
	header.Set(HeaderRequestID, c.RequestID)
	policy := d.cfg.View().Configuration.GetPolicy()
	timeout := c.Work.GetFirstTokenWithin().AsDuration() + firstByteSlack
	if c.Kind == pb.Kind_Service {
		timeout = policy.GetCallTimeout().AsDuration()
	}
	if address != decision.Endpoint.Address {
		// The call goes to an owner, whose own timeout must end first.
		timeout += hopSlack
	}
	x, err := d.cfg.Upstream.Do(ctx, bluebellupstream.Request{
		Address: address, Method: c.Method, Path: path, Header: header, Body: c.Body,
		FirstByteTimeout: timeout, IdleTimeout: policy.GetStreamTimeout().AsDuration(),
	})
	if err != nil {
		return nil, toUpstreamError(err)
	}
	if got := x.Header().Get(HeaderRequestID); got != "" && got != c.RequestID {
		x.Close()
		return nil, &bluebellupstream.Error{
			Stage: bluebellupstream.AwaitingAnswer, MaybeSent: true, Err: errors.New("the answer belongs to another request"),
		}
	}
	reply := &Reply{
		Status: x.Status(), ContentType: x.Header().Get("Content-Type"), header: x.Header(), exchange: x, now: d.cfg.Now,
		Endpoint: decision.Endpoint.Name, Version: decision.Version, Blocks: len(c.Blocks),
	}
	if err := d.readAnswer(c, reply); err != nil {
		return nil, toUpstreamError(err)
	}
	return reply, nil
}

// readAnswer reads the whole body of an answer, or the first event of a stream.
func (d *Dispatcher) readAnswer(c *Call, reply *Reply) error {
	if !c.Stream || reply.Status != http.StatusOK {
		body, err := reply.exchange.ReadAll(maxAnswerBytes)
		if err != nil {
			return err
		}
		reply.Body = body
		reply.recordUsage(body)
		return nil
	}
	reply.Streamed = true
	reply.events = reply.exchange.Events()
	reply.firstEvent, reply.firstErr = reply.events.Next()
	if reply.firstErr != nil && reply.firstEvent == nil && !errors.Is(reply.firstErr, io.EOF) {
		return reply.firstErr
	}
	return nil
}

// toUpstreamError returns the *bluebellupstream.Error in err. Any other error becomes one
// that says the request may have been sent.
func toUpstreamError(err error) *bluebellupstream.Error {
	var e *bluebellupstream.Error
	if errors.As(err, &e) {
		return e
	}
	return &bluebellupstream.Error{Stage: bluebellupstream.ReadingAnswer, MaybeSent: true, Err: err}
}

// forward sends a call to the owner of its endpoint.
func (d *Dispatcher) forward(ctx context.Context, c *Call, decision *bluebellroute.Decision) (*Reply, *CallError) {
	hop := &pb.Hop{
		From: d.cfg.VM, RequestID: c.RequestID, Customer: c.Customer.Name, Work: c.Work.GetName(),
		Endpoint: decision.Endpoint.Name, Version: decision.Version,
		StartWithin: durationpb.New(c.StartBy - d.cfg.Now()), NonIdempotent: c.NonIdempotent,
		Missing: uint32(decision.MissingBlocks()), UnixNanos: d.cfg.WallClock().UnixNano(),
	}
	value, signature, err := d.cfg.Sign(hop, c.Body)
	if err != nil {
		return nil, notRunError(500, CodeNoEndpoint, time.Second, "%v", err)
	}
	header := http.Header{}
	header.Set(HeaderHop, value)
	header.Set(HeaderSignature, signature)
	if c.Key != "" {
		header.Set("Idempotency-Key", c.Key)
	}
	d.cfg.Router.AddPending(decision)
	reply, upErr := d.exchange(ctx, c, decision, d.cfg.VMAddress(decision.Owner), c.EntryPath, header)
	d.cfg.Router.RemovePending(decision)
	now := d.cfg.Now()
	if upErr != nil {
		if ctx.Err() == nil {
			d.cfg.Router.VMFailed(now, decision.Owner)
		}
		return nil, exchangeError("VM "+decision.Owner, upErr)
	}
	d.cfg.Router.VMAnswered(decision.Owner)
	if pending, err := strconv.Atoi(reply.header.Get(HeaderPending)); err == nil {
		d.cfg.Router.RecordOwnerLoad(now, decision.Endpoint.Name, pending)
	}
	if reply.header.Get(HeaderError) != "" {
		reply.Close()
		return nil, decodeCallError(reply.Status, reply.Body)
	}
	reply.finish = func(err error) {
		if err == nil {
			d.cfg.Router.RecordAnswer(d.cfg.Now(), decision, reply.CachedBlocks, 0, 0)
		}
	}
	if !reply.Streamed {
		reply.end(nil)
	}
	return reply, nil
}
