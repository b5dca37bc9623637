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

// This file sends calls, to endpoints and to other owners, and says what is certain
// after a failure.

// send makes one exchange with an endpoint.
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
	if err.BrokenOff && err.Sent {
		d.reportCrash(ctx, c, decision.Endpoint.Name)
	}
	return nil, exchangeError("endpoint "+decision.Endpoint.Name, err)
}

// checkStatus turns an endpoint's own failure into an error.
func (d *Dispatcher) checkStatus(decision *bluebellroute.Decision, reply *Reply) *CallError {
	if reply.Status < 500 && reply.Status != http.StatusTooManyRequests {
		return nil
	}
	reply.Close()
	return unknown(502, CodeEndpointFailed, time.Second, "endpoint %s answered with status %d", decision.Endpoint.Name, reply.Status)
}

// exchangeError says what is certain after a failed exchange.
func exchangeError(peer string, err *bluebellupstream.Error) *CallError {
	if !err.Sent {
		return notRun(502, CodeEndpointFailed, 100*time.Millisecond, "%s cannot be reached: %v", peer, err)
	}
	return unknown(502, CodeEndpointFailed, time.Second, "%s failed: %v", peer, err)
}

// exchange sends a call to an address and reads the start of the answer.
func (d *Dispatcher) exchange(ctx context.Context, c *Call, decision *bluebellroute.Decision, address, path string, header http.Header) (*Reply, *bluebellupstream.Error) {
	header.Set("Content-Type", c.ContentType)
	header.Set(HeaderRequestID, c.RequestID)
	policy := d.cfg.View().Configuration.GetPolicy()
	within := c.Work.GetFirstTokenWithin().AsDuration() + firstByteSlack
	if c.Kind == pb.Kind_Service {
		within = policy.GetCallTimeout().AsDuration()
	}
	if address != decision.Endpoint.Address {
		// The owner has to end its own wait first.
		within += hopSlack
	}
	x, err := d.cfg.Upstream.Do(ctx, bluebellupstream.Request{
		Address: address, Method: c.Method, Path: path, Header: header, Body: c.Body,
		FirstByteWithin: within, SilentFor: policy.GetStreamTimeout().AsDuration(),
	})
	if err != nil {
		return nil, asUpstream(err)
	}
	if got := x.Header().Get(HeaderRequestID); got != "" && got != c.RequestID {
		x.Close()
		return nil, &bluebellupstream.Error{
			Stage: bluebellupstream.AwaitingAnswer, Sent: true, Err: errors.New("the answer belongs to another request"),
		}
	}
	reply := &Reply{
		Status: x.Status(), ContentType: x.Header().Get("Content-Type"), header: x.Header(), exchange: x, now: d.cfg.Now,
		Endpoint: decision.Endpoint.Name, Version: decision.Version, Blocks: len(c.Blocks),
	}
	if err := d.readStart(c, reply); err != nil {
		return nil, asUpstream(err)
	}
	return reply, nil
}

// readStart reads the whole answer, or the first event of a stream.
func (d *Dispatcher) readStart(c *Call, reply *Reply) error {
	if !c.Stream || reply.Status != http.StatusOK {
		body, err := reply.exchange.ReadAll(maxAnswer)
		if err != nil {
			return err
		}
		reply.Body = body
		reply.noteUsage(body)
		return nil
	}
	reply.Streamed = true
	reply.events = reply.exchange.Events()
	reply.first, reply.firstEnd = reply.events.Next()
	if reply.firstEnd != nil && reply.first == nil && !errors.Is(reply.firstEnd, io.EOF) {
		return reply.firstEnd
	}
	return nil
}

func asUpstream(err error) *bluebellupstream.Error {
	var e *bluebellupstream.Error
	if errors.As(err, &e) {
		return e
	}
	return &bluebellupstream.Error{Stage: bluebellupstream.ReadingAnswer, Sent: true, Err: err}
}

// handOver sends a call to the owner of its endpoint.
func (d *Dispatcher) handOver(ctx context.Context, c *Call, decision *bluebellroute.Decision) (*Reply, *CallError) {
	hop := &pb.Hop{
		From: d.cfg.VM, RequestID: c.RequestID, Customer: c.Customer.Name, Work: c.Work.GetName(),
		Endpoint: decision.Endpoint.Name, Version: decision.Version,
		StartWithin: durationpb.New(c.StartBy - d.cfg.Now()), NonIdempotent: c.NonIdempotent,
		Missing: uint32(decision.MissingBlocks()), UnixNanos: d.cfg.Wall().UnixNano(),
	}
	value, signature, err := d.cfg.Sign(hop, c.Body)
	if err != nil {
		return nil, notRun(500, CodeNoEndpoint, time.Second, "%v", err)
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
