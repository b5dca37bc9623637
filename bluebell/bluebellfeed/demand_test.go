package bluebellfeed_test

import (
	"testing"

	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebellpressure"
)

// An entry that does not know which calls wait at the others takes its own queue for that of all, and
// admits what has no place. It must know the sums of the others, through two core processes, without its
// own part, and must not decide by sums of a source that has gone.
func TestEntriesExchangeDemands(t *testing.T) {
	d := newDeployment("a/c1", "b/c2")
	d.shareLoads(t)
	e1 := d.follow(t, "a/e1", "a/c1", "b/c2")
	d.follow(t, "a/e2", "a/c1", "b/c2")
	d.follow(t, "b/e3", "a/c1", "b/c2")
	eventually(t, "the demand of the two others", func() bool {
		demands, at := e1.DemandsOfOthers()
		llm := demands["llm"]
		returning := 0
		for _, n := range llm.Returning[30:41] {
			returning += n
		}
		return at > 0 && len(demands) == 1 && llm.Waiting == (bluebellplacement.TokensByPriority{5: 4}) &&
			llm.Tokens == (bluebellplacement.TokensByPriority{5: 48_000}) && returning == 2 && llm.Returning != [bluebellpressure.ReturnSteps]int{}
	})
	for _, c := range d.cores {
		c.down.Store(true)
	}
	eventually(t, "sums of a source that has gone count for nothing", func() bool {
		demands, _ := e1.DemandsOfOthers()
		return demands == nil
	})
}
