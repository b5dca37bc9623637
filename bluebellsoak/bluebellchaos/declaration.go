package bluebellchaos

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// extraPath begins the paths of routes that only some versions have.
	extraPath   = "/extra-"
	extraRoutes = 4
	// spareSuffix ends the names of the targets between which routes are split in some versions.
	spareSuffix = "-spare"
)

// declarations yields the declaration of each version. Without varied, all versions are the same apart
// from their number.
type declarations struct {
	seed   uint64
	varied bool
	stores []bluebelldeployment.Store
	// customers replace the usual one, if there are any.
	customers []bluebelldeployment.Customer
	// coldRate is how many calls a second cold endpoints of the target of plain calls can handle, 0 if any.
	coldRate float64
}

// encode returns the text of a version. Varied versions differ in the routes that callers use now and
// then, in time limits, in the targets between which routes are split, in limits and in keys.
func (d declarations) encode(version uint64) []byte {
	declared := plainDeclaration(version)
	declared.Stores = d.stores
	if len(d.customers) > 0 {
		declared.Customers = d.customers
	}
	if d.coldRate > 0 {
		declared.Targets[0].ColdRate, declared.Targets[0].ColdDuration = d.coldRate, coldTime
	}
	if d.varied {
		vary(&declared, rand.New(rand.NewPCG(d.seed, version)))
	}
	text, err := bluebellplatform.EncodeDeclaration(declared)
	if err != nil {
		panic(err) // all values that vary are valid
	}
	return text
}

func plainDeclaration(version uint64) bluebelldeployment.Declaration {
	route := func(name, path string, work bluebelldeployment.Work, attempts int, target string) bluebelldeployment.Route {
		return bluebelldeployment.Route{
			Name: name, Host: hostName, Prefix: path, Work: work, Timeout: statedTimeout, Objective: 300 * time.Millisecond,
			MaxEventGap: 300 * time.Millisecond, Priority: 1, Attempts: attempts, Resumable: path == resumablePath,
			Targets: []bluebelldeployment.WeightedTarget{{Name: target, Weight: 1}},
		}
	}
	return bluebelldeployment.Declaration{
		Version: version,
		Routes: []bluebelldeployment.Route{
			route("once", oncePath, bluebelldeployment.NonIdempotent, 1, "app"), route("read", readPath, bluebelldeployment.Idempotent, 2, "app"),
			route("again", resumablePath, bluebelldeployment.Stream, 2, "llm"), route("stream", streamPath, bluebelldeployment.Stream, 1, "llm"),
		},
		Targets: []bluebelldeployment.Target{
			{Name: "app", MaxConnections: 96},
			{Name: "llm", MaxConnections: 96, Engine: &bluebelldeployment.Engine{Slots: 64, Tokens: 90_000, TokenBytes: 18_432, Models: []string{model}}},
		},
		Customers: []bluebelldeployment.Customer{{Name: customerName, Keys: []string{customerKey}}},
		Limits:    bluebelldeployment.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20},
	}
}

// vary changes a declaration so that the calls on its routes stay allowed. No time limit is shorter than
// the one that callers state.
func vary(d *bluebelldeployment.Declaration, rng *rand.Rand) {
	for i := range d.Targets {
		spare := d.Targets[i]
		spare.Name += spareSuffix
		d.Targets = append(d.Targets, spare)
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		r.Timeout += time.Duration(rng.IntN(3)) * statedTimeout / 4
		r.Objective += time.Duration(rng.IntN(3)) * 100 * time.Millisecond
		if rng.IntN(2) == 0 {
			r.Targets = append(r.Targets, bluebelldeployment.WeightedTarget{Name: r.Targets[0].Name + spareSuffix, Weight: float64(1+rng.IntN(3)) / 3})
		}
	}
	for n := range extraRoutes {
		if rng.IntN(2) == 0 {
			extra := d.Routes[0]
			extra.Name, extra.Prefix, extra.Targets = fmt.Sprint("extra-", n), fmt.Sprint(extraPath, n, "/"), slices.Clone(extra.Targets)
			d.Routes = append(d.Routes, extra)
		}
	}
	for n := range rng.IntN(3) {
		d.Customers = append(d.Customers, bluebelldeployment.Customer{Name: fmt.Sprint("customer-of-", d.Version, "-", n), Keys: []string{fmt.Sprint("key-of-", d.Version, "-", n)}})
	}
	d.Limits.MaxBodyBytes <<= rng.IntN(2)
}
