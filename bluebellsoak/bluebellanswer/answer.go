// Package bluebellanswer checks that calls are answered. A caller that has sent a whole call gets a
// complete answer, an endpoint's or a refusal of the gate. The check works on recorded times: those
// of the calls, as callers observed them, and those of the disturbances that excuse a missing answer.
//
// # Excuses
//
// A connection may end without a complete answer
//
//   - while its gate, the process that took the call, was killed, paused or crashed,
//   - after an answer has begun, if an endpoint that ran the call broke off or was unreachable,
//   - once the time limit of the call has passed,
//   - if the gate closed it while the call was on its way and no endpoint ran the call, which
//     happens on reused connections and on those that were open when the gate stopped or was interrupted,
//   - in the last sixth of the time of a planned stop, if the call was sent soon after its beginning.
//
// # Usage
//
//	findings := bluebellanswer.Config{StopTimeout: 8 * time.Second}.Unanswered(calls, disturbances)
package bluebellanswer

import (
	"fmt"
	"slices"
	"time"
)

const (
	// crossingTime bounds the time from the last byte of a call until its caller observes that the
	// gate had closed the connection before it read the call.
	crossingTime = 200 * time.Millisecond
	// lateSendTime is how long after the beginning of a planned stop a call may be sent that the end
	// of the stop may break off.
	lateSendTime = 3 * time.Second
	// limitTolerance is how much sooner than the caller a gate may see the time limit expire.
	limitTolerance = 20 * time.Millisecond
	// overdueTime is how long after its time limit a call may get its answer.
	overdueTime = 500 * time.Millisecond
	// minOverdue and maxOverdueShare bound the calls that may be overdue: fewer than minOverdue, or no
	// larger a share of the calls that reach their time limit.
	minOverdue      = 8
	maxOverdueShare = 0.25
)

// Call is one call as its caller observed it.
type Call struct {
	ID, Gate string
	// Endpoints lists the endpoints that ran the call.
	Endpoints []string
	// Opened is when the caller began to open the connection. Began is when the caller began to
	// send, Sent when it had sent the last byte (zero if it could not), and Ended when the answer was
	// complete, the connection ended or the caller gave up.
	Opened, Began, Sent, Ended time.Time
	// Limit is the time limit of the call, from Began.
	Limit time.Duration
	// Reused is set if the connection has carried a call before.
	Reused bool
	// Begun is set if the head of an answer was received, Complete if the whole answer was.
	Begun, Complete bool
	// GaveUp is set if the caller ended the connection because it would not wait longer.
	GaveUp bool
}

// Effect is what a disturbance does.
type Effect int

const (
	// GateInterrupted means that a gate is killed, paused or has crashed.
	GateInterrupted Effect = iota
	// GateStopping means a planned stop of a gate, from its first signal to its exit.
	GateStopping
	// EndpointInterrupted means that an endpoint breaks off answers or is unreachable.
	EndpointInterrupted
)

// Disturbance is a time in which something acted on a gate or an endpoint.
type Disturbance struct {
	Effect Effect
	// Subject is the name of the gate or endpoint.
	Subject  string
	From, To time.Time
}

// overlaps reports whether the disturbance acted between two times.
func (d Disturbance) overlaps(from, to time.Time) bool {
	return !d.From.After(to) && !d.To.Before(from)
}

// Config configures the checks.
type Config struct {
	// StopTimeout is the time that a planned stop of a gate may take.
	StopTimeout time.Duration
}

// Unanswered returns a finding for each call that ended without a complete answer and without an
// excuse.
func (cfg Config) Unanswered(calls []Call, disturbances []Disturbance) []string {
	var findings []string
	for _, c := range calls {
		if c.Complete || c.GaveUp || c.Sent.IsZero() || cfg.excused(c, disturbances) {
			continue
		}
		findings = append(findings, fmt.Sprintf("call %s at %s (began %s): the connection ended without a complete answer after %v, %v after the call was sent; "+
			"connection reused %v, answer begun %v, run by %v",
			c.ID, c.Gate, c.Began.Format("15:04:05.000"), c.Ended.Sub(c.Began).Round(time.Millisecond), c.Ended.Sub(c.Sent).Round(time.Millisecond), c.Reused, c.Begun, c.Endpoints))
	}
	return findings
}

// excused reports whether the connection of a call may have ended without a complete answer.
func (cfg Config) excused(c Call, disturbances []Disturbance) bool {
	if c.Ended.Sub(c.Began) >= c.Limit-limitTolerance {
		return true
	}
	crossed := !c.Begun && len(c.Endpoints) == 0 && c.Ended.Sub(c.Sent) <= crossingTime
	if crossed && c.Reused {
		return true
	}
	return slices.ContainsFunc(disturbances, func(d Disturbance) bool {
		switch {
		case crossed && d.Subject == c.Gate && d.overlaps(c.Opened, c.Ended):
			return true
		case !d.overlaps(c.Began, c.Ended):
			return false
		case d.Effect == EndpointInterrupted:
			return c.Begun && slices.Contains(c.Endpoints, d.Subject)
		case d.Subject != c.Gate:
			return false
		case d.Effect == GateStopping:
			return cfg.brokenOffByStop(c, d)
		}
		return d.Effect == GateInterrupted
	})
}

// brokenOffByStop reports whether the end of a planned stop may have broken the call off.
func (cfg Config) brokenOffByStop(c Call, stop Disturbance) bool {
	return len(c.Endpoints) > 0 && !c.Sent.After(stop.From.Add(lateSendTime)) && !c.Ended.Before(stop.From.Add(cfg.StopTimeout*5/6))
}

// Overdue returns a finding if too many of the calls that reached their time limit had no answer
// overdueTime later. Calls at a gate that was interrupted meanwhile do not count.
func (cfg Config) Overdue(calls []Call, disturbances []Disturbance) []string {
	overdue, limited := 0, 0
	var ids []string
	for _, c := range calls {
		interrupted := slices.ContainsFunc(disturbances, func(d Disturbance) bool {
			return d.Effect == GateInterrupted && d.Subject == c.Gate && d.overlaps(c.Began, c.Ended)
		})
		if interrupted || c.Sent.IsZero() || c.Ended.Sub(c.Began) < c.Limit-limitTolerance {
			continue
		}
		limited++
		if c.GaveUp || c.Ended.Sub(c.Began) > c.Limit+overdueTime {
			overdue++
			ids = append(ids, c.ID)
		}
	}
	if overdue < minOverdue || float64(overdue) <= maxOverdueShare*float64(limited) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d calls that reached their time limit had no answer %v later: %v", overdue, limited, overdueTime, ids[:minOverdue])}
}
