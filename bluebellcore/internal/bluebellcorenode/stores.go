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

// retireAfter is how long all endpoints have had newer weights before blocks of
// older ones are freed: runs on older weights have ended, and so have their reads
// of the stores.
const retireAfter = 3 * time.Second

// declaredStores decodes the stores of each declaration once.
type declaredStores struct {
	deployment func() (*pb.Deployment, uint64)

	mu      sync.Mutex
	version uint64
	list    []bluebelldeployment.Store
}

func (d *declaredStores) stores() []bluebelldeployment.Store {
	d.mu.Lock()
	defer d.mu.Unlock()
	deployment, _ := d.deployment()
	if deployment.GetVersion() == d.version {
		return d.list
	}
	// What is agreed was decoded before; a failure leaves the stores as they were.
	if plan, err := bluebellplatform.DecodeDeclaration(deployment.Document); err == nil {
		d.list = plan.Stores()
	}
	d.version = deployment.GetVersion()
	return d.list
}

// retirement tells which weights nothing runs on any more.
type weightsRetirement struct {
	registry   *bluebellfleet.Registry
	deployment func() (*pb.Deployment, uint64)
	now        func() time.Duration

	mu sync.Mutex
	// since tells when all endpoints were first seen with a model's newest weights.
	completeSince map[string]time.Duration
}

// version returns the highest retired version of a model's weights, or 0.
func (r *weightsRetirement) version(model string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	deployment, _ := r.deployment()
	requested := bluebellstate.WeightsOf(deployment, model)
	if requested == 0 || !r.allHave(model, requested) {
		delete(r.completeSince, model)
		return 0
	}
	if _, seen := r.completeSince[model]; !seen {
		r.completeSince[model] = r.now()
	}
	if r.now()-r.completeSince[model] < retireAfter {
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
