package bluebellstate

import (
	"cmp"
	"slices"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// A deployment whose endpoints register themselves is declared by one document, which
// has its own version number. Operators resend a change to any voter until they get an
// answer, so each of the commands in this file can be applied repeatedly without harm.

// maxEarlierVersions limits the earlier versions kept for each model's weights. It is
// more than the number of versions that can be named within the time that endpoints have
// to switch to one.
const maxEarlierVersions = 16

// declareDeployment replaces the document if the version of d is higher than the current
// one.
func (m *Machine) declareDeployment(d *pb.DeclareDeployment) *pb.Result {
	if d.Version > m.view.GetDeployment().GetVersion() {
		m.publishDeployment(func(next *pb.Deployment) { next.Version, next.Document = d.Version, d.Document })
	}
	return m.accepted()
}

// nameWeights sets the version of a model's weights that endpoints must run, if it is
// higher than the current one.
func (m *Machine) nameWeights(n *pb.NameWeights) *pb.Result {
	if n.Version <= WeightsVersion(m.view.GetDeployment(), n.Model) {
		return m.accepted()
	}
	m.publishDeployment(func(next *pb.Deployment) {
		named := &pb.ModelWeights{Model: n.Model, Version: n.Version, NamedAt: m.now}
		for _, old := range next.Weights {
			if old.Model == n.Model {
				named.Earlier = append(slices.Clone(old.Earlier), &pb.NamedVersion{Version: old.Version, NamedAt: old.NamedAt})
				named.Earlier = named.Earlier[max(len(named.Earlier)-maxEarlierVersions, 0):]
			}
		}
		next.Weights = slices.DeleteFunc(next.Weights, func(w *pb.ModelWeights) bool { return w.Model == n.Model })
		next.Weights = append(next.Weights, named)
		slices.SortFunc(next.Weights, func(a, b *pb.ModelWeights) int { return cmp.Compare(a.Model, b.Model) })
	})
	return m.accepted()
}

// orderDomain takes a failure domain out or puts it back in. Unlike SetFailureDomain, it
// does not require that the configuration lists the domain, since endpoints declare
// their failure domain when they register.
func (m *Machine) orderDomain(o *pb.OrderDomain) *pb.Result {
	if slices.Contains(m.view.GetDeployment().GetDomainsOut(), o.Name) != o.Out {
		m.publishDeployment(func(next *pb.Deployment) { next.DomainsOut = withName(next.DomainsOut, o.Name, o.Out) })
	}
	return m.accepted()
}

// accepted returns an accepting result with the current revision.
func (m *Machine) accepted() *pb.Result {
	return &pb.Result{Verdict: pb.Verdict_Accepted, Revision: m.view.Revision}
}

// publishDeployment publishes a view with a copy of the deployment that edit has changed.
// edit may change the copy's lists, but not their elements.
func (m *Machine) publishDeployment(edit func(next *pb.Deployment)) {
	old := m.view.GetDeployment()
	deployment := &pb.Deployment{
		Version: old.GetVersion(), Document: old.GetDocument(),
		Weights: slices.Clone(old.GetWeights()), DomainsOut: slices.Clone(old.GetDomainsOut()),
		Quarantines: slices.Clone(old.GetQuarantines()),
	}
	edit(deployment)
	next := cloneView(m.view)
	next.Deployment = deployment
	m.publish(next)
}

// WeightsVersion returns the current version of the weights of model, or 0 if none is named.
func WeightsVersion(d *pb.Deployment, model string) uint64 {
	for _, w := range d.GetWeights() {
		if w.Model == model {
			return w.Version
		}
	}
	return 0
}
