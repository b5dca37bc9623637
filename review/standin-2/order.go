package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// zoneCutFor is the usual length of a cut, which the users' sites exceed by half a second.
	zoneCutFor = 5 * time.Second
	replicas   = 3
)

// playOrder names new weights. While the leader's first order to a replica in another zone is on its way, the zone of
// the leader is cut off from the others.
func playOrder(p *platform, trouble bool) (broken bool, err error) {
	n := &network{platform: p}
	var once sync.Once
	n.onSend = func(from, to string, data []byte) {
		if !trouble || from == "" || from == to || !bytes.HasPrefix(data, []byte("POST /order")) {
			return
		}
		once.Do(func() {
			n.cut(from, zoneCutFor)
			p.record.note("network: an order from zone %s to zone %s is on its way; zone %s is cut off from the others for %v", from, to, from, zoneCutFor)
		})
	}
	for i := 1; i <= 3; i++ {
		m, err := p.add(fmt.Sprintf("core-z%d-1", i), "core", fmt.Sprintf("z%d", i), p.address(1, i))
		if err != nil {
			return false, err
		}
		listen := fmt.Sprintf("%s:%d", p.address(5, i), peerPort)
		m.extra = map[string]any{"PeerListen": listen}
		if err := n.link(fmt.Sprintf("%s:%d", m.ip, peerPort), listen, m.zone, false); err != nil {
			return false, err
		}
	}
	if err := p.startAll(); err != nil {
		return false, err
	}
	done := make(chan struct{})
	defer close(done)
	var all []*replica
	for i := 1; i <= replicas; i++ {
		zone := fmt.Sprintf("z%d", i)
		address, listen := fmt.Sprintf("%s:9000", p.address(3, i)), fmt.Sprintf("%s:9000", p.address(4, i))
		r, err := newReplica(p, n, fmt.Sprintf("i-%d", i), zone, listen, address)
		if err != nil {
			return false, err
		}
		if err := n.link(address, listen, zone, true); err != nil {
			return false, err
		}
		all = append(all, r)
		go r.keepRegistered(done)
	}
	o := newOperator(p)
	if status, _ := o.call(http.MethodPut, "/config", configuration(1), 15*time.Second); status != http.StatusOK {
		return false, errors.New("the first configuration was not acknowledged")
	}
	time.Sleep(8 * time.Second)
	if status, _ := o.call(http.MethodPost, "/version-put", []byte(`{"model":"m0","version":2}`), ackBound); status != http.StatusOK {
		return false, errors.New("the new weights were not acknowledged")
	}
	time.Sleep(25 * time.Second)
	zone, _, healAt := n.state()
	if trouble && zone == "" {
		return false, errors.New("no order was sent to another zone")
	}
	for _, r := range all {
		if checkOrders(p, r, healAt) {
			broken = true
		}
	}
	return broken, nil
}

// checkOrders reports whether the orders that reached a replica break the rule.
func checkOrders(p *platform, r *replica, healAt time.Time) (broken bool) {
	var counted []orderSeen
	for _, o := range r.seen() {
		if after := o.at.Sub(healAt); !healAt.IsZero() && after >= 0 && after <= thaw {
			p.record.note("check: an order of %s to %s %v after the link healed does not count", o.holder, r.id, after.Round(time.Millisecond))
			continue
		}
		counted = append(counted, o)
	}
	for i, o := range counted {
		for _, before := range counted[:i] {
			gap := o.at.Sub(before.at).Round(time.Millisecond)
			switch {
			case o.holder == before.holder:
			case o.fence == before.fence:
				p.record.note("check: ONE is broken: %s and %s ordered %s with one fence number, %d", before.holder, o.holder, r.id, o.fence)
				broken = true
			case o.fence < before.fence:
				p.record.note("check: ONE is broken: %s got fence number %d of %s, %v after number %d of %s, %v after the link healed",
					r.id, o.fence, o.holder, gap, before.fence, before.holder, o.at.Sub(healAt).Round(time.Millisecond))
				broken = true
			case gap < orderLease:
				p.record.note("check: ONE is broken: %s and %s ordered %s within %v", before.holder, o.holder, r.id, gap)
				broken = true
			}
		}
	}
	return broken
}
