package bluebellstate

import (
	"bytes"
	"fmt"
	"time"

	"github.com/google/uuid"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// maxKeyLead limits how far the creation time of a key may be ahead of the machine's
// time.
const maxKeyLead = 10 * time.Minute

// callKey identifies a non-idempotent call: one that must not run twice.
type callKey struct {
	customer, target, key string
}

// claimTable indexes the claims by key and by the minute in which the key was created,
// counted since the Unix epoch. The claims of all keys created up to the end of
// forgottenMinute have been dropped.
//
// Invariant: each claim in byKey is listed exactly once in byMinute, under a minute
// later than forgottenMinute.
type claimTable struct {
	byKey           map[callKey]*pb.Claim
	byMinute        map[int64][]callKey
	forgottenMinute int64
}

func newClaimTable() claimTable {
	return claimTable{byKey: map[callKey]*pb.Claim{}, byMinute: map[int64][]callKey{}}
}

// KeyTime returns the creation time of an idempotency key, which must be a UUID of
// version 7.
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

// unixMinute returns the number of whole minutes since the Unix epoch.
func unixMinute(unixNanos int64) int64 { return unixNanos / int64(time.Minute) }

// open grants the claim if the key has none, if its claim was released by another
// attempt, or if the same attempt asks again before the call has an outcome. Otherwise it
// reports who holds the claim, or the outcome of the call. It refuses keys that are
// malformed, expired or too far in the future, and keys that were used with another
// request.
func (t *claimTable) open(now int64, c *pb.OpenClaim) *pb.Result {
	createdAt, err := KeyTime(c.Key)
	if err != nil {
		return &pb.Result{Verdict: pb.Verdict_Refused, Text: err.Error()}
	}
	if unixMinute(createdAt.UnixNano()) <= t.forgottenMinute {
		return &pb.Result{
			Verdict: pb.Verdict_Expired, Outcome: pb.RunState_Unknown,
			Text: "the idempotency key is older than the retention; whether its call ran is not remembered",
		}
	}
	if createdAt.UnixNano() > now+int64(maxKeyLead) {
		return &pb.Result{Verdict: pb.Verdict_Refused, Text: "the idempotency key is from the future"}
	}
	k := callKey{c.Customer, c.Target, c.Key}
	existing := t.byKey[k]
	switch {
	case existing == nil:
		t.add(&pb.Claim{Open: c, KeyUnixNanos: createdAt.UnixNano()})
		return &pb.Result{Verdict: pb.Verdict_Granted}
	case existing.Outcome == pb.RunState_NotRun && existing.Open.Attempt == c.Attempt:
		// The attempt's claim request arrived, or arrived again, after its release.
		return &pb.Result{Verdict: pb.Verdict_Refused, Outcome: pb.RunState_NotRun, Text: "the attempt has released its claim"}
	case existing.Outcome == pb.RunState_NotRun:
		t.byKey[k] = &pb.Claim{Open: c, KeyUnixNanos: existing.KeyUnixNanos}
		return &pb.Result{Verdict: pb.Verdict_Granted}
	case !bytes.Equal(existing.Open.Digest, c.Digest):
		return &pb.Result{Verdict: pb.Verdict_Mismatch, Text: "the idempotency key was used with another call"}
	case existing.Outcome != pb.RunState_RunStateUnset:
		return &pb.Result{Verdict: pb.Verdict_Settled, Outcome: existing.Outcome, Answer: existing.Answer}
	case existing.Open.Attempt == c.Attempt:
		// The answer to the attempt's first request was lost, and it repeats the request.
		return &pb.Result{Verdict: pb.Verdict_Granted}
	}
	return &pb.Result{Verdict: pb.Verdict_Held, Outcome: pb.RunState_Unknown, Text: "claimed by " + existing.Open.Holder}
}

// close stores the outcome of a claim's call. Ran replaces Unknown, since an answer can
// arrive late. Ran is final.
func (t *claimTable) close(c *pb.CloseClaim) *pb.Result {
	existing := t.byKey[callKey{c.Customer, c.Target, c.Key}]
	if existing == nil || existing.Open.Attempt != c.Attempt || existing.Outcome == pb.RunState_NotRun {
		return &pb.Result{Verdict: pb.Verdict_Refused, Text: "the claim is not held by this attempt"}
	}
	if c.Outcome != pb.RunState_Ran && c.Outcome != pb.RunState_Unknown {
		return &pb.Result{Verdict: pb.Verdict_Refused, Text: "an outcome is Ran or Unknown"}
	}
	if existing.Outcome != pb.RunState_Ran {
		next := &pb.Claim{Open: existing.Open, Outcome: c.Outcome, Answer: c.Answer, KeyUnixNanos: existing.KeyUnixNanos}
		t.byKey[callKey{c.Customer, c.Target, c.Key}] = next
		existing = next
	}
	return &pb.Result{Verdict: pb.Verdict_Settled, Outcome: existing.Outcome, Answer: existing.Answer}
}

// release gives up a claim whose call was certainly not sent. The claim stays in the
// table as NotRun, so that a delayed copy of the attempt's claim request is refused.
func (t *claimTable) release(c *pb.ReleaseClaim) *pb.Result {
	k := callKey{c.Customer, c.Target, c.Key}
	existing := t.byKey[k]
	if existing == nil {
		t.recordEarlyRelease(c)
		return &pb.Result{Verdict: pb.Verdict_Accepted}
	}
	if existing.Open.Attempt != c.Attempt {
		return &pb.Result{Verdict: pb.Verdict_Accepted, Text: "the claim is not held by this attempt"}
	}
	if existing.Outcome == pb.RunState_Ran || existing.Outcome == pb.RunState_Unknown {
		return &pb.Result{Verdict: pb.Verdict_Refused, Text: "the call has an outcome", Outcome: existing.Outcome}
	}
	t.byKey[k] = &pb.Claim{Open: existing.Open, Outcome: pb.RunState_NotRun, KeyUnixNanos: existing.KeyUnixNanos}
	return &pb.Result{Verdict: pb.Verdict_Accepted}
}

// recordEarlyRelease stores a release that arrives before the attempt's claim request.
// Otherwise that request would be granted later and hold the claim for an attempt that
// has ended.
func (t *claimTable) recordEarlyRelease(c *pb.ReleaseClaim) {
	createdAt, err := KeyTime(c.Key)
	if err != nil || unixMinute(createdAt.UnixNano()) <= t.forgottenMinute {
		return
	}
	t.add(&pb.Claim{
		Open:    &pb.OpenClaim{Customer: c.Customer, Target: c.Target, Key: c.Key, Attempt: c.Attempt},
		Outcome: pb.RunState_NotRun, KeyUnixNanos: createdAt.UnixNano(),
	})
}

func (t *claimTable) add(c *pb.Claim) {
	k := callKey{c.Open.Customer, c.Open.Target, c.Open.Key}
	t.byKey[k] = c
	minute := unixMinute(c.KeyUnixNanos)
	t.byMinute[minute] = append(t.byMinute[minute], k)
}

// expire drops the claims of all keys created in minutes that ended before the start of
// the retention. Keys of these minutes stay refused even if the retention is raised later.
func (t *claimTable) expire(now int64, retention time.Duration) {
	through := unixMinute(now-int64(retention)) - 1
	if through <= t.forgottenMinute {
		return
	}
	for minute, keys := range t.byMinute {
		if minute > through {
			continue
		}
		for _, k := range keys {
			delete(t.byKey, k)
		}
		delete(t.byMinute, minute)
	}
	t.forgottenMinute = through
}
