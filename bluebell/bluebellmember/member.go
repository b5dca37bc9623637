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
	// AliveFor is how long a process counts as alive after its last word: four
	// announcements.
	AliveFor = 2 * time.Second
	// deadAfter is how long a voter is silent before it is replaced. A restart takes
	// less, and so do most freezes.
	deadAfter = 4 * time.Second
	// forgetAfter is how long a silent learner stays a member.
	forgetAfter = 30 * time.Second
	// settleFor is how long a process is known before it is used.
	settleFor = time.Second
)

// Process is a core process that has made itself known.
type Process struct {
	// ID in the log, which differs between two disks of one VM.
	ID            string
	Address       string
	FailureDomain string
	// FirstHeard and LastHeard are on the leader's clock.
	FirstHeard, LastHeard time.Duration
}

// Input is what the leader knows.
type Input struct {
	// Self is the leader's ID.
	Self      string
	Members   *pb.Members
	Processes []Process
	// LeadingSince is when the leader began to hear announcements as a leader.
	LeadingSince time.Duration
	// Voters is the number of voters that is wanted.
	Voters int
	// CaughtUp tells whether a learner has all that is committed.
	CaughtUp func(id string) bool
	Now      time.Duration
}

// Decide returns the members that shall follow the present ones, or nil, and why.
func Decide(in Input) (*pb.Members, string) {
	if id := in.stranger(); id != "" {
		next := in.members()
		next.Learners = append(next.Learners, id)
		return next, "a process joins as a learner: " + id
	}
	if id := in.staleLearner(); id != "" {
		next := in.members()
		next.Learners = without(next.Learners, id)
		return next, "a silent learner leaves: " + id
	}
	spare := in.spare()
	if spare == "" {
		return nil, ""
	}
	if len(in.Members.Voters) < in.Voters {
		next := in.members()
		next.Voters, next.Learners = append(next.Voters, spare), without(next.Learners, spare)
		return next, "a learner becomes a voter: " + spare
	}
	if id := in.deadVoter(); id != "" && len(in.Members.Voters) > 1 {
		next := in.members()
		next.Voters = without(next.Voters, id)
		if !in.superseded(id) {
			next.Learners = append(next.Learners, id)
		}
		return next, "a silent voter makes room: " + id
	}
	return nil, ""
}

func (in Input) members() *pb.Members {
	return &pb.Members{Voters: slices.Clone(in.Members.Voters), Learners: slices.Clone(in.Members.Learners)}
}

func without(ids []string, id string) []string {
	return slices.DeleteFunc(ids, func(one string) bool { return one == id })
}

func (in Input) process(id string) *Process {
	for i := range in.Processes {
		if in.Processes[i].ID == id {
			return &in.Processes[i]
		}
	}
	return nil
}

func (in Input) alive(p *Process) bool { return p != nil && in.Now-p.LastHeard < AliveFor }

func (in Input) isMember(id string) bool {
	return slices.Contains(in.Members.Voters, id) || slices.Contains(in.Members.Learners, id)
}

// stranger returns a living process that is no member yet.
func (in Input) stranger() string {
	for i := range in.Processes {
		p := &in.Processes[i]
		if in.alive(p) && in.Now-p.FirstHeard >= settleFor && !in.isMember(p.ID) && !in.superseded(p.ID) {
			return p.ID
		}
	}
	return ""
}

// staleLearner returns a learner that another disk has replaced, or that has been
// silent for long.
func (in Input) staleLearner() string {
	for _, id := range in.Members.Learners {
		if in.superseded(id) || in.silentFor(id) > forgetAfter {
			return id
		}
	}
	return ""
}

// silentFor tells how long the leader has not heard of a process. What it did not
// hear before it led does not count.
func (in Input) silentFor(id string) time.Duration {
	heard := in.LeadingSince
	if p := in.process(id); p != nil {
		heard = max(heard, p.LastHeard)
	}
	return in.Now - heard
}

// superseded tells whether a younger identity lives at the same address: the disk
// of the older one is gone.
func (in Input) superseded(id string) bool {
	own := in.process(id)
	address := addressOf(id)
	for i := range in.Processes {
		p := &in.Processes[i]
		if p.ID == id || p.Address != address || !in.alive(p) {
			continue
		}
		if own == nil || p.LastHeard > own.LastHeard && p.FirstHeard > own.FirstHeard {
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

// deadVoter returns a voter to replace, the longest silent first.
func (in Input) deadVoter() string {
	var dead []string
	for _, id := range in.Members.Voters {
		if id != in.Self && (in.superseded(id) || in.silentFor(id) > deadAfter) {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return ""
	}
	return slices.MaxFunc(dead, func(a, b string) int { return cmp.Compare(in.silentFor(a), in.silentFor(b)) })
}

// spare returns a living learner that has caught up, from the failure domain with the fewest living
// voters.
func (in Input) spare() string {
	voters := map[string]int{}
	for _, id := range in.Members.Voters {
		if p := in.process(id); in.alive(p) {
			voters[p.FailureDomain]++
		}
	}
	best, bestVoters := "", 0
	for _, id := range in.Members.Learners {
		p := in.process(id)
		if !in.alive(p) || in.superseded(id) || !in.CaughtUp(id) {
			continue
		}
		if n := voters[p.FailureDomain]; best == "" || n < bestVoters {
			best, bestVoters = id, n
		}
	}
	return best
}
