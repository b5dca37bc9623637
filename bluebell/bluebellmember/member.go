// Package bluebellmember decides which core processes are members of the replicated log
// and which of the members vote. The leader calls Decide periodically and proposes the
// returned membership. Each change adds or removes at most one voter, as the consensus
// protocol requires.
//
// A failed voter is replaced only while a learner that has caught up can become a voter,
// and the failed voter is removed first. With three voters of which one has lost its disk,
// the other two form the quorum before and after the removal, so losing the learner's disk
// as well does not affect the quorum. A voter that was replaced by mistake, after a freeze
// or a network partition, keeps its identity and becomes a learner again.
//
// # Usage
//
//	next, reason := bluebellmember.Decide(bluebellmember.Input{...})
//	if next != nil {
//		voter.ChangeMembers(ctx, next)
//	}
package bluebellmember

import (
	"cmp"
	"slices"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// AliveTimeout is how long a process counts as alive after its last announcement:
	// four announcement intervals.
	AliveTimeout = 2 * time.Second
	// voterTimeout is how long a voter may send no announcement before it is replaced. A
	// restart and most freezes are shorter.
	voterTimeout = 4 * time.Second
	// learnerTimeout is how long a learner that sends no announcements stays a member.
	learnerTimeout = 30 * time.Second
	// joinDelay is the time between a process's first announcement and its joining as a
	// learner.
	joinDelay = time.Second
)

// Process is a core process that has announced itself to the leader.
type Process struct {
	// ID is the identity in the log. A VM with a new disk has a new ID.
	ID            string
	Address       string
	FailureDomain string
	// FirstSeen and LastSeen are the times of the first and the latest announcement, on
	// the leader's clock.
	FirstSeen, LastSeen time.Duration
}

// Input is the state of the leader from which Decide derives a change of members.
type Input struct {
	// Self is the leader's ID.
	Self      string
	Members   *pb.Members
	Processes []Process
	// LeaderSince is when the leader began to lead. Earlier silence of a process does not
	// count.
	LeaderSince time.Duration
	// VoterCount is the required number of voters.
	VoterCount int
	// CaughtUp reports whether a learner has all committed entries.
	CaughtUp func(id string) bool
	Now      time.Duration
}

// Decide returns the next membership and the reason for the change, or nil if the present
// members stay.
func Decide(in Input) (*pb.Members, string) {
	if id := in.joiningProcess(); id != "" {
		next := in.cloneMembers()
		next.Learners = append(next.Learners, id)
		return next, "add process as learner: " + id
	}
	if id := in.expiredLearner(); id != "" {
		next := in.cloneMembers()
		next.Learners = without(next.Learners, id)
		return next, "remove unresponsive learner: " + id
	}
	candidate := in.promotableLearner()
	if candidate == "" {
		return nil, ""
	}
	if len(in.Members.Voters) < in.VoterCount {
		next := in.cloneMembers()
		next.Voters, next.Learners = append(next.Voters, candidate), without(next.Learners, candidate)
		return next, "promote learner to voter: " + candidate
	}
	if id := in.failedVoter(); id != "" && len(in.Members.Voters) > 1 {
		next := in.cloneMembers()
		next.Voters = without(next.Voters, id)
		if !in.isSuperseded(id) {
			next.Learners = append(next.Learners, id)
		}
		return next, "remove unresponsive voter: " + id
	}
	return nil, ""
}

func (in Input) cloneMembers() *pb.Members {
	return &pb.Members{Voters: slices.Clone(in.Members.Voters), Learners: slices.Clone(in.Members.Learners)}
}

func without(ids []string, id string) []string {
	return slices.DeleteFunc(ids, func(other string) bool { return other == id })
}

func (in Input) process(id string) *Process {
	for i := range in.Processes {
		if in.Processes[i].ID == id {
			return &in.Processes[i]
		}
	}
	return nil
}

func (in Input) isAlive(p *Process) bool { return p != nil && in.Now-p.LastSeen < AliveTimeout }

func (in Input) isMember(id string) bool {
	return slices.Contains(in.Members.Voters, id) || slices.Contains(in.Members.Learners, id)
}

// joiningProcess returns the ID of an alive process that is not a member yet, or "".
func (in Input) joiningProcess() string {
	for i := range in.Processes {
		p := &in.Processes[i]
		if in.isAlive(p) && in.Now-p.FirstSeen >= joinDelay && !in.isMember(p.ID) && !in.isSuperseded(p.ID) {
			return p.ID
		}
	}
	return ""
}

// expiredLearner returns the ID of a learner that a process with a new disk has superseded
// or that has exceeded learnerTimeout, or "".
func (in Input) expiredLearner() string {
	for _, id := range in.Members.Learners {
		if in.isSuperseded(id) || in.silence(id) > learnerTimeout {
			return id
		}
	}
	return ""
}

// silence returns the time since a process's last announcement, without the time before this
// leader began to lead.
func (in Input) silence(id string) time.Duration {
	lastSeen := in.LeaderSince
	if p := in.process(id); p != nil {
		lastSeen = max(lastSeen, p.LastSeen)
	}
	return in.Now - lastSeen
}

// isSuperseded reports whether an alive process with a newer identity has the same address:
// the disk of the older identity is lost.
func (in Input) isSuperseded(id string) bool {
	self := in.process(id)
	address := addressOf(id)
	for i := range in.Processes {
		p := &in.Processes[i]
		if p.ID == id || p.Address != address || !in.isAlive(p) {
			continue
		}
		if self == nil || p.LastSeen > self.LastSeen && p.FirstSeen > self.FirstSeen {
			return true
		}
	}
	return false
}

// addressOf returns the address part of an identity, which precedes the slash.
func addressOf(id string) string {
	if i := slices.Index([]byte(id), '/'); i >= 0 {
		return id[:i]
	}
	return id
}

// failedVoter returns the ID of the voter to replace, or "". Of several, it returns the one
// with the oldest last announcement.
func (in Input) failedVoter() string {
	var failed []string
	for _, id := range in.Members.Voters {
		if id != in.Self && (in.isSuperseded(id) || in.silence(id) > voterTimeout) {
			failed = append(failed, id)
		}
	}
	if len(failed) == 0 {
		return ""
	}
	return slices.MaxFunc(failed, func(a, b string) int { return cmp.Compare(in.silence(a), in.silence(b)) })
}

// promotableLearner returns the ID of an alive learner that has caught up, or "". It prefers
// the failure domain with the fewest alive voters.
func (in Input) promotableLearner() string {
	voters := map[string]int{}
	for _, id := range in.Members.Voters {
		if p := in.process(id); in.isAlive(p) {
			voters[p.FailureDomain]++
		}
	}
	best, bestVoters := "", 0
	for _, id := range in.Members.Learners {
		p := in.process(id)
		if !in.isAlive(p) || in.isSuperseded(id) || !in.CaughtUp(id) {
			continue
		}
		if n := voters[p.FailureDomain]; best == "" || n < bestVoters {
			best, bestVoters = id, n
		}
	}
	return best
}
