package bluebellmove_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"bluebellhaven.org/bluebell/bluebellmove"
	pb "bluebellhaven.org/bluebell/bluebellpb"
)

var policy = &pb.Policy{
	CanaryShare: 0.05, RampFactor: 2, FalseAlarm: 0.005, MissedAlarm: 0.005,
	GoodFailureRate: 0.01, BadFailureRate: 0.1, WatchFor: durationpb.New(5 * time.Second),
}

// addCall adds the outcome of one call to a counter.
func addCall(c *bluebellmove.OutcomeCounter, version string, failed bool, firstToken, token time.Duration) {
	c.Add(bluebellmove.Outcome{
		Target: "notes", Version: version, Route: "/v1/completions", Failed: failed,
		FirstToken: firstToken, TokenTime: token, Blocks: 2, Baseline: version == "v1",
	})
}

// TestBreakerStopsVersionForOneMove checks that a breaker stops a failing version on
// one VM's own evidence, and that the next move of the version is not stopped.
func TestBreakerStopsVersionForOneMove(t *testing.T) {
	counter, breaker := bluebellmove.NewOutcomeCounter("vm", 1), bluebellmove.NewVersionBreaker()
	first := &pb.Move{Target: "notes", FromVersion: "v1", ToVersion: "v2", StartedAt: 10, Phase: pb.Phase_Ramping}
	check := func(m *pb.Move) bool {
		_, stopped := breaker.Check(m, counter.Evidence([]*pb.Move{m}), policy)
		return stopped
	}
	require.False(t, check(first))
	for range 50 {
		addCall(counter, "v1", false, 100*time.Millisecond, 20*time.Millisecond)
	}
	require.False(t, check(first))
	for range 10 {
		addCall(counter, "v2", true, 0, 0)
	}
	require.True(t, check(first))
	require.True(t, breaker.Stopped(first))
	require.False(t, check(first), "Check reports a stop only once")

	// The next move of the same version starts without evidence.
	second := &pb.Move{Target: "notes", FromVersion: "v1", ToVersion: "v2", StartedAt: 20, Phase: pb.Phase_Ramping}
	require.False(t, check(second))
	require.False(t, breaker.Stopped(second))
}

// TestSlownessIsRelativeToOldVersion checks which times of the new version count as
// slow when the old version's times are known.
func TestSlownessIsRelativeToOldVersion(t *testing.T) {
	move := []*pb.Move{{Target: "notes", FromVersion: "v1", ToVersion: "v2", StartedAt: 10}}
	cases := []struct {
		name              string
		firstToken, token time.Duration
		slow              uint64
	}{
		{"Same", 120 * time.Millisecond, 20 * time.Millisecond, 0},
		{"SlowTokens", 120 * time.Millisecond, 40 * time.Millisecond, 10},
		{"SlowFirstToken", 500 * time.Millisecond, 20 * time.Millisecond, 10},
		// A few milliseconds are within the noise of measurements on a busy machine.
		{"TokenTimeWithinNoise", 120 * time.Millisecond, 24 * time.Millisecond, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			counter := bluebellmove.NewOutcomeCounter("vm", 1)
			counter.Evidence(move)
			for range 40 {
				addCall(counter, "v1", false, 100*time.Millisecond, 20*time.Millisecond)
			}
			for range 10 {
				addCall(counter, "v2", false, tc.firstToken, tc.token)
			}
			counts := bluebellmove.SumByRoute(counter.Evidence(move), "notes", "v2")["/v1/completions"]
			require.Equal(t, bluebellmove.Counts{Total: 10, Slow: tc.slow}, counts)
		})
	}
}

// TestDecideReportsLateMoveEarly checks that a move with too little time left is
// reported as late before its time is over.
func TestDecideReportsLateMoveEarly(t *testing.T) {
	planner := bluebellmove.NewPlanner(policy)
	move := &pb.Move{Target: "notes", ToVersion: "v2", Phase: pb.Phase_Canary, Share: 0.05, Step: 2, FinishBy: int64(3 * time.Second)}
	action := planner.Decide(bluebellmove.Input{Move: move, LoadedEndpoints: 4, UsableEndpoints: 4, New: bluebellmove.CountsByRoute{}, Old: bluebellmove.CountsByRoute{}})
	require.True(t, action.Late)

	// A move is late if no endpoint has loaded the version after half of its time.
	loading := &pb.Move{Target: "notes", ToVersion: "v3", Phase: pb.Phase_Loading, FinishBy: int64(time.Minute)}
	require.False(t, planner.Decide(bluebellmove.Input{Now: int64(20 * time.Second), Move: loading, UsableEndpoints: 4}).Late)
	require.True(t, planner.Decide(bluebellmove.Input{Now: int64(40 * time.Second), Move: loading, UsableEndpoints: 4}).Late)
}
