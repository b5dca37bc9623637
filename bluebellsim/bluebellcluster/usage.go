package bluebellcluster

import (
	"fmt"
	"maps"
	"slices"
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
	"bluebellhaven.org/bluebell/bluebellusage"
)

const (
	// usageWindow is the length of a usage window.
	usageWindow = time.Second
	// usageInterval scales the random time between the attempts of members to decide and to report windows, which
	// is between half and twice this time.
	usageInterval = 150 * time.Millisecond
	// maxUsageCount bounds the counts of a window. Members see different ones.
	maxUsageCount = 1000
)

// usageClients simulates core processes that close usage windows, and holders of the duty that report them. Any
// member may act as the leader at any time, as one that was suspended does.
type usageClients struct {
	sim *Simulation
	// reported holds what the provider was sent, and agreed the decisions that members were answered, by window.
	reported, agreed map[int64]string
}

func newUsageClients(sim *Simulation) *usageClients {
	u := &usageClients{sim: sim, reported: map[int64]string{}, agreed: map[int64]string{}}
	sim.after(2*time.Second, u.decide)
	sim.after(2*time.Second, u.report)
	return u
}

// member returns a member that acts as the leader: mostly the one that holds the lease.
func (u *usageClients) member() *member {
	if leader := u.sim.currentLeader(); leader != nil && !u.sim.oneIn(3) {
		return leader
	}
	return u.sim.members[u.sim.rand.IntN(len(u.sim.members))]
}

// decide proposes the usage of the window after the last one that a member knows as decided.
func (u *usageClients) decide() {
	sim := u.sim
	sim.after(sim.between(usageInterval/2, 2*usageInterval), u.decide)
	m := u.member()
	now := time.Unix(0, sim.wallNanos())
	ended := bluebellusage.At(now, usageWindow) - 1
	if m.node == nil || m.paused {
		return
	}
	window := ended
	if last, decided := bluebellstate.LastUsageWindow(m.machine.CoreState()); decided {
		window = last + 1
	}
	if window > ended {
		return
	}
	usage := &pb.DecideUsage{Window: window, Customers: []string{customer}, Counts: []uint64{sim.rand.Uint64N(maxUsageCount)}}
	if sim.cfg.Mutation == ReportUndecided {
		u.send(usage)
	}
	command := &pb.Command{Body: &pb.Command_DecideUsage{DecideUsage: usage}}
	u.submit(command, func(r *pb.Result) {
		switch {
		case r.Verdict != pb.Verdict_Accepted:
		case r.Usage.GetWindow() != window:
			sim.fail("the decision of usage window %d is answered with window %d", window, r.Usage.GetWindow())
		default:
			u.recordDecision(r.Usage)
		}
	})
}

// submit submits a command as the clients do.
func (u *usageClients) submit(command *pb.Command, onResult func(*pb.Result)) {
	record := func() submission { return submission{onResult: onResult, onNoEffect: func() {}} }
	u.sim.clients.submit(command, 1, record, func(*pb.Result) {})
}

// recordDecision fails if another decision of the window is known.
func (u *usageClients) recordDecision(d *pb.DecideUsage) {
	text := fmt.Sprint(d.Customers, d.Counts)
	if before, known := u.agreed[d.Window]; known && before != text {
		u.sim.fail("usage window %d was decided as %s and as %s", d.Window, before, text)
	}
	u.agreed[d.Window] = text
}

// report sends the next decided window that a member knows to the provider. Some senders die before the report is
// recorded as sent.
func (u *usageClients) report() {
	sim := u.sim
	sim.after(sim.between(usageInterval/2, 2*usageInterval), u.report)
	m := u.member()
	if m.node == nil || m.paused {
		return
	}
	reporter := bluebellusage.Reporter{Window: usageWindow, Core: m.machine.CoreState}
	window, customers, counts, _, ok := reporter.Next(time.Unix(0, sim.wallNanos()))
	if !ok {
		return
	}
	u.send(&pb.DecideUsage{Window: window, Customers: customers, Counts: counts})
	if !sim.oneIn(4) {
		u.submit(&pb.Command{Body: &pb.Command_RecordUsageSent{RecordUsageSent: &pb.RecordUsageSent{Window: window}}}, func(*pb.Result) {})
	}
}

// send fails if the provider was sent other counts of the window.
func (u *usageClients) send(d *pb.DecideUsage) {
	text := fmt.Sprint(d.Customers, d.Counts)
	if before, sent := u.reported[d.Window]; sent && before != text {
		u.sim.fail("usage window %d was reported as %s and as %s", d.Window, before, text)
	}
	u.reported[d.Window] = text
	u.sim.report.UsageReports++
}

// check fails if a decision that a member was answered is not in the state that has the most decisions, unless it is
// older than all that are kept there, or was reported and then dropped.
func (u *usageClients) check() {
	var core *pb.CoreState
	latest := int64(-1)
	for _, m := range u.sim.members {
		if m.node == nil {
			continue
		}
		if last, decided := bluebellstate.LastUsageWindow(m.machine.CoreState()); decided && last > latest {
			latest, core = last, m.machine.CoreState()
		}
	}
	for _, window := range slices.Sorted(maps.Keys(u.agreed)) {
		text := u.agreed[window]
		u.sim.report.UsageDecisions++
		d := bluebellstate.UsageOf(core, window)
		switch {
		case d == nil && len(core.GetUsage()) == bluebellstate.MaxUsageWindows && (u.reported[window] != "" || window < core.Usage[0].Usage.Window):
		case d == nil && window > latest:
			// The members that applied it are down.
		case d == nil:
			u.sim.fail("usage window %d was decided as %s and is lost", window, text)
		case fmt.Sprint(d.Customers, d.Counts) != text:
			u.sim.fail("usage window %d was decided as %s and is kept as %v", window, text, d)
		}
	}
}
