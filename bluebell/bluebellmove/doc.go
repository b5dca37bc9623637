// Package bluebellmove decides on version moves: when a new version gets more
// traffic, when it is taken back and when the move is done.
//
// # Judgement
//
// Each route is judged on its own by sequential probability ratio tests (Wald,
// "Sequential Tests of Statistical Hypotheses", 1945), one on failures and one on
// slow answers. A good version fails no more often than the old one did in the
// same period or than the policy's GoodFailureRate; a bad one fails more often
// than that by the policy's BadFailureRate. The stated error rates are divided by
// the number of routes. Every step of the share starts new tests, so a version
// that is bad under load only is judged under that load.
//
// # Pace
//
// The share goes from the canary share up by the ramp factor. A step is taken
// when every route with traffic has passed. If traffic is too thin to pass in
// time, a step is also taken when its part of the remaining time is over and the
// evidence leans to good, or when twice that time is over and it does not show a
// bad version; a move that is late even so says so early. What one step
// was too short to tell shows over all steps together.
//
// # Usage
//
//	planner := bluebellmove.NewPlanner(policy)
//	action := planner.Decide(bluebellmove.Input{...})
//
// The planner has no clock and sends nothing. What it remembers between calls is
// the evidence at the start of the present step; a new leader starts the step's
// tests anew.
package bluebellmove
