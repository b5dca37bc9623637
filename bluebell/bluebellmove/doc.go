// Package bluebellmove decides on version moves: when the new version of a target
// gets a larger share of the traffic, when the move is taken back, and when it is
// done.
//
// # Phases
//
// A move goes through the phases Loading (endpoints load the new version), Canary
// (the new version gets the small canary share of the requests), Ramping (its share
// grows step by step to 1), Watching (it gets all requests and is still judged) and
// Done. A move whose new version is judged bad goes to the phase TakenBack.
//
// # Judgement
//
// Each route is judged separately by sequential probability ratio tests (Wald,
// "Sequential Tests of Statistical Hypotheses", 1945): one of failures and one of
// slow answers. A good version fails no more often than the old version did in the
// same period, or than the policy's GoodFailureRate if that is higher. The failure
// rate of a bad version is higher than that by at least the policy's
// BadFailureRate. The policy's error rates are divided by the number of routes.
// Every step of the share starts new tests, so that a version that is bad only
// under load is judged under that load.
//
// # Pace
//
// The share starts at the canary share and is multiplied by the ramp factor at
// each step. The next step is taken when every route with traffic is judged good.
// Each step has a part of the remaining time as its budget. If traffic is too thin
// for a judgement within the budget, the next step is also taken when the budget
// is over and the evidence leans to good or there was no traffic, or when twice
// the budget is over and the version is not judged bad. A move that still cannot
// finish in time is reported as late in advance. Further tests cover all steps
// together, since each step may be too short to show a bad version.
//
// # Usage
//
//	planner := bluebellmove.NewPlanner(policy)
//	action := planner.Decide(bluebellmove.Input{...})
//
// The planner reads no clock and sends nothing. Between calls it keeps only the
// counts at the start of the move and of the current step, so a new leader starts
// the tests again.
package bluebellmove
