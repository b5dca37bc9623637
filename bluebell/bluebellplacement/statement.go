package bluebellplacement

import (
	"slices"
	"time"

	"bluebellhaven.org/bluebell/bluebellfleet"
)

// Endpoints state in their answers what they want of the entry that gets the answer. A statement
// holds for the incarnation that made it, also while that is not registered for a time.

// statementRetention is how long a statement is kept while its incarnation is not registered: longer
// than an endpoint that leaves goes on running, and than a registration can be delayed. A statement of
// an endpoint that registers no start time ends after this time in any case, since the endpoint may
// have started again under its ID.
const statementRetention = 5 * time.Minute

// incarnation identifies one start of an endpoint.
type incarnation struct {
	endpoint        string
	startUnixMillis int64
}

func incarnationOf(e *bluebellfleet.Endpoint) incarnation {
	return incarnation{e.ID, e.StartUnixMillis}
}

// statement is what an incarnation has stated to this entry.
type statement struct {
	// leaving is set if the endpoint is about to stop. It takes no more calls.
	leaving bool
	// pause is protected by the lock of the target.
	pause pause
	// currentAt is when the statement was last known to concern a registered incarnation.
	currentAt time.Duration
}

// RecordLeaving records that a choice's endpoint has stated that it leaves. It reports whether that is
// new.
func (p *Placer) RecordLeaving(c Choice, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.makeStatement(&c.Endpoint, now)
	isNew := !s.leaving
	s.leaving = true
	return isNew
}

// RecordLeavingID is RecordLeaving for an endpoint to which another entry has sent a call of this one.
func (p *Placer) RecordLeavingID(endpoint string, now time.Duration) bool {
	p.mu.RLock()
	i := slices.IndexFunc(p.fleet.Endpoints, func(e bluebellfleet.Endpoint) bool { return e.ID == endpoint })
	var c Choice
	if i >= 0 {
		c.Endpoint = p.fleet.Endpoints[i]
	}
	p.mu.RUnlock()
	return i >= 0 && p.RecordLeaving(c, now)
}

// IsLeaving reports whether an endpoint has stated to this entry that it leaves.
func (p *Placer) IsLeaving(e bluebellfleet.Endpoint) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.isLeaving(&e)
}

// isLeaving is IsLeaving with p.mu held.
func (p *Placer) isLeaving(e *bluebellfleet.Endpoint) bool {
	s := p.statementOf(e)
	return s != nil && s.leaving
}

// statementOf returns the statement of an endpoint's incarnation, nil if there is none. p.mu must be
// held.
func (p *Placer) statementOf(e *bluebellfleet.Endpoint) *statement {
	if len(p.statements) == 0 {
		return nil
	}
	return p.statements[incarnationOf(e)]
}

// makeStatement returns the statement of an endpoint's incarnation, which it creates if there is none.
// p.mu must be held for writing.
func (p *Placer) makeStatement(e *bluebellfleet.Endpoint, now time.Duration) *statement {
	s := p.statementOf(e)
	if s == nil {
		s = &statement{currentAt: now}
		p.statements[incarnationOf(e)] = s
	}
	return s
}

// updateStatements removes the statements that have ended. p.mu must be held for writing.
func (p *Placer) updateStatements() {
	for i := range p.fleet.Endpoints {
		e := &p.fleet.Endpoints[i]
		if s := p.statementOf(e); s != nil && e.StartUnixMillis != 0 {
			s.currentAt = p.fleet.At
		}
	}
	for key, s := range p.statements {
		if p.fleet.At-s.currentAt > statementRetention {
			delete(p.statements, key)
		}
	}
}
