package bluebellcluster

import "time"

// nextFault brings one fault about and plans the next.
func (w *Simulation) nextFault() {
	defer w.after(w.between(50*time.Millisecond, 1500*time.Millisecond), w.nextFault)
	m := w.members[w.rand.IntN(len(w.members))]
	switch w.rand.IntN(13) {
	case 0, 1, 2:
		w.crash(m)
	case 3, 4:
		w.partition(m, true, true)
	case 5:
		if w.oneIn(2) {
			w.partition(m, true, false)
		} else {
			w.partition(m, false, true)
		}
	case 6, 7:
		w.pause(m)
	case 8:
		m.disk.failSync = true
	case 9:
		w.loseDisk(m)
	case 10:
		w.isolateLeader()
	default:
		w.repairMembers()
	}
}

func (w *Simulation) crash(m *member) {
	if m.node == nil {
		return
	}
	w.report.Crashes++
	before := m.disk.bytes
	m.stop()
	if before > 0 {
		w.report.TornRestarts++
	}
	w.after(w.between(5*time.Millisecond, 2*time.Second), m.restart)
}

// partition cuts a member off, in one direction or both.
func (w *Simulation) partition(m *member, out, in bool) {
	w.report.Partitions++
	if out != in {
		w.report.OneWay++
	}
	for _, other := range w.members {
		if out {
			w.blocked[link{m.place, other.place}] = true
		}
		if in {
			w.blocked[link{other.place, m.place}] = true
		}
	}
	w.after(w.between(100*time.Millisecond, 4*time.Second), func() {
		for _, other := range w.members {
			delete(w.blocked, link{m.place, other.place})
			delete(w.blocked, link{other.place, m.place})
		}
	})
}

// isolateLeader cuts the leader off and restarts all others at once: they have
// forgotten that they promised the leader its lease.
func (w *Simulation) isolateLeader() {
	leader := w.currentLeader()
	if leader == nil {
		return
	}
	w.partition(leader, true, true)
	for _, m := range w.members {
		if m != leader && m.node != nil {
			w.report.Crashes++
			m.stop()
			w.after(w.between(time.Millisecond, 20*time.Millisecond), m.restart)
		}
	}
}

// pause stops a member as a paused VM is stopped: its clock goes on.
func (w *Simulation) pause(m *member) {
	if m.node == nil || m.paused {
		return
	}
	w.report.Pauses++
	m.paused = true
	life := m.life
	w.after(w.between(50*time.Millisecond, 3*time.Second), func() {
		if m.life == life && m.node != nil {
			m.resume()
		}
	})
}

// loseDisk takes a disk away or flips a bit of it, if the remaining voters are a
// quorum that has all that is committed: more losses than are tolerated may lose
// state, and prove nothing.
func (w *Simulation) loseDisk(m *member) {
	if m.node == nil || !w.lossTolerated(m) {
		return
	}
	if w.oneIn(2) {
		w.report.Flips++
		m.stop()
		if m.disk.flip() {
			m.start()
			return
		}
	}
	m.stop()
	m.replaceDisk()
}

// lossTolerated tells whether all other voters are there with their disks, and
// the latest change of members is over.
func (w *Simulation) lossTolerated(m *member) bool {
	leader := w.currentLeader()
	if leader == nil || leader == m {
		return false
	}
	members := leader.node.Members()
	if len(members.Voters) != w.cfg.Voters || len(members.Learners) != 0 {
		return false
	}
	for _, v := range members.Voters {
		if w.memberByID(v) == nil {
			return false
		}
	}
	return true
}
