// Package bluebellmember decides which core processes are members of the log and
// which of them vote. The leader asks it now and then and proposes what it says;
// each change alters one voter at most, which the consensus core demands.
//
// A voter is replaced only while a learner that has caught up waits to take its place,
// and the old one goes first: with three voters of which one has lost its disk, the other two
// are the quorum before and after, and a second loss of the learner's disk costs
// nothing. Being replaced by mistake, after a freeze or a cut, costs a voter
// nothing either: it keeps its identity and becomes a learner again.
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
	// AliveTimeout is how long a process counts as alive after its last word: four
	// announcements.
	AliveTimeout = 2 * time.Second
	// voterTimeout is how long a voter is silent before it is replaced. A restart takes
	// less, and so do most freezes.
	voterTimeout = 4 * time.Second
	// learnerTimeout is how long a silent learner stays a member.
	learnerTimeout = 30 * time.Second
	// joinDelay is how long a process is known before it is used.
	joinDelay = time.Second
)

// Process is a core process that has made itself known.
type Process struct {
	// ID in the log, which differs between two disks of one VM.
	ID            string
	Address       string
	FailureDomain string
	// FirstSeen and LastSeen are on the leader's clock.
	FirstSeen, LastSeen time.Duration
}

// Input is what the leader knows.
type Input struct {
	// Self is the leader's ID.
	Self      string
	Members   *pb.Members
	Processes []Process
	// LeaderSince is when the leader began to hear announcements as a leader.
	LeaderSince time.Duration
	// Voters is the number of voters that is wanted.
	VoterCount int
	// CaughtUp tells whether a learner has all that is committed.
	CaughtUp func(id string) bool
	Now      time.Duration
}

// Decide returns the members that shall follow the present ones, or nil, and why.
func Decide(in Input) (*pb.Members, string) {
	if id := in.joiningProcess(); id != "" {
		next := in.cloneMembers()
		next.Learners = append(next.Learners, id)
		return next, "a process joins as a learner: " + id
	}
	if id := in.expiredLearner(); id != "" {
		next := in.cloneMembers()
		next.Learners = without(next.Learners, id)
		return next, "a silent learner leaves: " + id
	}
	candidate := in.promotableLearner()
	if candidate == "" {
		return nil, ""
	}
	if len(in.Members.Voters) < in.VoterCount {
		next := in.cloneMembers()
		next.Voters, next.Learners = append(next.Voters, candidate), without(next.Learners, candidate)
		return next, "a learner becomes a voter: " + candidate
	}
	if id := in.failedVoter(); id != "" && len(in.Members.Voters) > 1 {
		next := in.cloneMembers()
		next.Voters = without(next.Voters, id)
		if !in.isSuperseded(id) {
			next.Learners = append(next.Learners, id)
		}
		return next, "a silent voter makes room: " + id
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

// stranger returns a living process that is no member yet.
func (in Input) joiningProcess() string {
	for i := range in.Processes {
		p := &in.Processes[i]
		if in.isAlive(p) && in.Now-p.FirstSeen >= joinDelay && !in.isMember(p.ID) && !in.isSuperseded(p.ID) {
			return p.ID
		}
	}
	return ""
}

// expiredLearner returns a learner that another disk has replaced, or that has been
// silent for long.
func (in Input) expiredLearner() string {
	for _, id := range in.Members.Learners {
		if in.isSuperseded(id) || in.silence(id) > learnerTimeout {
			return id
		}
	}
	return ""
}

// silentFor tells how long the leader has not lastSeen of a process. What it did not
// hear before it led does not count.
func (in Input) silence(id string) time.Duration {
	lastSeen := in.LeaderSince
	if p := in.process(id); p != nil {
		lastSeen = max(lastSeen, p.LastSeen)
	}
	return in.Now - lastSeen
}

// superseded tells whether a younger identity lives at the same address: the disk
// of the older one is gone.
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

// addressOf returns the address part of an identity.
func addressOf(id string) string {
	if i := slices.Index([]byte(id), '/'); i >= 0 {
		return id[:i]
	}
	return id
}

// failedVoter returns a voter to replace, the longest silent first.
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

// candidate returns a living learner that has caught up, from the failure domain with the fewest living
// voters.
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
