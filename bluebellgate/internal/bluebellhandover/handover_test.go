package bluebellhandover_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebellgate/internal/bluebellhandover"
)

// Offers and results survive the way over a header, whatever the IDs of endpoints contain, and Strip
// leaves nothing of them.
func TestHeaderRoundTrip(t *testing.T) {
	offers := []bluebellhandover.Offer{
		{Revision: 1<<63 + 1, Target: "app", Tried: []string{"i-1", `a "quoted", one`, "líne\nbreak"}, Silent: []string{"i-1"}, TimeLeft: 1500 * time.Microsecond, Waited: time.Second, ResumeAfter: "7"},
		{Revision: 1, Target: "app", Query: true},
		{},
	}
	for _, offer := range offers {
		h := http.Header{"Accept": {"x"}}
		offer.Encode(h)
		got, err := bluebellhandover.DecodeOffer(h)
		require.NoError(t, err)
		require.Equal(t, offer, got)
		bluebellhandover.Strip(h)
		require.Equal(t, http.Header{"Accept": {"x"}}, h)
	}
	for _, result := range []bluebellhandover.Result{
		{Outcome: bluebellhandover.Answered, Endpoints: []string{"i-1"}, Received: 1},
		{Outcome: bluebellhandover.Refused, RetryAfter: time.Minute},
		{Outcome: bluebellhandover.Declined},
		{Outcome: bluebellhandover.Failed, Received: 2},
		{Outcome: bluebellhandover.Accepted},
	} {
		h := http.Header{}
		result.Encode(h)
		for name := range h {
			require.Equal(t, http.CanonicalHeaderKey(name), name)
		}
		got, err := bluebellhandover.DecodeResult(h)
		require.NoError(t, err)
		require.Equal(t, result, got)
	}
}

// A malformed offer or result is an error, and none is ever taken for an answer.
func TestMalformedHeadersAreErrors(t *testing.T) {
	good := http.Header{}
	bluebellhandover.Offer{Revision: 1, TimeLeft: time.Second}.Encode(good)
	for name, value := range map[string]string{"Revision": "-1", "Time-Left": "NaN", "Waited": "1e300"} {
		h := good.Clone()
		h.Set("Bluebell-Handover-"+name, value)
		_, err := bluebellhandover.DecodeOffer(h)
		require.Error(t, err, name)
	}
	for _, h := range []http.Header{
		{},
		{"Bluebell-Handover-Outcome": {"Answered"}},
		{"Bluebell-Handover-Outcome": {"other"}, "Bluebell-Handover-Received": {"1"}},
		{"Bluebell-Handover-Outcome": {"Answered"}, "Bluebell-Handover-Received": {"-1"}},
		{"Bluebell-Handover-Outcome": {"Refused"}, "Bluebell-Handover-Received": {"0"}, "Bluebell-Handover-Retry-After": {"-3"}},
	} {
		_, err := bluebellhandover.DecodeResult(h)
		require.Error(t, err, h)
	}
	h := http.Header{"bluebell-handover-outcome": {"Answered"}, "Bluebell-Handoverx": {"y"}}
	bluebellhandover.Strip(h)
	require.Equal(t, http.Header{"Bluebell-Handoverx": {"y"}}, h)
}

// world is a list of entries as seen by one entry of the domain a.
type world struct {
	entries []bluebellfeed.EntryState
	regions map[string]string
	now     time.Duration
	random  float64
	helpers *bluebellhandover.Helpers
}

func newWorld(entries ...bluebellfeed.EntryState) *world {
	w := &world{entries: entries, now: time.Minute}
	w.helpers = bluebellhandover.NewHelpers(bluebellhandover.HelpersConfig{
		Entries: func() []bluebellfeed.EntryState { return w.entries }, FailureDomain: "a", Regions: func() map[string]string { return w.regions },
		Now: func() time.Duration { return w.now }, Random: func() float64 { return w.random },
	})
	return w
}

func linked(address string) bluebellfeed.EntryState {
	domain, _, _ := strings.Cut(address, "/")
	return bluebellfeed.EntryState{Address: address, FailureDomain: domain}
}

func lost(address string) bluebellfeed.EntryState {
	e := linked(address)
	e.LostTargets = []string{"app"}
	return e
}

// picks returns how often each entry is picked.
func (w *world) picks(asked ...string) map[string]int {
	counts := map[string]int{}
	for w.random = 0; w.random < 1; w.random += 1. / 64 {
		if entry, ok := w.helpers.Pick("app", asked, nil); ok {
			counts[entry]++
		}
	}
	return counts
}

// Calls go to entries that have not lost the target, evenly.
func TestPickSpreadsOverLinkedEntries(t *testing.T) {
	w := newWorld(lost("a/1"), linked("b/1"), linked("b/2"), lost("b/3"), linked("c/1"), linked("c/2"))
	require.Equal(t, map[string]int{"b/1": 16, "b/2": 16, "c/1": 16, "c/2": 16}, w.picks())
	require.Equal(t, map[string]int{"c/2": 64}, w.picks("b/1", "b/2", "c/1"))
	require.Empty(t, w.picks("b/1", "b/2", "c/1", "c/2"))
	entry, ok := w.helpers.Pick("llm", nil, nil)
	require.True(t, ok)
	require.NotEmpty(t, entry, "a loss concerns one target")
}

// Entries of the own failure domain come first only while they are as many as those that need them.
func TestPickPrefersOwnDomainIfItSuffices(t *testing.T) {
	w := newWorld(linked("a/1"), linked("b/1"))
	require.Equal(t, map[string]int{"a/1": 64}, w.picks())
	require.Equal(t, map[string]int{"b/1": 64}, w.picks("a/1"))
	w.entries = append(w.entries, lost("a/2"))
	require.Equal(t, map[string]int{"a/1": 32, "b/1": 32}, w.picks())
}

// Calls stay in the region of the entry. An entry whose region is not known gets none if there are several.
func TestPickStaysInRegion(t *testing.T) {
	w := newWorld(linked("b/1"), linked("c/1"), bluebellfeed.EntryState{Address: "old"})
	w.regions = map[string]string{"a": "north", "b": "south", "c": "north"}
	require.Equal(t, map[string]int{"c/1": 64}, w.picks())
	w.regions = map[string]string{"a": "north", "b": "north", "c": "north"}
	require.Len(t, w.picks(), 3)
}

// An entry that declines is left alone for a second, for that target.
func TestDeclinedEntryIsNotAskedAgainForASecond(t *testing.T) {
	w := newWorld(linked("b/1"))
	require.True(t, w.helpers.Available("app"))
	w.helpers.Declined("b/1", "app")
	require.False(t, w.helpers.Available("app"))
	require.True(t, w.helpers.Available("llm"))
	require.True(t, w.helpers.Linked("app"))
	w.now += 1100 * time.Millisecond
	require.Equal(t, map[string]int{"b/1": 64}, w.picks())
}

// With 295 entries of which 200 have lost the target, each of the others gets its share.
func TestPickAmongManyEntries(t *testing.T) {
	w := newWorld()
	for i := range 294 {
		e := linked(fmt.Sprintf("%c/%d", 'b'+i%4, i))
		if i < 200 {
			e = lost(e.Address)
		}
		w.entries = append(w.entries, e)
	}
	counts := map[string]int{}
	for i := range 94 {
		w.random = (float64(i) + 0.5) / 94
		entry, ok := w.helpers.Pick("app", nil, nil)
		require.True(t, ok)
		counts[entry]++
	}
	require.Len(t, counts, 94)
}

// An entry that is cut off from the other entries too asks a few of them, and not another one with each call.
func TestCutOffEntryAsksFewHelpers(t *testing.T) {
	var entries []bluebellfeed.EntryState
	for n := range 294 {
		entries = append(entries, linked(fmt.Sprint("b/", n)))
	}
	w := newWorld(entries...)
	for n := range 3 {
		require.NotEmpty(t, w.picks())
		w.helpers.Unreachable(entries[n].Address, "app")
	}
	require.Empty(t, w.picks())
	require.False(t, w.helpers.Available("app"))
	w.now += 1001 * time.Millisecond
	require.NotEmpty(t, w.picks(), "the next call finds out whether entries can be reached again")
	w.helpers.Unreachable(entries[9].Address, "app")
	require.Empty(t, w.picks())
	w.now += 1001 * time.Millisecond
	w.helpers.Reached()
	w.helpers.Unreachable(entries[9].Address, "app")
	require.NotEmpty(t, w.picks(), "one unreachable entry says little about the others")
}
