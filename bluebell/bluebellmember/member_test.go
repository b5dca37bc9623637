package bluebellmember_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellmember"
	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const now = time.Minute

func process(id, address, domain string, silence time.Duration) bluebellmember.Process {
	return bluebellmember.Process{ID: id, Address: address, FailureDomain: domain, LastSeen: now - silence}
}

func input(processes ...bluebellmember.Process) bluebellmember.Input {
	return bluebellmember.Input{
		Self: "a:1", Members: &pb.Members{Voters: []string{"a:1", "b:1", "c:1"}},
		Processes:  append([]bluebellmember.Process{process("a:1", "a:1", "a", 0), process("b:1", "b:1", "b", 0)}, processes...),
		VoterCount: 3, Now: now, CaughtUp: func(string) bool { return true },
	}
}

func TestMembersUnchangedWithoutReplacement(t *testing.T) {
	next, _ := bluebellmember.Decide(input(process("c:1", "c:1", "c", 0)))
	require.Nil(t, next)
	next, _ = bluebellmember.Decide(input(process("c:1", "c:1", "c", 20*time.Second)))
	require.Nil(t, next, "an unresponsive voter stays while no learner can replace it")
}

// A VM restarts with an empty disk: its new identity is added as a learner, the old one is
// removed, and the new one becomes a voter. Each step changes at most one voter.
func TestVoterWithLostDiskIsReplaced(t *testing.T) {
	wiped := process("c:1/x", "c:1", "c", 0)
	wiped.FirstSeen = now - 2*time.Second
	in := input(process("c:1", "c:1", "c", 5*time.Second), wiped)
	var steps []*pb.Members
	for range 5 {
		next, _ := bluebellmember.Decide(in)
		if next == nil {
			break
		}
		changed := 0
		for _, v := range next.Voters {
			if !contains(in.Members.Voters, v) {
				changed++
			}
		}
		changed += len(in.Members.Voters) - (len(next.Voters) - changed)
		require.LessOrEqual(t, changed, 1)
		in.Members = next
		steps = append(steps, next)
	}
	require.Len(t, steps, 3)
	require.Equal(t, []string{"c:1/x"}, steps[0].Learners)
	require.Equal(t, []string{"a:1", "b:1"}, steps[1].Voters)
	require.Equal(t, []string{"a:1", "b:1", "c:1/x"}, steps[2].Voters)
	require.Empty(t, steps[2].Learners)
}

func contains(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// The VM loses its disk a second time while the first new identity is still a learner.
func TestDiskLostAgainDuringCatchUp(t *testing.T) {
	first, second := process("c:1/x", "c:1", "c", 3*time.Second), process("c:1/y", "c:1", "c", 0)
	first.FirstSeen, second.FirstSeen = now-10*time.Second, now-2*time.Second
	in := input(process("c:1", "c:1", "c", 12*time.Second), first, second)
	in.Members.Learners = []string{"c:1/x"}
	for range 6 {
		next, _ := bluebellmember.Decide(in)
		if next == nil {
			break
		}
		in.Members = next
	}
	require.Equal(t, []string{"a:1", "b:1", "c:1/y"}, in.Members.Voters)
	require.Empty(t, in.Members.Learners)
}

func TestUnreachableVoterBecomesLearner(t *testing.T) {
	in := input(process("c:1", "c:1", "c", 5*time.Second), process("d:1/x", "d:1", "c", 0))
	in.Members.Learners = []string{"d:1/x"}
	next, _ := bluebellmember.Decide(in)
	require.Equal(t, []string{"a:1", "b:1"}, next.Voters)
	require.Contains(t, next.Learners, "c:1", "the removed voter keeps its identity as a learner")
}

func TestSilenceBeforeLeadershipIsIgnored(t *testing.T) {
	in := input(process("d:1/x", "d:1", "c", 0))
	in.Members.Learners = []string{"d:1/x"}
	in.LeaderSince = now - time.Second
	next, _ := bluebellmember.Decide(in)
	require.Nil(t, next, "c:1 has not been silent for long under this leader")
}

func TestAdditionalVoterComesFromAnotherFailureDomain(t *testing.T) {
	in := input(process("c:1", "c:1", "c", 0), process("a2:1/x", "a2:1", "a", 0), process("d:1/x", "d:1", "d", 0))
	in.VoterCount = 5
	in.Members.Learners = []string{"a2:1/x", "d:1/x"}
	next, _ := bluebellmember.Decide(in)
	require.Equal(t, []string{"a:1", "b:1", "c:1", "d:1/x"}, next.Voters)
}

// Between the removal of a voter and the promotion of a learner there is one voter fewer, so
// no voter is removed for a learner that cannot be promoted at once.
func TestVoterIsReplacedOnlyAfterLearnerCatchesUp(t *testing.T) {
	caughtUp := false
	wiped := process("c:1/x", "c:1", "c", 0)
	wiped.FirstSeen = now - 2*time.Second
	in := input(process("c:1", "c:1", "c", 5*time.Second), wiped)
	in.Members.Learners = []string{"c:1/x"}
	in.CaughtUp = func(string) bool { return caughtUp }
	next, _ := bluebellmember.Decide(in)
	require.Nil(t, next)
	caughtUp = true
	next, _ = bluebellmember.Decide(in)
	require.Equal(t, []string{"a:1", "b:1"}, next.Voters)
}

func TestSilentLearnerIsRemoved(t *testing.T) {
	in := input(process("c:1", "c:1", "c", 0), process("d:1/x", "d:1", "d", 40*time.Second))
	in.Members.Learners = []string{"d:1/x"}
	next, _ := bluebellmember.Decide(in)
	require.Empty(t, next.Learners)
}

func TestNewProcessJoinsOnlyAfterDelay(t *testing.T) {
	recent := process("d:1/x", "d:1", "d", 0)
	recent.FirstSeen = now - 100*time.Millisecond
	next, _ := bluebellmember.Decide(input(process("c:1", "c:1", "c", 0), recent))
	require.Nil(t, next)
}
