package bluebellfeed

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/types/known/durationpb"

	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellquarantine"
	"bluebellhaven.org/bluebell/bluebellusage"
)

const (
	// pollSlack is the time that a poll may take in addition to its wait: a few round trips
	// and the retransmission of a lost packet.
	pollSlack = 400 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed poll. The delay doubles
	// with each failure.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// sourceRetention is how long a source that is not a seed is still polled after its last
	// reply if no other source names it.
	sourceRetention = 30 * time.Second
	// entryRetention is how long an entry counts as one that shares limits after a source
	// last named it: several times the expected network partitions of a few seconds. An
	// entry that is counted too long leaves a part of a limit unused.
	entryRetention = time.Minute
	// maxReplyAge is how long the last reply of a source is used: a poll and its retry.
	maxReplyAge = 1500 * time.Millisecond
)

// FollowerConfig holds the settings of a Follower.
type FollowerConfig struct {
	// Process is the follower's own peer address, which it does not poll.
	Process string
	// Entry is set in a process that accepts calls, and unset in a core process.
	Entry bool
	// FailureDomain is the follower's own failure domain. An entry takes its primary source
	// from it, if possible.
	FailureDomain string
	// ShareLoads is set in a core process that takes the loads of all its sources.
	ShareLoads bool
	// Seeds returns the addresses of the first sources. They are polled again whenever all
	// other sources fail.
	Seeds func() []string
	// MaxSources is the highest number of sources that are followed at once, besides one in
	// the follower's failure domain. Sources that do not answer are not counted.
	MaxSources int
	// Registry receives the registrations.
	Registry *bluebellfleet.Registry
	// OnDeployment is called with each newer deployment, in order of revision. It is nil in
	// processes that get the deployment from the replicated log.
	OnDeployment func(revision uint64, d *pb.Deployment)
	// Uses returns, for each endpoint, the calls that this entry has in flight and the
	// failures that it has seen. It is nil in other processes.
	Uses func() []Use
	// Demands returns the calls that wait at this entry or were told to return. It may be nil.
	Demands func() Demands
	// LostTargets returns the targets to whose endpoints this entry can open no connection. It is
	// nil in other processes.
	LostTargets func() []string
	// Suspicions returns what this entry has observed of calls that may crash endpoints, and
	// OnSuspected is called with the subjects that entries suspect. Both are nil in other
	// processes.
	Suspicions  func() []bluebellquarantine.Suspect
	OnSuspected func(keys []bluebellquarantine.Key)
	// OnPeerSuspicions is called with what another core process has received from its entries.
	// It is nil in entries.
	OnPeerSuspicions func(core string, suspects []bluebellquarantine.Suspect)
	// Usage returns what has changed of the usage that this entry has counted after a report, or nil, and the
	// cursor of its result. UsageWindowEnd returns the time until the current window ends. Both are nil in other
	// processes, and where usage is not reported.
	Usage          func(since bluebellusage.Cursor) (*pb.UsageReport, bluebellusage.Cursor)
	UsageWindowEnd func() time.Duration
	// OnTime is called with the time of day that a source has stated, in Unix nanoseconds, and the times of the
	// request and of the reply. It may be nil.
	OnTime func(source string, unixNanos int64, requestedAt, repliedAt time.Duration)
	// OnLoads is called when the primary source has sent loads. It may be nil.
	OnLoads func()
	// Poll sends a request to a source and returns its reply.
	Poll func(ctx context.Context, source string, r *pb.FollowRequest) (*pb.FollowReply, error)
	// Objective returns the shortest declared objective of calls to models, 0 if there is none.
	// It sets how often loads are exchanged; see IntervalsFor. If nil, there is none.
	Objective func() time.Duration
	// Now returns the time of a monotonic clock. Uptime is one that goes on while the VM is suspended; if nil, it is
	// Now.
	Now    func() time.Duration
	Uptime func() time.Duration
	Logger *log.Logger
}

func (c FollowerConfig) uptime() time.Duration {
	if c.Uptime == nil {
		return c.Now()
	}
	return c.Uptime()
}

// source is the state of one core process that is polled.
type source struct {
	cancel context.CancelFunc
	// lastReplyAt is 0 before the first reply.
	lastReplyAt time.Duration
	startedAt   time.Duration
	// answersSince is when the source began to answer without a break.
	answersSince time.Duration
	// loading and ages are from the last reply. The times in ages are those of the last
	// registrations.
	loading []string
	ages    map[string]time.Duration
	// epoch and cursor are from the last reply.
	epoch, cursor uint64
	// leaderless is set if the source knew no leader at its last reply.
	leaderless bool
	// voters and voterSet are those of the last reply of a voter, and settledAt is the time on the clock Uptime of which
	// it said that it was settled. voters is 0 before the first one.
	voters    uint32
	voterSet  uint64
	settledAt time.Duration
	// names are the names that the source has sent in its epoch. uses and entries are from
	// the last reply as a primary source, without what this process had reported.
	names          []string
	uses           []Use
	demands        Demands
	demandsAt      time.Duration
	entries        []EntryState
	entriesVersion uint64
	directory      *bluebelldirectory.View
}

// Follower keeps a registry, the deployment and, in entries, the directory of cached blocks up
// to date by polling sources. It is safe for concurrent use.
type Follower struct {
	cfg FollowerConfig
	// deploymentMu serializes calls of OnDeployment, so that revisions increase. It is
	// locked before mu.
	deploymentMu sync.Mutex
	// coresChanged gets an element when a source names a core process for the first time.
	coresChanged chan struct{}

	mu      sync.Mutex
	sources map[string]*source
	// primary is the address of an entry's primary source, "" before the first one.
	primary string
	// firstReplyAt is when the first source answered, 0 before.
	firstReplyAt time.Duration
	// reports holds the latest reports by number, reported is the number of the last one.
	reports map[uint64][]Use
	// demandReports holds the demands of the latest reports.
	demandReports map[uint64]demandReport
	reported      uint64
	// coreNamedAt holds, by address, when a source last named a core process. coreDomains
	// holds the known failure domains of core processes.
	coreNamedAt map[string]time.Duration
	coreDomains map[string]string
	// entryNamedAt holds, by address, when a source last named an entry. entryList is made
	// of it at entriesListedAt.
	entryNamedAt    map[string]time.Duration
	entryList       []string
	entriesListedAt time.Duration
	// known holds the other entries by address, and others those of them that are in use.
	known    map[string]knownEntry
	others   []EntryState
	revision uint64
	// currentAt is the latest time, on the clock Uptime, at which no newer declaration than the one in force was agreed
	// on. It is valid if currentKnown is set.
	currentAt    time.Duration
	currentKnown bool
}

// NewFollower returns a follower without sources. Run starts polling.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{
		cfg: cfg, sources: map[string]*source{}, reports: map[uint64][]Use{}, demandReports: map[uint64]demandReport{}, coreNamedAt: map[string]time.Duration{},
		coresChanged: make(chan struct{}, 1), coreDomains: map[string]string{}, entryNamedAt: map[string]time.Duration{},
		known: map[string]knownEntry{},
	}
}

// Sources returns the sorted addresses of the sources that are polled.
func (f *Follower) Sources() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.sources))
}

// FreshSources returns the number of sources that have answered within maxReplyAge.
func (f *Follower) FreshSources() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := 0
	for _, s := range f.sources {
		if f.isFresh(s) {
			fresh++
		}
	}
	return fresh
}

// KnowsLeader reports whether a source that has answered within maxReplyAge knows a leader.
func (f *Follower) KnowsLeader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sources {
		if f.isFresh(s) && !s.leaderless {
			return true
		}
	}
	return false
}

// DeclarationAge returns the time since no newer declaration than the one in force was agreed on, as far as sources have
// told, and whether they have told of such a time. Without it, a core process may have agreed on changes that are
// unknown here: it cannot be reached, or it cannot reach the others itself.
func (f *Follower) DeclarationAge() (age time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.uptime() - f.currentAt, f.currentKnown
}

// recordCurrent records how recent the deployment of a reply is, once it is in force. A source of an earlier release
// does not tell, but whether it knows a leader.
func (f *Follower) recordCurrent(address string, reply *pb.FollowReply, requestedUptime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply.Revision == 0 || f.revision < reply.Revision {
		return
	}
	if reply.CurrentAgo != nil || !reply.Leaderless {
		f.raiseCurrent(requestedUptime - max(reply.CurrentAgo.AsDuration(), 0))
	}
	if s := f.sources[address]; s != nil && reply.SettledAgo != nil {
		s.voters, s.voterSet, s.settledAt = reply.Voters, reply.VoterSet, requestedUptime-max(reply.SettledAgo.AsDuration(), 0)
		f.raiseBySettled(s)
	}
}

// ApplyRelayed applies the deployment and its age that another entry has sent, as a reply to a request at a time on the
// clock Uptime. It helps an entry that reaches other entries but no core process.
func (f *Follower) ApplyRelayed(reply *pb.FollowReply, requestedAt time.Duration) {
	f.applyDeployment(reply)
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply.CurrentAgo != nil && reply.Revision > 0 && f.revision >= reply.Revision {
		f.raiseCurrent(requestedAt - max(reply.CurrentAgo.AsDuration(), 0))
	}
}

// raiseCurrent records that no newer declaration than the one in force was agreed on at a time. f.mu must be held.
func (f *Follower) raiseCurrent(at time.Duration) {
	if !f.currentKnown || at > f.currentAt {
		f.currentAt, f.currentKnown = at, true
	}
}

// raiseBySettled records what a majority of the voters prove, also while they have no leader: what was agreed on at a
// time was in the log of one of them, and they have applied it. They must have the same voters, since one with other
// voters may have been replaced. f.mu must be held.
func (f *Follower) raiseBySettled(latest *source) {
	var times []time.Duration
	for _, s := range f.sources {
		if s.voters == latest.voters && s.voterSet == latest.voterSet {
			times = append(times, s.settledAt)
		}
	}
	slices.SortFunc(times, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	if majority := int(latest.voters)/2 + 1; latest.voters > 0 && len(times) >= majority {
		f.raiseCurrent(times[majority-1])
	}
}

// Revision returns the revision of the last deployment that was passed to OnDeployment.
func (f *Follower) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// pollRevision returns the revision to send in polls: sources send only newer deployments.
// It is the highest possible one in processes that get the deployment from the replicated
// log, so that they receive none.
func (f *Follower) pollRevision() uint64 {
	if f.cfg.OnDeployment == nil {
		return math.MaxUint64
	}
	return f.Revision()
}

// countEntries returns the number of entries that sources have named.
func (f *Follower) countEntries() int {
	if f.cfg.Entry {
		return len(f.Entries())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.sources {
		n += len(s.entries)
	}
	return n
}

// pollWait returns how long a source may hold a poll.
func (f *Follower) pollWait(primary bool) time.Duration {
	intervals := intervalsFor(f.cfg.Objective, f.countEntries())
	switch {
	case f.cfg.Entry && primary:
		return intervals.EntryWait
	case f.cfg.ShareLoads:
		return intervals.LoadsWait
	}
	return maxWait
}

// applyDirectory applies the store states and directory changes of a reply to the view of
// its source. If reset is true, the blocks of the view are removed first. It does nothing in
// core processes.
func (f *Follower) applyDirectory(address string, reply *pb.FollowReply, reset bool) {
	f.mu.Lock()
	s := f.sources[address]
	f.mu.Unlock()
	if s == nil || !f.cfg.Entry {
		return
	}
	now := f.cfg.Now()
	var states []bluebelldirectory.StoreState
	for _, m := range reply.Stores {
		states = append(states, bluebelldirectory.StoreState{
			Address: m.Address, UsedTokens: int(m.UsedTokens), Removed: m.Removed,
			Following: m.FollowedFor != nil, FollowedSince: now - m.FollowedFor.AsDuration(),
		})
	}
	var changes []bluebelldirectory.Change
	for _, m := range reply.Blocks {
		block := bluebelldirectory.Block{Key: bluebelldirectory.Key{Scope: m.Scope, ID: m.ID}, Tokens: int(m.Tokens)}
		changes = append(changes, bluebelldirectory.Change{Store: m.Store, Block: block, Gone: m.Gone})
	}
	s.directory.Apply(states, changes, reset, reply.DirectoryMore, now)
}

// Loading returns the sorted IDs of the endpoints that are about to load other weights.
func (f *Follower) Loading() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]bool{}
	for _, s := range f.sources {
		if !f.isFresh(s) {
			continue
		}
		for _, name := range s.loading {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// isFresh reports whether a source has answered within maxReplyAge. f.mu must be held.
func (f *Follower) isFresh(s *source) bool {
	return s.lastReplyAt > 0 && f.cfg.Now()-s.lastReplyAt < maxReplyAge
}

// Run polls sources until the context ends, with one loop for each source.
func (f *Follower) Run(ctx context.Context) {
	var loops conc.WaitGroup
	defer loops.Wait()
	for ctx.Err() == nil {
		f.choosePrimary()
		for _, address := range f.unfollowed() {
			sourceCtx, cancel := context.WithCancel(ctx)
			f.mu.Lock()
			f.sources[address] = &source{cancel: cancel, startedAt: f.cfg.Now(), directory: bluebelldirectory.NewView()}
			f.mu.Unlock()
			loops.Go(func() { f.pollSource(sourceCtx, address) })
		}
		f.dropStaleSources()
		select {
		case <-time.After(maxRetryDelay):
		case <-f.coresChanged:
		case <-ctx.Done():
		}
	}
}

// wake makes Run look for sources.
func (f *Follower) wake() {
	select {
	case f.coresChanged <- struct{}{}:
	default:
	}
}

// unfollowed returns the seeds and then the named core processes that are not polled yet, as
// many as MaxSources allows, and one in the follower's failure domain. Sources that do not
// answer, except those just started, do not count towards MaxSources.
func (f *Follower) unfollowed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	room, near := f.cfg.MaxSources, 0
	for address, s := range f.sources {
		if !f.isFresh(s) && now-s.startedAt >= maxReplyAge {
			continue
		}
		room--
		if f.isNear(address) {
			near++
		}
	}
	var addresses []string
	for _, address := range slices.Concat(f.nearCores(), f.cfg.Seeds(), slices.Sorted(maps.Keys(f.coreNamedAt))) {
		if address == f.cfg.Process || f.sources[address] != nil || slices.Contains(addresses, address) {
			continue
		}
		switch {
		case f.isNear(address) && near == 0:
			near++
		case room <= 0:
			continue
		}
		addresses = append(addresses, address)
		room--
	}
	return addresses
}

// dropStaleSources stops polling sources that have not answered for sourceRetention and that
// are neither seeds nor named by another source.
func (f *Follower) dropStaleSources() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	for address, at := range f.coreNamedAt {
		if now-at > sourceRetention {
			delete(f.coreNamedAt, address)
		}
	}
	seeds := f.cfg.Seeds()
	for address, s := range f.sources {
		_, named := f.coreNamedAt[address]
		if named || slices.Contains(seeds, address) || now-max(s.startedAt, s.lastReplyAt) < sourceRetention {
			continue
		}
		s.cancel()
		delete(f.sources, address)
		f.cfg.Logger.Info("unresponsive source dropped", "Source", address)
	}
}

// pollSource polls one source until the context ends.
func (f *Follower) pollSource(ctx context.Context, address string) {
	position := pollPosition{}
	usage := usagePosition{}
	delay := minRetryDelay
	unreachable := true
	for ctx.Err() == nil {
		request := f.nextRequest(address, position)
		f.addUsage(request, &usage)
		requestedAt, requestedUptime := f.cfg.Now(), f.cfg.uptime()
		callCtx, cancel := context.WithTimeout(ctx, maxWait+pollSlack)
		reply, err := f.cfg.Poll(callCtx, address, request)
		cancel()
		if err != nil {
			if !unreachable && ctx.Err() == nil {
				f.cfg.Logger.Warn("source became unreachable", "Source", address, "Error", err)
			}
			unreachable = true
			sleep(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		if unreachable {
			f.cfg.Logger.Info("source became reachable", "Source", address, "Revision", reply.Revision)
		}
		unreachable, delay = false, minRetryDelay
		if f.cfg.OnTime != nil {
			f.cfg.OnTime(address, reply.UnixNanos, requestedAt, f.cfg.Now())
		}
		usage = usage.received(reply.Epoch != position.epoch)
		if request.Primary {
			reset := reply.Epoch != position.epoch || position.directoryCursor == 0
			f.applyDirectory(address, reply, reset)
		}
		f.applyReply(ctx, address, request, reply)
		f.recordCurrent(address, reply, requestedUptime)
		position = pollPosition{epoch: reply.Epoch, cursor: reply.Cursor}
		if request.Primary {
			position.directoryCursor = reply.DirectoryCursor
		}
	}
}

// pollPosition is how far a follower has followed a source. The position in the directory is
// 0 while the source is not the primary one: its view is then out of date.
type pollPosition struct {
	epoch, cursor, directoryCursor uint64
}

// nextRequest returns the next poll of a source.
func (f *Follower) nextRequest(address string, at pollPosition) *pb.FollowRequest {
	f.mu.Lock()
	primary := f.cfg.ShareLoads || f.cfg.Entry && f.primary == address
	f.mu.Unlock()
	r := &pb.FollowRequest{
		Process: f.cfg.Process, Entry: f.cfg.Entry, Epoch: at.epoch, Cursor: at.cursor, Primary: primary,
		Revision: f.pollRevision(), Wait: durationpb.New(f.pollWait(primary)), DirectoryCursor: at.directoryCursor,
		FailureDomain: f.cfg.FailureDomain,
	}
	if !primary {
		return r
	}
	var uses []Use
	if f.cfg.Uses != nil {
		uses = f.cfg.Uses()
		r.Uses = encodeReport(uses, f.cfg.Now())
	}
	var demands Demands
	if f.cfg.Demands != nil {
		demands = f.cfg.Demands()
		r.Demands = encodeDemands(demands)
	}
	if f.cfg.Suspicions != nil {
		r.Suspicions = encodeSuspicions(f.cfg.Suspicions(), f.cfg.Now())
	}
	if f.cfg.LostTargets != nil {
		r.LostTargets = f.cfg.LostTargets()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reported++
	r.Report = f.reported
	f.reports[r.Report] = uses
	delete(f.reports, r.Report-keptReports)
	f.demandReports[r.Report] = demandReport{demands: demands, at: f.cfg.Now()}
	delete(f.demandReports, r.Report-keptReports)
	if s := f.sources[address]; s != nil {
		r.KnownNames, r.EntriesVersion = uint32(len(s.names)), s.entriesVersion
	}
	return r
}

// applyReply records the contents of a reply, except the directory.
func (f *Follower) applyReply(ctx context.Context, address string, request *pb.FollowRequest, reply *pb.FollowReply) {
	now := f.cfg.Now()
	for _, m := range reply.Registrations {
		e := bluebellfleet.FromMessage(m, now)
		if f.cfg.Registry.Merge(e) == bluebellfleet.Changed {
			f.cfg.Logger.Info("endpoint registration changed", "ID", e.ID, "Target", e.Target, "Address", e.Address, "State", e.State,
				"Born", e.StartUnixMillis, "Sequence", e.Sequence, "Cold", e.ColdUntil > now, "Source", address)
		}
	}
	for _, age := range reply.Ages {
		f.cfg.Registry.Heard(age.ID, now-time.Duration(age.Millis)*time.Millisecond)
	}
	if f.recordStatus(ctx, address, request, reply, now) {
		f.passSuspicions(address, request, reply, now)
		f.applyDeployment(reply)
		f.choosePrimary()
		if request.Primary && f.cfg.OnLoads != nil {
			f.cfg.OnLoads()
		}
	}
}

// passSuspicions passes the suspicions of a reply on.
func (f *Follower) passSuspicions(address string, request *pb.FollowRequest, reply *pb.FollowReply, now time.Duration) {
	if f.cfg.OnPeerSuspicions != nil {
		f.cfg.OnPeerSuspicions(address, decodeSuspicions(reply.Suspicions, now))
	}
	if f.cfg.OnSuspected == nil || !request.Primary {
		return
	}
	keys := make([]bluebellquarantine.Key, 0, len(reply.Suspected))
	for _, key := range reply.Suspected {
		keys = append(keys, bluebellquarantine.Key(key))
	}
	f.cfg.OnSuspected(keys)
}

// recordStatus records the loading endpoints, registration ages, loads and core processes of a
// reply. It records nothing and returns false if the source is no longer polled.
func (f *Follower) recordStatus(ctx context.Context, address string, request *pb.FollowRequest, reply *pb.FollowReply, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	if s == nil || ctx.Err() != nil {
		return false
	}
	if !f.isFresh(s) {
		s.answersSince = now
	}
	s.lastReplyAt, s.loading, s.leaderless = now, reply.Loading, reply.Leaderless
	s.epoch, s.cursor = reply.Epoch, reply.Cursor
	s.ages = make(map[string]time.Duration, len(reply.Ages))
	for _, age := range reply.Ages {
		s.ages[age.ID] = now - time.Duration(age.Millis)*time.Millisecond
	}
	if request.Primary {
		f.recordLoads(address, s, request, reply, now)
	} else {
		s.names, s.uses, s.demands, s.entries, s.entriesVersion = nil, nil, nil, nil, 0
		// The view is no longer updated, and is loaded again if the source becomes primary.
		s.directory = bluebelldirectory.NewView()
	}
	if f.firstReplyAt == 0 {
		f.firstReplyAt = now
	}
	for i, core := range reply.Cores {
		if _, known := f.coreNamedAt[core]; !known {
			f.wake()
		}
		f.coreNamedAt[core] = now
		if i < len(reply.CoreDomains) && reply.CoreDomains[i] != "" {
			f.coreDomains[core] = reply.CoreDomains[i]
		}
	}
	return true
}

// applyDeployment passes the deployment of a reply to OnDeployment if it is newer. It does
// not hold f.mu during the call, so OnDeployment may call methods of the follower.
func (f *Follower) applyDeployment(reply *pb.FollowReply) {
	if f.cfg.OnDeployment == nil || reply.Deployment == nil {
		return
	}
	f.deploymentMu.Lock()
	defer f.deploymentMu.Unlock()
	if reply.Revision <= f.Revision() {
		return
	}
	f.cfg.OnDeployment(reply.Revision, reply.Deployment)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = reply.Revision
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
