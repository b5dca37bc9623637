package bluebellcorenode

import (
	"sync"
	"time"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
	"bluebellhaven.org/platform/bluebellplatform"
)

// retireDelay is the time between all endpoints having newer weights and the freeing of
// cached blocks of older weights: by then, runs on older weights have ended, and so have
// their reads of the stores.
const retireDelay = 3 * time.Second

// declaredStores caches the cache stores and targets of the current declaration, so that each
// declaration is decoded once.
type declaredStores struct {
	deployment func() (*pb.Deployment, uint64)

	mu      sync.Mutex
	version uint64
	list    []bluebelldeployment.Store
	targets []bluebelldeployment.Target
}

func (d *declaredStores) stores() []bluebelldeployment.Store {
	stores, _ := d.current()
	return stores
}

// current returns the stores and targets of the current declaration.
func (d *declaredStores) current() ([]bluebelldeployment.Store, []bluebelldeployment.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	deployment, _ := d.deployment()
	if deployment.GetVersion() == d.version {
		return d.list, d.targets
	}
	// An agreed declaration was decoded before it was proposed. If decoding fails all the
	// same, the previous ones stay.
	if declared, err := bluebellplatform.DecodeDeclaration(deployment.Document); err == nil {
		d.list, d.targets = declared.Stores(), declared.Targets()
	}
	d.version = deployment.GetVersion()
	return d.list, d.targets
}

// weightsRetirement determines which versions of weights no run uses any more.
type weightsRetirement struct {
	registry   *bluebellfleet.Registry
	deployment func() (*pb.Deployment, uint64)
	now        func() time.Duration

	mu sync.Mutex
	// completeSince holds, by model, when all endpoints were first seen with the version
	// that operators requested, or a newer one.
	completeSince map[string]time.Duration
}

// retiredVersion returns the highest retired version of a model's weights, or 0 if no
// version is retired.
func (r *weightsRetirement) retiredVersion(model string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	deployment, _ := r.deployment()
	requested := bluebellstate.WeightsVersion(deployment, model)
	if requested == 0 || !r.allHave(model, requested) {
		delete(r.completeSince, model)
		return 0
	}
	if _, seen := r.completeSince[model]; !seen {
		r.completeSince[model] = r.now()
	}
	if r.now()-r.completeSince[model] < retireDelay {
		return 0
	}
	return requested - 1
}

func (r *weightsRetirement) allHave(model string, requested uint64) bool {
	for _, e := range r.registry.Endpoints() {
		if version, has := e.Weights[model]; has && version < requested {
			return false
		}
	}
	return true
}
