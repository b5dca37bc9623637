package bluebellplacement_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellplacement"
)

// homes returns the addresses of the homes of prompts at an entry.
func homes(p *bluebellplacement.Placer, prompts int) []string {
	list := make([]string, prompts)
	for i := range list {
		choice, _ := p.Pick(time.Hour, prompt(fmt.Sprint("doc-", i)))
		list[i] = choice.HomeAddress
	}
	return list
}

// differing returns the share of the homes that differ.
func differing(a, b []string) float64 {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return float64(n) / float64(len(a))
}

// Prompts must not move, and be read again, because estimates of equally fast engines differ.
func TestHomesOfEqualEnginesStay(t *testing.T) {
	d := engineDay{entries: 20, engines: 13, speeds: []float64{61_000}, queueing: true}
	want := homes(placer(config, fleet(13)), 1000)
	for seed := range uint64(3) {
		for _, p := range d.run(t, seed+1, 3) {
			require.Zero(t, differing(want, homes(p, 1000)))
		}
	}
}

// A slow engine with as many homes as a fast one is busy longer. The shares of homes have to follow the
// speeds, and entries have to agree on the homes, which must not go on moving.
func TestHomesFollowSpeeds(t *testing.T) {
	const prompts = 2000
	for _, queueing := range []bool{false, true} {
		d := engineDay{entries: 20, engines: 12, speeds: []float64{61_000, 61_000, 47_000}, queueing: queueing}
		placers := d.run(t, 1, 3)
		first := homes(placers[0], prompts)
		slow, most := 0, 0.0
		for i := 2; i < 12; i += 3 {
			for _, address := range first {
				if address == fmt.Sprintf("10.0.0.%d:1", i) {
					slow++
				}
			}
		}
		for _, p := range placers {
			most = max(most, differing(first, homes(p, prompts)))
		}
		moved := differing(homes(d.run(t, 1, 2)[0], prompts), first)
		t.Logf("queueing %t: homes at the third of slow engines %.3f, differing between entries %.3f, moved in the third minute %.3f",
			queueing, float64(slow)/prompts, most, moved)
		require.InDelta(t, 47.0/(2*61+47), float64(slow)/prompts, 0.02)
		require.LessOrEqual(t, most, 0.01)
		require.LessOrEqual(t, moved, 0.03)
	}
}

// weightedPlacer returns a placer of engines of two speeds, which it knows from others.
func weightedPlacer(n int) *bluebellplacement.Placer {
	f := fleet(n)
	f.UseByOthers = map[string]bluebellplacement.EndpointUse{}
	for i, e := range f.Endpoints {
		f.UseByOthers[e.ID] = bluebellplacement.EndpointUse{Speed: bluebellplacement.NewSpeed([]float64{61_000, 47_000}[i%2], 30)}
	}
	p := bluebellplacement.New(config)
	for f.At = second; f.At < 20*second; f.At += second {
		p.Update(f)
	}
	return p
}

// Most scores are not computed, since their hashes are too low. A home that is found so must come before
// each other engine.
func TestWeightedOrderIsComplete(t *testing.T) {
	p, alone := weightedPlacer(40), weightedPlacer(40)
	for i := range 1000 {
		r := prompt(fmt.Sprint("doc-", i))
		choice, _ := p.Pick(time.Hour, r)
		best := choice.HomeAddress
		for j := range 40 {
			id := fmt.Sprint("i-", j)
			if "10.0.0."+id[2:]+":1" == best {
				continue
			}
			r.Only = []string{id, homeID(best)}
			pair, _ := alone.Pick(time.Hour, r)
			require.Equal(t, best, pair.HomeAddress)
		}
	}
}

// homeID returns the ID of the endpoint with an address.
func homeID(address string) string {
	return "i-" + strings.TrimSuffix(strings.TrimPrefix(address, "10.0.0."), ":1")
}

func BenchmarkPickWeighted(b *testing.B) {
	p := weightedPlacer(920)
	b.ReportAllocs()
	for b.Loop() {
		p.Pick(second, prompt("doc"))
	}
}
