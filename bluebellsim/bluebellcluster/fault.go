package bluebellcluster

import "time"

// injectFault injects one random fault or advances the repair of the membership, and
// schedules the next fault.
func (sim *Simulation) injectFault() {
	defer sim.after(sim.between(50*time.Millisecond, 1500*time.Millisecond), sim.injectFault)
	m := sim.members[sim.rand.IntN(len(sim.members))]
	switch sim.rand.IntN(13) {
	case 0, 1, 2:
		sim.crash(m)
	case 3, 4:
		sim.partition(m, true, true)
	case 5:
		if sim.oneIn(2) {
			sim.partition(m, true, false)
		} else {
			sim.partition(m, false, true)
		}
	case 6, 7:
		sim.pause(m)
	case 8:
		m.disk.failNextSync = true
	case 9:
		sim.damageDisk(m)
	case 10:
		sim.isolateLeader()
	default:
		sim.repairMembership()
	}
}

// crash stops a member and schedules its restart.
func (sim *Simulation) crash(m *member) {
	if m.node == nil {
		return
	}
	sim.report.Crashes++
	before := m.disk.bytesWritten
	m.stop()
	if before > 0 {
		sim.report.TornRestarts++
	}
	sim.after(sim.between(5*time.Millisecond, 2*time.Second), m.restart)
}

// partition blocks the outgoing messages, the incoming messages or both of a member for
// a random time.
func (sim *Simulation) partition(m *member, out, in bool) {
	sim.report.Partitions++
	if out != in {
		sim.report.OneWay++
	}
	for _, other := range sim.members {
		if out {
			sim.blockedLinks[link{m.vmIndex, other.vmIndex}] = true
		}
		if in {
			sim.blockedLinks[link{other.vmIndex, m.vmIndex}] = true
		}
	}
	sim.after(sim.between(100*time.Millisecond, 4*time.Second), func() {
		for _, other := range sim.members {
			delete(sim.blockedLinks, link{m.vmIndex, other.vmIndex})
			delete(sim.blockedLinks, link{other.vmIndex, m.vmIndex})
		}
	})
}

// isolateLeader partitions the leader and restarts all other members at once. The
// restarted members have lost their promise not to vote during the leader's lease.
func (sim *Simulation) isolateLeader() {
	leader := sim.currentLeader()
	if leader == nil {
		return
	}
	sim.partition(leader, true, true)
	for _, m := range sim.members {
		if m != leader && m.node != nil {
			sim.report.Crashes++
			m.stop()
			sim.after(sim.between(time.Millisecond, 20*time.Millisecond), m.restart)
		}
	}
}

// pause pauses a member as a paused VM is paused: its clock continues.
func (sim *Simulation) pause(m *member) {
	if m.node == nil || m.paused {
		return
	}
	sim.report.Pauses++
	m.paused = true
	startCount := m.startCount
	sim.after(sim.between(50*time.Millisecond, 3*time.Second), func() {
		if m.startCount == startCount && m.node != nil {
			m.resume()
		}
	})
}

// damageDisk replaces a disk or flips a bit of it, if the remaining voters are a quorum
// that has all committed entries. More losses than the cluster tolerates may lose state
// without a fault in the code.
func (sim *Simulation) damageDisk(m *member) {
	if m.node == nil || !sim.diskLossTolerated(m) {
		return
	}
	if sim.oneIn(2) {
		sim.report.Flips++
		m.stop()
		if m.disk.flipBit() {
			m.start()
			return
		}
	}
	m.stop()
	m.replaceDisk()
}

// diskLossTolerated reports whether m may lose its disk: another member leads, there are
// as many voters as configured and no learners, and every voter has its disk.
func (sim *Simulation) diskLossTolerated(m *member) bool {
	leader := sim.currentLeader()
	if leader == nil || leader == m {
		return false
	}
	members := leader.node.Members()
	if len(members.Voters) != sim.cfg.Voters || len(members.Learners) != 0 {
		return false
	}
	for _, v := range members.Voters {
		if sim.memberByID(v) == nil {
			return false
		}
	}
	return true
}
