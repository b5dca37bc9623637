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

// declaredDeployment caches the decoded declaration, so that each one is decoded once.
type declaredDeployment struct {
	deployment func() (*pb.Deployment, uint64)

	mu      sync.Mutex
	version uint64
	latest  *bluebelldeployment.Deployment
}

// current returns the decoded declaration, nil before the first one.
func (d *declaredDeployment) current() *bluebelldeployment.Deployment {
	d.mu.Lock()
	defer d.mu.Unlock()
	deployment, _ := d.deployment()
	if deployment.GetVersion() == d.version {
		return d.latest
	}
	// An agreed declaration was decoded before it was proposed. If decoding fails all the
	// same, the previous one stays.
	if declared, err := bluebellplatform.DecodeDeclaration(deployment.Document); err == nil {
		d.latest = declared
	}
	d.version = deployment.GetVersion()
	return d.latest
}

func (d *declaredDeployment) stores() []bluebelldeployment.Store { return d.current().Stores() }

func (d *declaredDeployment) shortestObjective() time.Duration {
	return d.current().ShortestObjective()
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
