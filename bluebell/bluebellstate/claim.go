package bluebellstate

import (
	"bytes"
	"fmt"
	"time"

	"github.com/google/uuid"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// maxKeyLead is how far the time of a key may be ahead of the state's.
const maxKeyLead = 10 * time.Minute

// callKey names one call that may not be repeated.
type callKey struct {
	customer, target, key string
}

// claimTable holds the claims by key, and by the minute of the key's making.
//
// Invariant: each claim in byKey is listed once in byMinute, under a minute
// after forgottenMinute.
type claimTable struct {
	byKey           map[callKey]*pb.Claim
	byMinute        map[int64][]callKey
	forgottenMinute int64
}

func newClaimTable() claimTable {
	return claimTable{byKey: map[callKey]*pb.Claim{}, byMinute: map[int64][]callKey{}}
}

// KeyTime returns the time at which an idempotency key was made.
func KeyTime(key string) (time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil || len(key) != 36 || id.Version() != 7 {
		return time.Time{}, fmt.Errorf("idempotency key %q is not a UUID of version 7 (RFC 9562)", key)
	}
	millis := int64(0)
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), nil
}

func minuteOf(unixNanos int64) int64 { return unixNanos / int64(time.Minute) }

// open grants a claim to the first attempt on a key.
func (t *claimTable) open(now int64, c *pb.OpenClaim) *pb.Result {
	made, err := KeyTime(c.Key)
	if err != nil {
		return &pb.Result{Verdict: pb.Verdict_Refused, Text: err.Error()}
	}
	if minuteOf(made.UnixNano()) <= t.forgottenMinute {
		return &pb.Result{
			Verdict: pb.Verdict_Expired, Outcome: pb.RunState_Unknown,
			Text: "the idempotency key is older than the retention; whether its call ran is not remembered",
		}
	}
	if made.UnixNano() > now+int64(maxKeyLead) {
		return &pb.Result{Verdict: pb.Verdict_Refused, Text: "the idempotency key is from the future"}
	}
	k := callKey{c.Customer, c.Target, c.Key}
	known := t.byKey[k]
	switch {
	case known == nil:
		t.add(&pb.Claim{Open: c, KeyUnixNanos: made.UnixNano()})
		return &pb.Result{Verdict: pb.Verdict_Granted}
	case known.Outcome == pb.RunState_NotRun && known.Open.Attempt == c.Attempt:
		// A copy of the attempt's request that was overtaken by its release.
		return &pb.Result{Verdict: pb.Verdict_Refused, Outcome: pb.RunState_NotRun, Text: "the attempt has released its claim"}
	case known.Outcome == pb.RunState_NotRun:
		t.byKey[k] = &pb.Claim{Open: c, KeyUnixNanos: known.KeyUnixNanos}
		return &pb.Result{Verdict: pb.Verdict_Granted}
	case !bytes.Equal(known.Open.Digest, c.Digest):
		return &pb.Result{Verdict: pb.Verdict_Mismatch, Text: "the idempotency key was used with another call"}
	case known.Outcome != pb.RunState_RunStateUnset:
		return &pb.Result{Verdict: pb.Verdict_Settled, Outcome: known.Outcome, Answer: known.Answer}
	case known.Open.Attempt == c.Attempt:
		// The attempt asks again because its first answer was lost.
		return &pb.Result{Verdict: pb.Verdict_Granted}
	}
	return &pb.Result{Verdict: pb.Verdict_Held, Outcome: pb.RunState_Unknown, Text: "claimed by " + known.Open.Holder}
}

// close stores the outcome of a claim's call. Ran may follow on Unknown, as
// when an answer comes late; nothing follows on Ran.
func (t *claimTable) close(c *pb.CloseClaim) *pb.Result {
	known := t.byKey[callKey{c.Customer, c.Target, c.Key}]
	if known == nil || known.Open.Attempt != c.Attempt || known.Outcome == pb.RunState_NotRun {
		return &pb.Result{Verdict: pb.Verdict_Refused, Text: "the claim is not held by this attempt"}
	}
	if c.Outcome != pb.RunState_Ran && c.Outcome != pb.RunState_Unknown {
		return &pb.Result{Verdict: pb.Verdict_Refused, Text: "an outcome is Ran or Unknown"}
	}
	if known.Outcome != pb.RunState_Ran {
		next := &pb.Claim{Open: known.Open, Outcome: c.Outcome, Answer: c.Answer, KeyUnixNanos: known.KeyUnixNanos}
		t.byKey[callKey{c.Customer, c.Target, c.Key}] = next
		known = next
	}
	return &pb.Result{Verdict: pb.Verdict_Settled, Outcome: known.Outcome, Answer: known.Answer}
}

// release gives a claim back whose call was certainly not sent. The claim stays
// as NotRun, so that a late copy of the attempt's request finds it.
func (t *claimTable) release(c *pb.ReleaseClaim) *pb.Result {
	k := callKey{c.Customer, c.Target, c.Key}
	known := t.byKey[k]
	if known == nil {
		t.noteReleased(c)
		return &pb.Result{Verdict: pb.Verdict_Accepted}
	}
	if known.Open.Attempt != c.Attempt {
		return &pb.Result{Verdict: pb.Verdict_Accepted, Text: "the claim is not held by this attempt"}
	}
	if known.Outcome == pb.RunState_Ran || known.Outcome == pb.RunState_Unknown {
		return &pb.Result{Verdict: pb.Verdict_Refused, Text: "the call has an outcome", Outcome: known.Outcome}
	}
	t.byKey[k] = &pb.Claim{Open: known.Open, Outcome: pb.RunState_NotRun, KeyUnixNanos: known.KeyUnixNanos}
	return &pb.Result{Verdict: pb.Verdict_Accepted}
}

// noteReleased keeps a release that has overtaken its attempt's request, which
// would otherwise hold the claim for an attempt that is over.
func (t *claimTable) noteReleased(c *pb.ReleaseClaim) {
	made, err := KeyTime(c.Key)
	if err != nil || minuteOf(made.UnixNano()) <= t.forgottenMinute {
		return
	}
	t.add(&pb.Claim{
		Open:    &pb.OpenClaim{Customer: c.Customer, Target: c.Target, Key: c.Key, Attempt: c.Attempt},
		Outcome: pb.RunState_NotRun, KeyUnixNanos: made.UnixNano(),
	})
}

func (t *claimTable) add(c *pb.Claim) {
	k := callKey{c.Open.Customer, c.Open.Target, c.Open.Key}
	t.byKey[k] = c
	minute := minuteOf(c.KeyUnixNanos)
	t.byMinute[minute] = append(t.byMinute[minute], k)
}

// forget drops claims of keys that were made in a minute that is wholly older
// than the retention. What is forgotten once stays refused, also when the
// retention is raised later.
func (t *claimTable) forget(now int64, retention time.Duration) {
	until := minuteOf(now-int64(retention)) - 1
	if until <= t.forgottenMinute {
		return
	}
	for minute, keys := range t.byMinute {
		if minute > until {
			continue
		}
		for _, k := range keys {
			delete(t.byKey, k)
		}
		delete(t.byMinute, minute)
	}
	t.forgottenMinute = until
}
