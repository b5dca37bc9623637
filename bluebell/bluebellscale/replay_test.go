package bluebellscale_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellscale"
)

const second = time.Second

var bounds = bluebellscale.Bounds{Min: 17, Max: 40, StartDuration: 8 * second}

// site is a target with 20 engines in each of three failure domains. Its load is given in engines that it keeps
// reading; what they cannot read waits.
type site struct {
	planner  *bluebellscale.Planner
	random   *rand.Rand
	ordered  [3]int
	serving  [3]int
	lost     [3]int
	starting []start
	now      time.Duration
	waiting  float64
	complete bool
	// lateSeconds counts the seconds in which calls waited, engineSeconds what was paid for.
	lateSeconds, engineSeconds int
	steps                      []string
	reasons                    map[bluebellscale.Reason]int
	// reversals counts raises that followed a step down.
	reversals int
	last      bluebellscale.Reason
}

// start is an endpoint that will serve at a time.
type start struct {
	at     time.Duration
	domain int
}

func newSite(seed uint64) *site {
	return &site{
		planner: bluebellscale.New(), random: rand.New(rand.NewPCG(seed, 1)), ordered: [3]int{20, 20, 20}, serving: [3]int{20, 20, 20},
		complete: true, reasons: map[bluebellscale.Reason]int{},
	}
}

func (s *site) total() int { return s.ordered[0] + s.ordered[1] + s.ordered[2] }

// usable returns the engines that serve now.
func (s *site) usable() int {
	n := 0
	for d := range s.serving {
		n += s.serving[d] - s.lost[d]
	}
	return n
}

// step lets a second pass with a load.
func (s *site) step(load float64) {
	s.now += second
	for i := len(s.starting) - 1; i >= 0; i-- {
		if b := s.starting[i]; b.at <= s.now {
			s.serving[b.domain]++
			s.starting = append(s.starting[:i], s.starting[i+1:]...)
		}
	}
	usable := float64(s.usable())
	s.waiting = max(s.waiting+load-usable, 0)
	if s.waiting > 0 {
		s.lateSeconds++
	}
	s.engineSeconds += s.total()
	use := min((load+s.waiting)/usable, 1)
	var mean bluebellscale.Load
	for range 4 {
		var endpoints []bluebellscale.EndpointLoad
		for range int(usable) {
			e := bluebellscale.EndpointLoad{Calls: 10, Tokens: int(30_000 * use)}
			if s.random.Float64() < use {
				e.Unread = 5000
			}
			endpoints = append(endpoints, e)
		}
		mean = mean.Plus(bluebellscale.Measure(bluebellscale.Capacity{Tokens: 93_231, Slots: 64, ReadsPrompts: true}, endpoints,
			bluebellscale.Backlog{Waiting: int(7 * s.waiting), WaitingTokens: int(16_000 * s.waiting)}))
	}
	s.decide(mean.Over(4))
}

// decide passes a load to the planner and carries out what it decides.
func (s *site) decide(load bluebellscale.Load) {
	in := bluebellscale.Input{Bounds: bounds, Load: load, Complete: s.complete}
	for d := range s.ordered {
		in.Domains = append(in.Domains, bluebellscale.Domain{
			Name: fmt.Sprint(d), Ordered: s.ordered[d], Registered: s.serving[d], Usable: s.serving[d] - s.lost[d],
		})
	}
	decision := s.planner.Decide(s.now, in)
	for _, c := range decision.Changes {
		d := int(c.FailureDomain[0] - '0')
		for range c.To - c.From {
			s.starting = append(s.starting, start{s.now + bounds.StartDuration, d})
		}
		if c.To < c.From {
			s.serving[d] -= c.From - c.To
		}
		s.ordered[d] = c.To
	}
	if len(decision.Changes) > 0 {
		s.reasons[decision.Reason]++
		if s.last == bluebellscale.Surplus && decision.Reason != bluebellscale.Surplus {
			s.reversals++
		}
		s.last = decision.Reason
		s.steps = append(s.steps, fmt.Sprintf("%v %v %d", s.now, decision.Reason, s.total()))
	}
}

// run lets a time pass with a load that depends on the time since its start.
func (s *site) run(d time.Duration, load func(t time.Duration) float64) {
	for t := second; t <= d; t += second {
		s.step(load(t))
	}
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// wave is a load that swings by 27 % with a period of 11 s.
func wave(load float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 { return load * (1 + 0.27*math.Sin(2*math.Pi*t.Seconds()/11)) }
}

// forSeeds runs a replay with several sequences of random numbers.
func forSeeds(t *testing.T, replay func(t *testing.T, s *site)) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSite(seed)
			replay(t, s)
			if t.Failed() {
				t.Log(s.steps, "late", s.lateSeconds, "paid", s.engineSeconds)
			}
		})
	}
}

// Guards against paying for idle endpoints, against a number below the minimum, and against steps that are taken
// before the one before has shown its effect.
func TestCalmLoadGoesToMinimumStepByStep(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *site) {
		last, changed := s.total(), time.Duration(0)
		for s.now < 120*second {
			s.step(20)
			if s.total() == last {
				continue
			}
			require.GreaterOrEqual(t, s.total(), last-last/10)
			require.GreaterOrEqual(t, s.now-changed, 10*second)
			last, changed = s.total(), s.now
		}
		require.Equal(t, [3]int{17, 17, 17}, s.ordered)
		require.Zero(t, s.lateSeconds)
	})
}

// Guards against endpoints that are ordered when the load has already passed the capacity: they serve 8 s later.
func TestRampIsAnsweredBeforeCallsWait(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *site) {
		s.run(40*second, steady(40))
		s.run(60*second, func(t time.Duration) float64 { return 40 + 40*t.Seconds()/60 })
		s.run(60*second, steady(80))
		require.Zero(t, s.lateSeconds)
		require.LessOrEqual(t, s.total(), 120)
		require.GreaterOrEqual(t, s.total(), 90)
	})
}

// Guards against a forecast without a trend: on a load that doubles within 20 s, the same planner without it left
// calls waiting for 14 to 16 s, and with it for 3 to 8 s.
func TestSteepRampIsAnsweredByItsTrend(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *site) {
		s.run(40*second, steady(40))
		s.run(20*second, func(t time.Duration) float64 { return 40 + 40*t.Seconds()/20 })
		s.run(60*second, steady(80))
		require.LessOrEqual(t, s.lateSeconds, 10)
	})
}

// Guards against endpoints that are ordered for a burst and serve when it is over.
func TestBurstThatIsBorneOrdersNothing(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *site) {
		s.run(11*second, steady(34))
		require.Equal(t, 60, s.total())
		s.run(3*second, steady(34*1.7))
		s.run(9*second, steady(34))
		require.Empty(t, s.steps)
		require.Zero(t, s.lateSeconds)
	})
}

// Guards against a burst of 3 s that is answered as if it lasted: 2 s of it order a tenth, and the rest nothing.
func TestBurstThatIsNotBorneOrdersATenth(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *site) {
		s.run(30*second, steady(34))
		before := s.total()
		s.run(3*second, steady(34*1.8))
		s.run(20*second, steady(34))
		require.Zero(t, s.reasons[bluebellscale.Forecast])
		require.Equal(t, 1, s.reasons[bluebellscale.Shortage])
		require.LessOrEqual(t, s.total(), before+before/10+1)
	})
}

// Guards against calls that are refused in each burst because the number was lowered between two of them.
func TestNumberThatWasTooFewIsNotTriedAgainSoon(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *site) {
		s.run(300*second, func(t time.Duration) float64 {
			if t%(40*second) < 6*second {
				return 66
			}
			return 36
		})
		require.LessOrEqual(t, s.reversals, 3, "there were 8 bursts")
	})
}

// Guards against a number that follows the wave: each endpoint that is added starts cold in the next trough.
func TestWaveDoesNotMoveTheNumber(t *testing.T) {
	for _, load := range []float64{20, 28, 34, 38, 42, 46} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			forSeeds(t, func(t *testing.T, s *site) {
				s.run(60*second, wave(load))
				s.steps, s.reversals = nil, 0
				s.run(240*second, func(t time.Duration) float64 { return wave(load)(t + 60*second) })
				require.LessOrEqual(t, len(s.steps), 2, "%v", s.steps)
				require.Zero(t, s.reversals, "%v", s.steps)
				require.Zero(t, s.lateSeconds)
			})
		})
	}
}

// Guards against replacing engines that return sooner than their replacements serve, and against a number that is
// lowered because lost engines report no load.
func TestShortLossOfAQuarterChangesNothing(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *site) {
		s.run(15*second, steady(40))
		s.steps = nil
		s.lost = [3]int{15, 0, 0}
		s.run(7*second, steady(40))
		s.lost = [3]int{}
		s.run(10*second, steady(40))
		require.Empty(t, s.steps)
	})
}

// Guards against an order at the return of lost engines, when what has waited for them is read.
func TestReturnAfterALossChangesNothing(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *site) {
		s.run(15*second, steady(40))
		require.Empty(t, s.steps)
		s.lost = [3]int{10, 10, 0}
		s.run(7*second, steady(46))
		require.Positive(t, s.lateSeconds)
		s.lost = [3]int{}
		s.run(5*second, steady(40))
		require.Empty(t, s.steps)
	})
}

// Guards against a shortage that lasts as long as the loss does, and against replacements in the failure domain
// that was lost.
func TestLongLossIsReplacedElsewhere(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *site) {
		s.run(15*second, steady(40))
		s.lost = [3]int{15, 0, 0}
		s.run(8*second, steady(40))
		require.Equal(t, [3]int{20, 20, 20}, s.ordered)
		s.run(30*second, steady(40))
		require.Equal(t, 20, s.ordered[0])
		require.GreaterOrEqual(t, s.usable(), 55)
		s.lost = [3]int{}
		s.run(120*second, steady(30))
		require.Less(t, s.total(), 60, "what was ordered for the loss is given back")
	})
}

// Guards against money spent on a single bad moment, and on calls that are refused while endpoints are idle.
func TestFalseAlarmOrdersNothing(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *site) {
		s.run(20*second, steady(36))
		s.steps = nil
		clear(s.reasons)
		s.decide(bluebellscale.Load{Memory: 500, Calls: 600, Backlog: bluebellscale.Backlog{Waiting: 300}, Known: true})
		s.run(5*second, steady(36))
		require.Zero(t, s.reasons[bluebellscale.Forecast]+s.reasons[bluebellscale.Shortage], s.steps)
		for range 30 {
			s.now += second
			s.decide(bluebellscale.Load{Memory: 20, Calls: 300, Backlog: bluebellscale.Backlog{Returning: 200}, Known: true})
		}
		require.Zero(t, s.reasons[bluebellscale.Forecast]+s.reasons[bluebellscale.Shortage], s.steps)
		require.Zero(t, s.reasons[bluebellscale.Surplus], "calls were refused")
	})
}

// Guards against endpoints that are stopped because a lost connection hides their load.
func TestIncompleteReportsLowerNothing(t *testing.T) {
	forSeeds(t, func(t *testing.T, s *site) {
		s.complete = false
		s.run(60*second, steady(5))
		require.Empty(t, s.steps)
		s.complete = true
		s.run(9*second, steady(5))
		require.Empty(t, s.steps, "the 10 s begin with the first complete report")
	})
}

// Guards against a shortage that is answered only when the forecast sees it, and against ordering for the same
// shortage again while the answer to it is starting.
func TestShortageIsAnsweredAtOnceAndOnce(t *testing.T) {
	s := newSite(1)
	s.run(10*second, steady(40))
	short := bluebellscale.Load{Memory: 50, Calls: 600, Backlog: bluebellscale.Backlog{Returning: 60}, Known: true}
	for range 3 {
		s.now += second
		s.decide(short)
	}
	require.Equal(t, 1, s.reasons[bluebellscale.Shortage], "%v", s.steps)
	require.Equal(t, 66, s.total())
	for range 6 {
		s.now += second
		s.decide(short)
	}
	require.Equal(t, 66, s.total(), "%v", s.steps)
	for range 5 {
		s.now += second
		s.decide(short)
	}
	require.Equal(t, 73, s.total(), "what was ordered serves, and calls are refused still: %v", s.steps)
}
