package bluebelllimit

import "time"

// windowSlots is the number of parts that a window is counted in.
const windowSlots = 10

// WindowBudget bounds the repeats of calls in any window of time to a share of the
// calls in it and a slack. Several entries keep the bound of a whole deployment
// without a message: each has the share of its own calls, and an equal part of the
// slack. It is not safe for concurrent use.
type WindowBudget struct {
	// Window is the time that is looked at.
	Window time.Duration
	// Ratio of calls that may be repeated.
	Ratio float64
	// Slack is the number of repeats beyond that, for all entries together.
	Slack float64
	// Reserve is the part of the bound that is left unused, since windows of the
	// entries do not begin together.
	Reserve float64

	calls, repeats [windowSlots + 1]int
	slot           int64
}

// RecordCall notes the first attempt of a call.
func (b *WindowBudget) RecordCall(now time.Duration) {
	b.calls[b.advance(now)]++
}

// AllowRepeat asks for one repeat, while a number of entries share the slack.
func (b *WindowBudget) AllowRepeat(now time.Duration, entries int) bool {
	current := b.advance(now)
	calls, repeats := 0, 0
	for i := range b.calls {
		calls += b.calls[i]
		repeats += b.repeats[i]
	}
	// The slot that the window leaves counts among the repeats, not the calls.
	calls -= b.calls[(current+1)%len(b.calls)]
	bound := b.Ratio*float64(calls) + b.Slack/float64(max(entries, 1))
	if float64(repeats+1) > bound*(1-b.Reserve) {
		return false
	}
	b.repeats[current]++
	return true
}

// advance clears the slots that time has left behind and returns the present one.
func (b *WindowBudget) advance(now time.Duration) int {
	slot := int64(now / (b.Window / windowSlots))
	n := int64(len(b.calls))
	for at := max(b.slot+1, slot-n+1); at <= slot; at++ {
		b.calls[at%n], b.repeats[at%n] = 0, 0
	}
	b.slot = max(b.slot, slot)
	return int(b.slot % n)
}
