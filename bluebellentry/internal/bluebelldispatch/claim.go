package bluebelldispatch

import (
	"context"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
)

const (
	// claimTimeout bounds the time to have a claim agreed.
	claimTimeout = 3 * time.Second
	// viewTimeout bounds the wait for the view that a claim was granted under.
	viewTimeout = 2 * time.Second
	// dispatchWithin is how long after asking for a claim its call may be sent.
	dispatchWithin = 8 * time.Second
	// heldFor is how long a resent call waits for the outcome of the first.
	heldFor   = 3 * time.Second
	heldEvery = 100 * time.Millisecond
	// closeWait is how long an answer waits for its outcome to be agreed.
	closeWait = 500 * time.Millisecond
	// closeFor is how long an outcome is offered to the voters.
	closeFor   = 10 * time.Minute
	closeEvery = 500 * time.Millisecond
	// stopFor is the same during a planned stop.
	stopFor = 5 * time.Second
	// maxKept is the largest answer that is kept for resent calls, in bytes.
	maxKept = 64 << 10
)

// doClaimed runs a call at most once.
//
// Invariant: a call is sent only by the attempt that was granted its claim, in
// this process, after the grant came back, and no second time once any byte of
// it may have left. A claim is released only while certainly nothing was sent.
func (d *Dispatcher) doClaimed(ctx context.Context, c *Call) (*Reply, *CallError) {
	if _, err := bluebellstate.KeyTime(c.Key); err != nil {
		return nil, notRun(400, CodeBadRequest, 0, "this call may not be repeated and needs an Idempotency-Key header: %v", err)
	}
	open := &pb.OpenClaim{
		Customer: c.Customer.Name, Target: c.Target, Key: c.Key, Digest: c.digest(),
		Attempt: d.cfg.NewID(), Holder: d.cfg.VM,
	}
	askedAt := d.cfg.Now()
	result, err := d.claim(ctx, open)
	if err != nil {
		// The claim may still be agreed on; it is given back when it can be.
		d.settle(d.releaseCommand(open))
		return nil, unknown(503, CodeNotAgreed, time.Second,
			"the call was not sent, and whether an earlier one with this key ran cannot be known now (%v); send it again with the same key", err)
	}
	if result.Verdict != pb.Verdict_Granted {
		return verdictReply(result)
	}
	if err := d.awaitView(ctx, result.Revision); err != nil {
		d.await(d.settle(d.releaseCommand(open)))
		return nil, notRun(503, CodeNotReady, time.Second, "this VM has not followed the agreed state yet: %v", err)
	}
	d.cfg.Logger.Info("claim granted", "RequestID", c.RequestID, "Customer", open.Customer, "Target", open.Target, "Key", open.Key, "Attempt", open.Attempt)
	// The time that the agreement took, as while a leader is chosen, is not taken from
	// the time that the call may wait for a slot.
	granted := *c
	granted.StartBy += d.cfg.Now() - askedAt
	return d.runClaimed(ctx, &granted, open, askedAt)
}

// awaitView waits for the view that was in force when a claim was granted: a request
// that was refused everywhere by then, or a failure domain that was out, must not be
// missed because this VM hears of it a little later.
func (d *Dispatcher) awaitView(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	return d.cfg.AwaitView(ctx, revision)
}

// claim asks for a claim, and while another attempt holds it, asks again for a
// while.
func (d *Dispatcher) claim(ctx context.Context, open *pb.OpenClaim) (*pb.Result, error) {
	deadline := d.cfg.Now() + heldFor
	for {
		proposeCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		result, err := d.cfg.Propose(proposeCtx, &pb.Command{Body: &pb.Command_OpenClaim{OpenClaim: open}})
		cancel()
		if err != nil || result.Verdict != pb.Verdict_Held || d.cfg.Now() > deadline {
			return result, err
		}
		select {
		case <-d.cfg.After(heldEvery):
		case <-ctx.Done():
			return result, nil
		}
	}
}

// verdictReply answers a call that is not to be sent.
func verdictReply(r *pb.Result) (*Reply, *CallError) {
	switch {
	case r.Verdict == pb.Verdict_Settled && r.Outcome == pb.RunState_Ran && r.Answer != nil:
		return &Reply{
			Status: int(r.Answer.Status), ContentType: r.Answer.ContentType, Body: r.Answer.Body, Replayed: true, ended: true,
		}, nil
	case r.Verdict == pb.Verdict_Settled && r.Outcome == pb.RunState_Ran:
		return nil, &CallError{Status: 409, Code: CodeAnswerNotKept, Text: "the call ran; its answer was too large to be kept", Run: pb.RunState_Ran}
	case r.Verdict == pb.Verdict_Settled:
		return nil, unknown(409, CodeInProgress, 0, "whether the call ran is unknown, and it will not be sent again")
	case r.Verdict == pb.Verdict_Held:
		return nil, unknown(409, CodeInProgress, time.Second, "an earlier attempt with this key has no outcome yet: %s", r.Text)
	case r.Verdict == pb.Verdict_Expired:
		return nil, unknown(410, CodeKeyExpired, 0, "%s", r.Text)
	case r.Verdict == pb.Verdict_Mismatch:
		return nil, notRun(422, CodeKeyReused, 0, "%s", r.Text)
	}
	return nil, notRun(400, CodeBadRequest, 0, "%s", r.Text)
}

// runClaimed sends a call whose claim is granted.
func (d *Dispatcher) runClaimed(ctx context.Context, c *Call, open *pb.OpenClaim, askedAt time.Duration) (*Reply, *CallError) {
	if d.poisoned(c) {
		d.await(d.settle(d.releaseCommand(open)))
		return nil, poisonError()
	}
	q := d.query(c)
	var last *CallError
	for range maxRefusals {
		if d.cfg.Now() > askedAt+dispatchWithin || ctx.Err() != nil {
			last = notRun(503, CodeOverloaded, time.Second, "the call was held up for too long")
			break
		}
		decision, err := d.cfg.Router.Pick(d.cfg.Now(), &q)
		if err != nil {
			if last == nil {
				last = pickError(err)
			}
			break
		}
		// The caller's leaving must not cut a call that may not be repeated.
		reply, callErr := d.attempt(context.WithoutCancel(ctx), c, &decision)
		d.record(c, &decision, callErr)
		if callErr == nil {
			d.await(d.settle(closeCommand(open, pb.RunState_Ran, reply)))
			return reply, nil
		}
		last = callErr
		if callErr.Run != pb.RunState_NotRun {
			d.await(d.settle(closeCommand(open, pb.RunState_Unknown, nil)))
			return nil, unknown(callErr.Status, callErr.Code, 0, "%s; whether the call ran is unknown, and it will not be sent again", callErr.Text)
		}
		q.Excluded = append(q.Excluded, decision.Endpoint.Name)
	}
	d.await(d.settle(d.releaseCommand(open)))
	return nil, last
}

func (d *Dispatcher) releaseCommand(open *pb.OpenClaim) *pb.Command {
	return &pb.Command{Body: &pb.Command_ReleaseClaim{ReleaseClaim: &pb.ReleaseClaim{
		Customer: open.Customer, Target: open.Target, Key: open.Key, Attempt: open.Attempt,
	}}}
}

func closeCommand(open *pb.OpenClaim, outcome pb.RunState, reply *Reply) *pb.Command {
	closing := &pb.CloseClaim{
		Customer: open.Customer, Target: open.Target, Key: open.Key, Attempt: open.Attempt, Outcome: outcome,
	}
	if reply != nil && len(reply.Body) <= maxKept {
		closing.Answer = &pb.Answer{Status: uint32(reply.Status), ContentType: reply.ContentType, Body: reply.Body}
	}
	return &pb.Command{Body: &pb.Command_CloseClaim{CloseClaim: closing}}
}

// settle offers a claim's end to the voters until it is agreed, and returns a
// channel that closes then.
func (d *Dispatcher) settle(command *pb.Command) <-chan struct{} {
	agreed := make(chan struct{})
	d.closing.Go(func() {
		defer close(agreed)
		ctx, cancel := context.WithTimeout(context.Background(), closeFor)
		defer cancel()
		defer context.AfterFunc(d.stopping, func() { time.AfterFunc(stopFor, cancel) })()
		for ctx.Err() == nil {
			tryCtx, cancelTry := context.WithTimeout(ctx, claimTimeout)
			_, err := d.cfg.Propose(tryCtx, command)
			cancelTry()
			if err == nil {
				return
			}
			select {
			case <-d.cfg.After(closeEvery):
			case <-ctx.Done():
			}
		}
		d.cfg.Logger.Error("the end of a claim was not agreed in time; the call stays unknown", "Command", command)
	})
	return agreed
}

func (d *Dispatcher) await(agreed <-chan struct{}) {
	select {
	case <-agreed:
	case <-d.cfg.After(closeWait):
	}
}
