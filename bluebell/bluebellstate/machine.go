package bluebellstate

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// changeRetention is how long the result of an operator's change is kept for resent
// copies of it. It is also the retention of keys if the policy sets none.
const changeRetention = 7 * 24 * time.Hour

// Machine is the replicated state machine. It is not safe for concurrent use. Views that
// it has returned are not modified afterwards.
type Machine struct {
	view          *pb.View
	now           int64                 // largest time of the commands applied, in Unix nanoseconds
	changes       map[string]*pb.Change // by ChangeID
	claims        claimTable
	poisons       map[string]*pb.Poison // by digest of the request
	fencingNumber uint64
	fencingHolder string // VM that holds fencingNumber
	core          *pb.CoreState
}

// New returns a machine to which no command has been applied.
func New() *Machine {
	return &Machine{
		view:    &pb.View{},
		core:    &pb.CoreState{},
		changes: map[string]*pb.Change{},
		claims:  newClaimTable(),
		poisons: map[string]*pb.Poison{},
	}
}

// View returns the part of the state that entries, the processes that take calls, receive
// and act on. The caller must not modify it.
func (m *Machine) View() *pb.View { return m.view }

// Fencing returns the latest fencing number and the VM that holds it.
func (m *Machine) Fencing() (number uint64, holder string) { return m.fencingNumber, m.fencingHolder }

// Apply applies one command and returns its result. An operator's change that is sent
// again with the same ChangeID gets its first result, for as long as that is kept.
func (m *Machine) Apply(c *pb.Command) *pb.Result {
	m.now = max(m.now, c.UnixNanos)
	switch body := c.Body.(type) {
	case *pb.Command_OpenClaim:
		m.claims.expire(m.now, m.keyRetention())
		r := m.claims.open(m.now, body.OpenClaim)
		r.Revision = m.view.Revision
		return r
	case *pb.Command_CloseClaim:
		return m.claims.close(body.CloseClaim)
	case *pb.Command_ReleaseClaim:
		return m.claims.release(body.ReleaseClaim)
	case *pb.Command_TakeOrders:
		m.fencingNumber++
		m.fencingHolder = body.TakeOrders.Holder
		return &pb.Result{Verdict: pb.Verdict_Accepted, Fencing: m.fencingNumber}
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
	case *pb.Command_SetQuarantine:
		return m.setQuarantine(body.SetQuarantine)
	case *pb.Command_RecordDeparture:
		return m.recordDeparture(body.RecordDeparture)
	case *pb.Command_SetCommandVersion:
		return m.setCommandVersion(body.SetCommandVersion)
	case *pb.Command_OrderScale:
		return m.orderScale(body.OrderScale)
	case *pb.Command_DecideUsage:
		return m.decideUsage(body.DecideUsage)
	case *pb.Command_RecordUsageSent:
		return m.recordUsageSent(body.RecordUsageSent)
	case *pb.Command_Barrier:
		// The number proves to the holder of an earlier one that it is no longer the holder.
		result := m.accepted()
		result.Fencing = m.fencingNumber
		return result
	}
	return m.applyChange(c)
}

// applyChange applies an operator's change and stores its result by ChangeID. A ChangeID
// that is already stored gets its stored result.
func (m *Machine) applyChange(c *pb.Command) *pb.Result {
	if c.ChangeID == "" {
		return m.refuse("a change needs a ChangeID")
	}
	if existing := m.changes[c.ChangeID]; existing != nil {
		return existing.Result
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

// changeResult applies an operator's change and returns its result. A change based on a
// revision older than that of the last accepted change is refused as a conflict.
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
		next, err = withNewMove(m.view, body.StartMove, m.now)
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

// publish makes next, an edited clone of the current view, the current view and gives it
// the next revision.
func (m *Machine) publish(next *pb.View) {
	next.Revision = m.view.Revision + 1
	if next.Configuration != m.view.Configuration {
		next.ConfigurationRevision = next.Revision
	}
	m.view = next
}

// refuse returns a refusing result with the current revision and a formatted reason.
func (m *Machine) refuse(format string, args ...any) *pb.Result {
	return &pb.Result{Verdict: pb.Verdict_Refused, Revision: m.view.Revision, Text: fmt.Sprintf(format, args...)}
}

// keyRetention returns the retention of idempotency keys that the policy sets, or
// changeRetention if it sets none.
func (m *Machine) keyRetention() time.Duration {
	if d := m.view.Configuration.GetPolicy().GetKeyRetention(); d != nil {
		return d.AsDuration()
	}
	return changeRetention
}

// Snapshot returns the encoded state, which Restore decodes.
func (m *Machine) Snapshot() ([]byte, error) {
	s := &pb.Snapshot{
		View: m.view, UnixNanos: m.now, Fencing: m.fencingNumber, OrderHolder: m.fencingHolder,
		ForgottenMinute: m.claims.forgottenMinute, CoreState: m.core,
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
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore returns a machine with the state of a snapshot.
func Restore(data []byte) (*Machine, error) {
	var s pb.Snapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	m := New()
	if s.View != nil {
		m.view = s.View
	}
	if s.CoreState != nil {
		m.core = s.CoreState
	}
	m.now, m.fencingNumber, m.fencingHolder = s.UnixNanos, s.Fencing, s.OrderHolder
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

// cloneView returns a copy of v with its own lists, which the caller may modify. List
// elements, the deployment and the configuration, which is large, are shared with v.
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
