package bluebelldispatch

import (
	"context"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
)

const (
	// singleProposalTimeout bounds one proposal of a claim's start or end, or of a crash report,
	// to the voters.
	singleProposalTimeout = 3 * time.Second
	// viewTimeout bounds the wait until this VM has the view of the revision at which a
	// claim was granted.
	viewTimeout = 2 * time.Second
	// maxClaimAge is the time after the request for a claim in which its call may be sent.
	maxClaimAge = 8 * time.Second
	// heldClaimTimeout bounds the time for which a resent call waits for the outcome of an
	// earlier attempt that holds the claim; heldClaimInterval is the pause between checks.
	heldClaimTimeout  = 3 * time.Second
	heldClaimInterval = 100 * time.Millisecond
	// maxReplyDelay bounds the time for which an answer to the caller is held back until
	// the voters have agreed on the end of its claim.
	maxReplyDelay = 500 * time.Millisecond
	// proposalTimeout bounds the time for which the end of a claim or a crash report is proposed
	// until the voters agree on it; proposalRetryInterval is the pause between two proposals.
	proposalTimeout       = 10 * time.Minute
	proposalRetryInterval = 500 * time.Millisecond
	// proposalTimeoutOnStop replaces proposalTimeout during a planned stop of the process.
	proposalTimeoutOnStop = 5 * time.Second
	// maxStoredAnswerBytes is the size of the largest answer that is stored with its claim
	// and replayed to resent calls.
	maxStoredAnswerBytes = 64 << 10
)

// doWithClaim runs a non-idempotent call at most once. It first obtains a claim, the right
// to run the call, on which the voters agree.
//
// Invariant: only the attempt that was granted the claim sends the call, from this process
// and after the grant was received. The call is not sent again once any byte of it may have
// been sent. A claim is released only if certainly nothing was sent.
func (d *Dispatcher) doWithClaim(ctx context.Context, c *Call) (*Reply, *CallError) {
	if _, err := bluebellstate.KeyTime(c.Key); err != nil {
		return nil, notRunError(400, CodeBadRequest, 0, "this call may not be repeated and needs an Idempotency-Key header: %v", err)
	}
	open := &pb.OpenClaim{
		Customer: c.Customer.Name, Target: c.Target, Key: c.Key, Digest: c.digest(),
		Attempt: d.cfg.NewID(), Holder: d.cfg.VM,
	}
	requestedAt := d.cfg.Now()
	result, err := d.openClaim(ctx, open)
	if err != nil {
		// The voters may still grant the claim later, so its release is proposed too.
		d.proposeUntilAgreed(d.releaseClaimCommand(open))
		return nil, unknownRunError(503, CodeNotAgreed, time.Second,
			"the call was not sent, and whether an earlier one with this key ran cannot be known now (%v); send it again with the same key", err)
	}
	if result.Verdict != pb.Verdict_Granted {
		return replyToVerdict(result)
	}
	if err := d.awaitView(ctx, result.Revision); err != nil {
		d.waitUntilAgreed(d.proposeUntilAgreed(d.releaseClaimCommand(open)))
		return nil, notRunError(503, CodeNotReady, time.Second, "this VM has not followed the agreed state yet: %v", err)
	}
	d.cfg.Logger.Info("claim granted", "RequestID", c.RequestID, "Customer", open.Customer, "Target", open.Target, "Key", open.Key, "Attempt", open.Attempt)
	// The time until the grant, which is long during a leader election, does not count
	// against the time for which the call may wait for a slot.
	granted := *c
	granted.StartBy += d.cfg.Now() - requestedAt
	return d.sendWithClaim(ctx, &granted, open, requestedAt)
}

// awaitView waits until this VM has the view of the revision at which a claim was granted.
// With an older view it could send a request that all VMs must already refuse, or use a
// failure domain that is already out of service.
func (d *Dispatcher) awaitView(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	return d.cfg.AwaitView(ctx, revision)
}

// openClaim requests a claim. While another attempt holds the claim, it repeats the request
// for up to heldClaimTimeout.
func (d *Dispatcher) openClaim(ctx context.Context, open *pb.OpenClaim) (*pb.Result, error) {
	deadline := d.cfg.Now() + heldClaimTimeout
	for {
		proposeCtx, cancel := context.WithTimeout(ctx, singleProposalTimeout)
		result, err := d.cfg.Propose(proposeCtx, &pb.Command{Body: &pb.Command_OpenClaim{OpenClaim: open}})
		cancel()
		if err != nil || result.Verdict != pb.Verdict_Held || d.cfg.Now() > deadline {
			return result, err
		}
		select {
		case <-d.cfg.After(heldClaimInterval):
		case <-ctx.Done():
			return result, nil
		}
	}
}

// replyToVerdict returns the answer to a call whose claim was not granted.
func replyToVerdict(r *pb.Result) (*Reply, *CallError) {
	switch {
	case r.Verdict == pb.Verdict_Settled && r.Outcome == pb.RunState_Ran && r.Answer != nil:
		return &Reply{
			Status: int(r.Answer.Status), ContentType: r.Answer.ContentType, Body: r.Answer.Body, Replayed: true, ended: true,
		}, nil
	case r.Verdict == pb.Verdict_Settled && r.Outcome == pb.RunState_Ran:
		return nil, &CallError{Status: 409, Code: CodeAnswerNotKept, Text: "the call ran; its answer was too large to be kept", Run: pb.RunState_Ran}
	case r.Verdict == pb.Verdict_Settled:
		return nil, unknownRunError(409, CodeInProgress, 0, "whether the call ran is unknown, and it will not be sent again")
	case r.Verdict == pb.Verdict_Held:
		return nil, unknownRunError(409, CodeInProgress, time.Second, "an earlier attempt with this key has no outcome yet: %s", r.Text)
	case r.Verdict == pb.Verdict_Expired:
		return nil, unknownRunError(410, CodeKeyExpired, 0, "%s", r.Text)
	case r.Verdict == pb.Verdict_Mismatch:
		return nil, notRunError(422, CodeKeyReused, 0, "%s", r.Text)
	}
	return nil, notRunError(400, CodeBadRequest, 0, "%s", r.Text)
}

// sendWithClaim sends a call whose claim was granted, and proposes the end of the claim.
func (d *Dispatcher) sendWithClaim(ctx context.Context, c *Call, open *pb.OpenClaim, requestedAt time.Duration) (*Reply, *CallError) {
	if d.crashesEndpoints(c) {
		d.waitUntilAgreed(d.proposeUntilAgreed(d.releaseClaimCommand(open)))
		return nil, crashesEndpointsError()
	}
	q := d.query(c)
	var last *CallError
	for range maxRefusals {
		if d.cfg.Now() > requestedAt+maxClaimAge || ctx.Err() != nil {
			last = notRunError(503, CodeOverloaded, time.Second, "the call was held up for too long")
			break
		}
		decision, err := d.cfg.Router.Pick(d.cfg.Now(), &q)
		if err != nil {
			if last == nil {
				last = routingError(err)
			}
			break
		}
		// The call may not be repeated, so it continues when the caller disconnects.
		reply, callErr := d.attempt(context.WithoutCancel(ctx), c, &decision)
		d.recordDecision(c, &decision, callErr)
		if callErr == nil {
			d.waitUntilAgreed(d.proposeUntilAgreed(closeClaimCommand(open, pb.RunState_Ran, reply)))
			return reply, nil
		}
		last = callErr
		if callErr.Run != pb.RunState_NotRun {
			d.waitUntilAgreed(d.proposeUntilAgreed(closeClaimCommand(open, pb.RunState_Unknown, nil)))
			return nil, unknownRunError(callErr.Status, callErr.Code, 0, "%s; whether the call ran is unknown, and it will not be sent again", callErr.Text)
		}
		q.Excluded = append(q.Excluded, decision.Endpoint.Name)
	}
	d.waitUntilAgreed(d.proposeUntilAgreed(d.releaseClaimCommand(open)))
	return nil, last
}

func (d *Dispatcher) releaseClaimCommand(open *pb.OpenClaim) *pb.Command {
	return &pb.Command{Body: &pb.Command_ReleaseClaim{ReleaseClaim: &pb.ReleaseClaim{
		Customer: open.Customer, Target: open.Target, Key: open.Key, Attempt: open.Attempt,
	}}}
}

func closeClaimCommand(open *pb.OpenClaim, outcome pb.RunState, reply *Reply) *pb.Command {
	closing := &pb.CloseClaim{
		Customer: open.Customer, Target: open.Target, Key: open.Key, Attempt: open.Attempt, Outcome: outcome,
	}
	if reply != nil && len(reply.Body) <= maxStoredAnswerBytes {
		closing.Answer = &pb.Answer{Status: uint32(reply.Status), ContentType: reply.ContentType, Body: reply.Body}
	}
	return &pb.Command{Body: &pb.Command_CloseClaim{CloseClaim: closing}}
}

// proposeUntilAgreed proposes the end of a claim until the voters agree on it or
// proposalTimeout has passed. The returned channel is closed in both cases.
func (d *Dispatcher) proposeUntilAgreed(command *pb.Command) <-chan struct{} {
	return d.goPropose(command, func(err error) {
		if err != nil {
			d.cfg.Logger.Error("the end of a claim was not agreed in time; the outcome of the call stays unknown", "Command", command, "Error", err)
		}
	})
}

// goPropose proposes a command in a goroutine until the voters agree on it or proposalTimeout
// has passed. An earlier proposal may be agreed on too, so the command must have the same
// effect if it is applied again. At the end, goPropose calls done, with the error of the last
// proposal if none was agreed on, and then closes the returned channel.
func (d *Dispatcher) goPropose(command *pb.Command, done func(error)) <-chan struct{} {
	ended := make(chan struct{})
	d.pendingProposals.Go(func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.Background(), proposalTimeout)
		defer cancel()
		defer context.AfterFunc(d.stopping, func() { time.AfterFunc(proposalTimeoutOnStop, cancel) })()
		var err error
		for ctx.Err() == nil {
			attemptCtx, cancelAttempt := context.WithTimeout(ctx, singleProposalTimeout)
			_, err = d.cfg.Propose(attemptCtx, command)
			cancelAttempt()
			if err == nil {
				break
			}
			select {
			case <-d.cfg.After(proposalRetryInterval):
			case <-ctx.Done():
			}
		}
		done(err)
	})
	return ended
}

// waitUntilAgreed waits until the channel is closed, for up to maxReplyDelay.
func (d *Dispatcher) waitUntilAgreed(agreed <-chan struct{}) {
	select {
	case <-agreed:
	case <-d.cfg.After(maxReplyDelay):
	}
}
