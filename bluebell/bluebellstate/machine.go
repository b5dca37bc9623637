package bluebellstate

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// changeRetention is how long the answer to a change is remembered.
const changeRetention = 7 * 24 * time.Hour

// Machine is the state machine. It is not safe for concurrent use; a View that
// it has returned is never altered.
type Machine struct {
	view    *pb.View
	now     int64 // Unix time in nanoseconds
	changes map[string]*pb.Change
	claims  claimTable
	poisons map[string]*pb.Poison
	fencing uint64
	holder  string
}

// New returns the state before the first command.
func New() *Machine {
	return &Machine{
		view:    &pb.View{},
		changes: map[string]*pb.Change{},
		claims:  newClaimTable(),
		poisons: map[string]*pb.Poison{},
	}
}

// View returns what entries follow. It must not be altered.
func (m *Machine) View() *pb.View { return m.view }

// Fencing returns the latest fencing number and the VM that holds it.
func (m *Machine) Fencing() (number uint64, holder string) { return m.fencing, m.holder }

// Apply carries out one command. A command that is sent again gets the result
// that it got first.
func (m *Machine) Apply(c *pb.Command) *pb.Result {
	m.now = max(m.now, c.UnixNanos)
	switch body := c.Body.(type) {
	case *pb.Command_OpenClaim:
		m.claims.forget(m.now, m.keyRetention())
		r := m.claims.open(m.now, body.OpenClaim)
		r.Revision = m.view.Revision
		return r
	case *pb.Command_CloseClaim:
		return m.claims.close(body.CloseClaim)
	case *pb.Command_ReleaseClaim:
		return m.claims.release(body.ReleaseClaim)
	case *pb.Command_TakeOrders:
		m.fencing++
		m.holder = body.TakeOrders.Holder
		return &pb.Result{Verdict: pb.Verdict_Accepted, Fencing: m.fencing}
	case *pb.Command_CrashReport:
		return m.reportCrash(body.CrashReport)
	case *pb.Command_StepMove:
		return m.stepMove(body.StepMove)
	case *pb.Command_DeclareDeployment:
		return m.declareDeployment(body.DeclareDeployment)
	case *pb.Command_NameWeights:
		return m.nameWeights(body.NameWeights)
	case *pb.Command_OrderDomain:
		return m.orderDomain(body.OrderDomain)
	case *pb.Command_Barrier:
		return m.accepted()
	}
	return m.applyChange(c)
}

// applyChange carries out a change by an operator.
func (m *Machine) applyChange(c *pb.Command) *pb.Result {
	if c.ChangeID == "" {
		return m.refuse("a change needs a ChangeID")
	}
	if known := m.changes[c.ChangeID]; known != nil {
		return known.Result
	}
	result := m.changeResult(c)
	m.changes[c.ChangeID] = &pb.Change{ChangeID: c.ChangeID, Result: result, UnixNanos: m.now}
	for id, old := range m.changes {
		if m.now-old.UnixNanos > int64(changeRetention) {
			delete(m.changes, id)
		}
	}
	return result
}

func (m *Machine) changeResult(c *pb.Command) *pb.Result {
	if c.BaseRevision < m.view.DeclaredRevision {
		r := m.refuse("change %s by operator %s was accepted first, as revision %d; this change is based on revision %d",
			m.view.DeclaredChange, m.view.DeclaredBy, m.view.DeclaredRevision, c.BaseRevision)
		r.Verdict = pb.Verdict_Conflict
		return r
	}
	var next *pb.View
	var err error
	switch body := c.Body.(type) {
	case *pb.Command_Apply:
		next, err = withConfiguration(m.view, body.Apply, m.now)
	case *pb.Command_SetFailureDomain:
		next, err = withFailureDomain(m.view, body.SetFailureDomain)
	case *pb.Command_SetEndpoint:
		next, err = withEndpoint(m.view, body.SetEndpoint)
	case *pb.Command_StartMove:
		next, err = withMove(m.view, body.StartMove, m.now)
	default:
		err = fmt.Errorf("command has no body that this version knows")
	}
	if err != nil {
		return m.refuse("%v", err)
	}
	next.DeclaredBy, next.DeclaredChange = c.Operator, c.ChangeID
	m.publish(next)
	m.view.DeclaredRevision = m.view.Revision
	return &pb.Result{Verdict: pb.Verdict_Accepted, Revision: m.view.Revision}
}

// publish makes a clone of the view, altered by the caller, the present one.
func (m *Machine) publish(next *pb.View) {
	next.Revision = m.view.Revision + 1
	if next.Configuration != m.view.Configuration {
		next.ConfigurationRevision = next.Revision
	}
	m.view = next
}

func (m *Machine) refuse(format string, args ...any) *pb.Result {
	return &pb.Result{Verdict: pb.Verdict_Refused, Revision: m.view.Revision, Text: fmt.Sprintf(format, args...)}
}

func (m *Machine) keyRetention() time.Duration {
	if d := m.view.Configuration.GetPolicy().GetKeyRetention(); d != nil {
		return d.AsDuration()
	}
	return changeRetention
}

// Snapshot returns the whole state in a form that Restore takes.
func (m *Machine) Snapshot() ([]byte, error) {
	s := &pb.Snapshot{
		View: m.view, UnixNanos: m.now, Fencing: m.fencing, OrderHolder: m.holder,
		ForgottenMinute: m.claims.forgottenMinute,
	}
	for _, c := range m.claims.byKey {
		s.Claims = append(s.Claims, c)
	}
	for _, c := range m.changes {
		s.Changes = append(s.Changes, c)
	}
	for _, p := range m.poisons {
		s.Poisons = append(s.Poisons, p)
	}
	data, err := proto.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return data, nil
}

// Restore returns the machine that a snapshot was taken of.
func Restore(data []byte) (*Machine, error) {
	var s pb.Snapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	m := New()
	if s.View != nil {
		m.view = s.View
	}
	m.now, m.fencing, m.holder = s.UnixNanos, s.Fencing, s.OrderHolder
	m.claims.forgottenMinute = s.ForgottenMinute
	for _, c := range s.Claims {
		m.claims.add(c)
	}
	for _, c := range s.Changes {
		m.changes[c.ChangeID] = c
	}
	for _, p := range s.Poisons {
		m.poisons[string(p.Digest)] = p
	}
	return m, nil
}

// cloneView returns a view whose lists may be altered. The configuration, which
// is large, is shared.
func cloneView(v *pb.View) *pb.View {
	return &pb.View{
		Revision: v.Revision, ConfigurationRevision: v.ConfigurationRevision,
		Configuration:     v.Configuration,
		FailureDomainsOut: slices.Clone(v.FailureDomainsOut),
		EndpointsDrained:  slices.Clone(v.EndpointsDrained),
		Moves:             slices.Clone(v.Moves),
		PoisonDigests:     slices.Clone(v.PoisonDigests),
		Versions:          slices.Clone(v.Versions),
		DeclaredRevision:  v.DeclaredRevision,
		DeclaredBy:        v.DeclaredBy,
		DeclaredChange:    v.DeclaredChange,
		OwnersChangedAt:   v.OwnersChangedAt,
		Deployment:        v.Deployment,
	}
}
