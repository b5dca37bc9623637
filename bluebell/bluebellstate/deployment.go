package bluebellstate

import (
	"cmp"
	"slices"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// A discovered deployment is declared by one document with a version of its own.
// Its operators send a change again until they get an answer, to any voter, so
// each of these commands may be applied any number of times.

// maxEarlier is the number of earlier versions of a model's weights that are kept:
// more than can be named within the time that endpoints have for one.
const maxEarlier = 16

// declareDeployment puts a document in force if its version is the highest.
func (m *Machine) declareDeployment(d *pb.DeclareDeployment) *pb.Result {
	if d.Version > m.view.GetDeployment().GetVersion() {
		m.publishDeployment(func(next *pb.Deployment) { next.Version, next.Document = d.Version, d.Document })
	}
	return m.accepted()
}

// nameWeights makes a version of a model's weights the one to run.
func (m *Machine) nameWeights(n *pb.NameWeights) *pb.Result {
	if n.Version <= WeightsVersion(m.view.GetDeployment(), n.Model) {
		return m.accepted()
	}
	m.publishDeployment(func(next *pb.Deployment) {
		named := &pb.ModelWeights{Model: n.Model, Version: n.Version, NamedAt: m.now}
		for _, old := range next.Weights {
			if old.Model == n.Model {
				named.Earlier = append(slices.Clone(old.Earlier), &pb.NamedVersion{Version: old.Version, NamedAt: old.NamedAt})
				named.Earlier = named.Earlier[max(len(named.Earlier)-maxEarlier, 0):]
			}
		}
		next.Weights = slices.DeleteFunc(next.Weights, func(w *pb.ModelWeights) bool { return w.Model == n.Model })
		next.Weights = append(next.Weights, named)
		slices.SortFunc(next.Weights, func(a, b *pb.ModelWeights) int { return cmp.Compare(a.Model, b.Model) })
	})
	return m.accepted()
}

// orderDomain takes a failure domain out or in. Unlike SetFailureDomain it needs
// no configuration that lists the domain: endpoints say where they are.
func (m *Machine) orderDomain(o *pb.OrderDomain) *pb.Result {
	if slices.Contains(m.view.GetDeployment().GetDomainsOut(), o.Name) != o.Out {
		m.publishDeployment(func(next *pb.Deployment) { next.DomainsOut = withName(next.DomainsOut, o.Name, o.Out) })
	}
	return m.accepted()
}

func (m *Machine) accepted() *pb.Result {
	return &pb.Result{Verdict: pb.Verdict_Accepted, Revision: m.view.Revision}
}

func (m *Machine) publishDeployment(alter func(next *pb.Deployment)) {
	old := m.view.GetDeployment()
	deployment := &pb.Deployment{
		Version: old.GetVersion(), Document: old.GetDocument(),
		Weights: slices.Clone(old.GetWeights()), DomainsOut: slices.Clone(old.GetDomainsOut()),
	}
	alter(deployment)
	next := cloneView(m.view)
	next.Deployment = deployment
	m.publish(next)
}

// WeightsVersion returns the version of a model's weights that was named last, or 0.
func WeightsVersion(d *pb.Deployment, model string) uint64 {
	for _, w := range d.GetWeights() {
		if w.Model == model {
			return w.Version
		}
	}
	return 0
}
