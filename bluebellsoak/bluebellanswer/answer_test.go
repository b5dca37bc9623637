package bluebellanswer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellsoak/bluebellanswer"
)

var (
	config = bluebellanswer.Config{StopTimeout: 6 * time.Second}
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// at returns the time of s seconds after start.
func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// cutCall returns a call whose connection ended one second after it was sent, in the middle of the
// answer of endpoint e-1.
func cutCall() bluebellanswer.Call {
	return bluebellanswer.Call{
		ID: "c", Gate: "gate-1", Endpoints: []string{"e-1"}, Opened: at(9.5), Began: at(10), Sent: at(10.1), Ended: at(11.1), Limit: 2 * time.Second, Reused: true, Begun: true,
	}
}

func TestMissingAnswerIsFoundUnlessExcused(t *testing.T) {
	gate := func(effect bluebellanswer.Effect, from, to float64) bluebellanswer.Disturbance {
		return bluebellanswer.Disturbance{Effect: effect, Subject: "gate-1", From: at(from), To: at(to)}
	}
	endpoint := func(name string, from, to float64) bluebellanswer.Disturbance {
		return bluebellanswer.Disturbance{Effect: bluebellanswer.EndpointInterrupted, Subject: name, From: at(from), To: at(to)}
	}
	for _, test := range []struct {
		name         string
		change       func(c *bluebellanswer.Call)
		disturbances []bluebellanswer.Disturbance
		found        bool
	}{
		{"nothing happened", nil, nil, true},
		{"answered", func(c *bluebellanswer.Call) { c.Complete = true }, nil, false},
		{"not sent", func(c *bluebellanswer.Call) { c.Sent = time.Time{} }, nil, false},
		{"caller gave up", func(c *bluebellanswer.Call) { c.GaveUp = true }, nil, false},
		{"time limit reached", func(c *bluebellanswer.Call) { c.Ended = at(12) }, nil, false},
		{"shortly before the time limit", func(c *bluebellanswer.Call) { c.Ended = at(11.9) }, nil, true},

		{"gate interrupted", nil, []bluebellanswer.Disturbance{gate(bluebellanswer.GateInterrupted, 11, 15)}, false},
		{"gate interrupted before", nil, []bluebellanswer.Disturbance{gate(bluebellanswer.GateInterrupted, 5, 9.9)}, true},
		{"gate interrupted after", nil, []bluebellanswer.Disturbance{gate(bluebellanswer.GateInterrupted, 11.2, 15)}, true},
		{"another gate interrupted", nil, []bluebellanswer.Disturbance{{Effect: bluebellanswer.GateInterrupted, Subject: "gate-2", From: at(0), To: at(20)}}, true},

		{"endpoint interrupted", nil, []bluebellanswer.Disturbance{endpoint("e-1", 11, 11.05)}, false},
		{"another endpoint interrupted", nil, []bluebellanswer.Disturbance{endpoint("e-2", 0, 20)}, true},
		{"endpoint interrupted before an answer", func(c *bluebellanswer.Call) { c.Begun = false }, []bluebellanswer.Disturbance{endpoint("e-1", 11, 11.05)}, true},

		{"stop has time left", nil, []bluebellanswer.Disturbance{gate(bluebellanswer.GateStopping, 8, 14)}, true},
		{"stop ends", nil, []bluebellanswer.Disturbance{gate(bluebellanswer.GateStopping, 6.1, 12.1)}, true},
		{"stop ends, sent in time", func(c *bluebellanswer.Call) {
			c.Began, c.Sent, c.Limit = at(9), at(9), 10*time.Second
		}, []bluebellanswer.Disturbance{gate(bluebellanswer.GateStopping, 6.1, 12.1)}, false},
		{"stop ends, not run", func(c *bluebellanswer.Call) {
			c.Began, c.Sent, c.Limit, c.Endpoints = at(9), at(9), 10*time.Second, nil
		}, []bluebellanswer.Disturbance{gate(bluebellanswer.GateStopping, 6.1, 12.1)}, true},

		{"crossed the close", func(c *bluebellanswer.Call) {
			c.Begun, c.Endpoints, c.Ended = false, nil, at(10.2)
		}, nil, false},
		{"crossed the close, but run", func(c *bluebellanswer.Call) { c.Begun, c.Ended = false, at(10.2) }, nil, true},
		{"closed too late to cross", func(c *bluebellanswer.Call) {
			c.Begun, c.Endpoints, c.Ended = false, nil, at(10.4)
		}, nil, true},
		{"new connection closed", func(c *bluebellanswer.Call) {
			c.Begun, c.Endpoints, c.Ended, c.Reused = false, nil, at(10.2), false
		}, nil, true},
		{"gate interrupted before the call was sent on a new connection", func(c *bluebellanswer.Call) {
			c.Begun, c.Endpoints, c.Ended, c.Reused = false, nil, at(10.2), false
		}, []bluebellanswer.Disturbance{gate(bluebellanswer.GateInterrupted, 9.6, 9.7)}, false},
		{"gate interrupted before a new connection", func(c *bluebellanswer.Call) {
			c.Begun, c.Endpoints, c.Ended, c.Reused = false, nil, at(10.2), false
		}, []bluebellanswer.Disturbance{gate(bluebellanswer.GateInterrupted, 9.3, 9.4)}, true},
		{"new connection closed by a stop", func(c *bluebellanswer.Call) {
			c.Begun, c.Endpoints, c.Ended, c.Reused = false, nil, at(10.2), false
		}, []bluebellanswer.Disturbance{gate(bluebellanswer.GateStopping, 8, 14)}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			call := cutCall()
			if test.change != nil {
				test.change(&call)
			}
			findings := config.Unanswered([]bluebellanswer.Call{call}, test.disturbances)
			if !test.found {
				require.Empty(t, findings)
				return
			}
			require.Len(t, findings, 1)
			require.Contains(t, findings[0], "call c at gate-1")
		})
	}
}

func TestOverdueAnswersAreFound(t *testing.T) {
	calls := func(overdue, inTime int) []bluebellanswer.Call {
		var list []bluebellanswer.Call
		for n := range overdue + inTime {
			c := cutCall()
			c.ID, c.Ended = fmt.Sprint(n), at(12.1)
			if n < overdue {
				c.GaveUp, c.Ended = true, at(12.5)
			}
			list = append(list, c)
		}
		return list
	}
	require.Len(t, config.Overdue(calls(8, 23), nil), 1)
	require.Empty(t, config.Overdue(calls(7, 0), nil), "fewer than 8")
	require.Empty(t, config.Overdue(calls(8, 24), nil), "a quarter")
	paused := bluebellanswer.Disturbance{Effect: bluebellanswer.GateInterrupted, Subject: "gate-1", From: at(11), To: at(12)}
	require.Empty(t, config.Overdue(calls(8, 0), []bluebellanswer.Disturbance{paused}))
}
