package bluebellfeed_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"bluebellhaven.org/bluebell/bluebelldirectory"
	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebellpressure"
)

const (
	timeout = 10 * time.Second
	// answerAge is the age of the answer that entries report.
	answerAge = 500 * time.Millisecond
)

// core is a source with its registry and directory.
type core struct {
	*bluebellfeed.Source
	registry  *bluebellfleet.Registry
	directory *bluebelldirectory.Directory
	down      atomic.Bool
	polls     atomic.Int64 // answered
	// primaryPolls counts the answered polls of entries for which the core process is primary.
	primaryPolls atomic.Int64
	primaryMu    sync.Mutex
	primaryOf    map[string]int // the same, by entry
	// alter, if not nil, changes each reply.
	alter func(*pb.FollowReply)
	// peers returns the loads of the other core processes.
	peers func() []bluebellfeed.PeerLoads
	// settled is that of the source. It may be nil.
	settled func() (age time.Duration, known bool, voters []string)
}

// poll answers a poll, or fails while the core process is down.
func (c *core) poll(ctx context.Context, r *pb.FollowRequest) (*pb.FollowReply, error) {
	if c == nil || c.down.Load() {
		return nil, errors.New("core process does not answer")
	}
	c.polls.Add(1)
	if r.Entry && r.Primary {
		c.primaryPolls.Add(1)
		c.primaryMu.Lock()
		c.primaryOf[r.Process]++
		c.primaryMu.Unlock()
	}
	reply := c.Answer(ctx, r)
	if c.alter != nil {
		c.alter(reply)
	}
	return reply, nil
}

// polledAsPrimary returns the number of answered polls of an entry for which the core process
// is primary.
func (c *core) polledAsPrimary(entry string) int {
	c.primaryMu.Lock()
	defer c.primaryMu.Unlock()
	return c.primaryOf[entry]
}

// deployment is a set of core processes with a common clock.
type deployment struct {
	started time.Time
	cores   map[string]*core
}

func (d *deployment) now() time.Duration { return time.Since(d.started) + time.Second }

func newDeployment(names ...string) *deployment {
	d := &deployment{started: time.Now(), cores: map[string]*core{}}
	for i, name := range names {
		c := &core{
			registry: bluebellfleet.NewRegistry(bluebellfleet.Config{Now: d.now}), directory: bluebelldirectory.New(),
			primaryOf: map[string]int{}, peers: func() []bluebellfeed.PeerLoads { return nil },
		}
		c.Source = bluebellfeed.NewSource(bluebellfeed.SourceConfig{
			Registry: c.registry, Directory: c.directory, Epoch: uint64(i + 1), Cores: func() []string { return names }, Now: d.now, After: time.After,
			Domain: domainOf, PeerLoads: func() []bluebellfeed.PeerLoads { return c.peers() },
			Settled: func() (time.Duration, bool, []string) {
				if c.settled == nil {
					return 0, false, nil
				}
				return c.settled()
			},
		})
		d.cores[name] = c
	}
	return d
}

// domainOf returns the failure domain of a process, which is the part of its name before a /.
func domainOf(name string) string {
	domain, _, found := strings.Cut(name, "/")
	if !found {
		return ""
	}
	return domain
}

// shareLoads makes the core processes follow each other.
func (d *deployment) shareLoads(t *testing.T) {
	t.Helper()
	var followers []*bluebellfeed.Follower
	for name, c := range d.cores {
		f := bluebellfeed.NewFollower(bluebellfeed.FollowerConfig{
			Process: name, ShareLoads: true, Seeds: func() []string { return slices.Sorted(maps.Keys(d.cores)) }, MaxSources: len(d.cores),
			Registry: c.registry, Now: d.now, Logger: log.New(io.Discard),
			Poll: func(ctx context.Context, source string, r *pb.FollowRequest) (*pb.FollowReply, error) {
				return d.cores[source].poll(ctx, r)
			},
		})
		c.peers = f.PeerLoads
		followers = append(followers, f)
	}
	for _, f := range followers {
		run(t, f)
	}
}

// run runs a follower until the end of the test.
func run(t *testing.T, f *bluebellfeed.Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// entry is a follower with the registry it fills and the revisions it has received.
type entry struct {
	*bluebellfeed.Follower
	registry  *bluebellfleet.Registry
	mu        sync.Mutex
	revisions []uint64
	lost      []string
}

// lose sets the targets that the entry has lost.
func (e *entry) lose(targets ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost = targets
}

func (e *entry) lostTargets() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lost
}

func (d *deployment) follow(t *testing.T, name string, seeds ...string) *entry {
	t.Helper()
	e := &entry{registry: bluebellfleet.NewRegistry(bluebellfleet.Config{Now: d.now})}
	e.Follower = bluebellfeed.NewFollower(bluebellfeed.FollowerConfig{
		Process: name, Entry: true, FailureDomain: domainOf(name), Seeds: func() []string { return seeds }, MaxSources: 3, Registry: e.registry,
		OnDeployment: func(revision uint64, _ *pb.Deployment) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.revisions = append(e.revisions, revision)
		},
		Uses: func() []bluebellfeed.Use {
			return []bluebellfeed.Use{
				{Endpoint: "i-1", Calls: 1, Tokens: 100, Unread: 10, UnreadByPriority: bluebellplacement.TokensByPriority{3: 4, 5: 6}},
				{
					Endpoint: "i-2", Failing: 1, AnsweredAt: d.now() - answerAge,
					Limit:   bluebellplacement.RateLimit{Named: true, PerSecond: 1.4, At: d.now() - answerAge},
					Brittle: bluebellplacement.RateLimit{Named: true, PerSecond: 3, At: d.now() - answerAge},
					Report:  bluebellplacement.LoadReport{Running: 3, Waiting: 2, Slots: 8, WorkPercent: 140, At: d.now() - answerAge},
					Speed:   bluebellplacement.NewSpeed(47_000, 3),
				},
				{Endpoint: "s-1", Calls: 2, Waited: time.Minute},
			}
		},
		Demands: func() bluebellfeed.Demands {
			return bluebellfeed.Demands{"llm": {
				Waiting: bluebellplacement.TokensByPriority{5: 2}, Tokens: bluebellplacement.TokensByPriority{5: 24_000},
				Returning: [bluebellpressure.ReturnSteps]int{40: 1},
			}}
		},
		Poll: func(ctx context.Context, source string, r *pb.FollowRequest) (*pb.FollowReply, error) {
			return d.cores[source].poll(ctx, r)
		},
		LostTargets: e.lostTargets, Now: d.now, Logger: log.New(io.Discard),
	})
	run(t, e.Follower)
	return e
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, timeout, 5*time.Millisecond, what)
}

func TestFollowerRevisionIncreases(t *testing.T) {
	d := newDeployment("c1", "c2")
	d.cores["c1"].SetDeployment(5, &pb.Deployment{Version: 5})
	d.cores["c2"].SetDeployment(3, &pb.Deployment{Version: 3})
	e := d.follow(t, "e1", "c1", "c2")
	eventually(t, "revision 5", func() bool { return e.Revision() == 5 })
	d.cores["c2"].SetDeployment(8, &pb.Deployment{Version: 8})
	eventually(t, "revision 8", func() bool { return e.Revision() == 8 })
	d.cores["c1"].SetDeployment(7, &pb.Deployment{Version: 7})
	eventually(t, "both sources answer", func() bool { return e.FreshSources() == 2 })
	e.mu.Lock()
	defer e.mu.Unlock()
	require.IsIncreasing(t, e.revisions)
}

func TestSourceIgnoresOlderRevision(t *testing.T) {
	d := newDeployment("c1")
	d.cores["c1"].SetDeployment(5, &pb.Deployment{Version: 5})
	d.cores["c1"].SetDeployment(4, &pb.Deployment{Version: 4})
	current, revision := d.cores["c1"].Deployment()
	require.Equal(t, uint64(5), revision)
	require.Equal(t, uint64(5), current.Version)
}

// The wait of a poll never ends in this test, so that only a change can end the poll.
func TestChangeEndsPoll(t *testing.T) {
	d := newDeployment()
	registry := bluebellfleet.NewRegistry(bluebellfleet.Config{Now: d.now})
	source := bluebellfeed.NewSource(bluebellfeed.SourceConfig{
		Registry: registry, Directory: bluebelldirectory.New(), Epoch: 1, Cores: func() []string { return nil }, Now: d.now,
		After: func(time.Duration) <-chan time.Time { return nil },
	})
	poll := func(r *pb.FollowRequest) chan *pb.FollowReply {
		replies := make(chan *pb.FollowReply, 1)
		go func() { replies <- source.Answer(context.Background(), r) }()
		return replies
	}
	first := <-poll(&pb.FollowRequest{Process: "e1", Entry: true})
	for _, change := range []func(){
		func() {
			registry.Merge(bluebellfleet.Endpoint{ID: "i-1", Target: "llm", State: bluebellfleet.Serving, StartUnixMillis: 1, Sequence: 1})
		},
		func() { source.SetDeployment(7, &pb.Deployment{Version: 7}) },
		func() { source.SetLoading([]string{"i-1"}) },
		func() { registry.MarkGone("i-1", 0) },
	} {
		replies := poll(&pb.FollowRequest{Process: "e1", Entry: true, Epoch: 1, Cursor: first.Cursor, Revision: first.Revision})
		select {
		case <-replies:
			require.Fail(t, "poll was answered without a change")
		case <-time.After(20 * time.Millisecond):
		}
		change()
		select {
		case first = <-replies:
		case <-time.After(timeout):
			require.Fail(t, "poll was not answered after a change")
		}
	}
}

// A follower that receives no deployment (OnDeployment is nil) must not always appear to have
// an older revision: its source would answer every poll without waiting.
func TestPollWithoutChangeIsHeld(t *testing.T) {
	d := newDeployment("c1")
	d.cores["c1"].SetDeployment(5, &pb.Deployment{Version: 5})
	registry := bluebellfleet.NewRegistry(bluebellfleet.Config{Now: d.now})
	f := bluebellfeed.NewFollower(bluebellfeed.FollowerConfig{
		Process: "c2", Seeds: func() []string { return []string{"c1"} }, MaxSources: 3, Registry: registry,
		Poll: func(ctx context.Context, source string, r *pb.FollowRequest) (*pb.FollowReply, error) {
			d.cores[source].polls.Add(1)
			return d.cores[source].Answer(ctx, r), nil
		},
		Now: d.now, Logger: log.New(io.Discard),
	})
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	f.Run(ctx)
	require.LessOrEqual(t, d.cores["c1"].polls.Load(), int64(6), "each poll is held for 500 ms")
}

func TestFollowerKeepsStateWithoutSources(t *testing.T) {
	d := newDeployment("c1", "c2")
	d.cores["c1"].SetDeployment(5, &pb.Deployment{Version: 5})
	d.cores["c1"].registry.Merge(bluebellfleet.Endpoint{ID: "i-1", Target: "llm", State: bluebellfleet.Serving, StartUnixMillis: 1, Sequence: 1})
	d.cores["c2"].down.Store(true)
	e := d.follow(t, "e1", "c1", "c2")
	eventually(t, "revision 5", func() bool { return e.Revision() == 5 && len(e.registry.Endpoints()) == 1 })
	d.cores["c1"].down.Store(true)
	eventually(t, "no source answers", func() bool { return e.FreshSources() == 0 })
	require.Equal(t, uint64(5), e.Revision())
	require.Len(t, e.registry.Endpoints(), 1)
	require.Nil(t, e.Directory(), "the directory must not be used without a source")
	d.cores["c2"].down.Store(false)
	d.cores["c2"].SetDeployment(6, &pb.Deployment{Version: 6})
	eventually(t, "revision 6", func() bool { return e.Revision() == 6 })
}

func TestFollowerFindsCoreProcessNamedBySource(t *testing.T) {
	d := newDeployment("c1", "c2")
	d.cores["c2"].SetDeployment(9, &pb.Deployment{Version: 9})
	e := d.follow(t, "e1", "c1", "gone")
	eventually(t, "revision 9", func() bool { return e.Revision() == 9 })
}

func TestEntriesExchangeUses(t *testing.T) {
	d := newDeployment("c1")
	e1 := d.follow(t, "e1", "c1")
	d.follow(t, "e2", "c1")
	d.follow(t, "e3", "c1")
	eventually(t, "three entries are known", func() bool { return len(e1.Entries()) == 3 })
	eventually(t, "the sum of the uses of the two other entries", func() bool {
		uses := map[string]bluebellfeed.Use{}
		for _, u := range e1.UsesOfOthers() {
			uses[u.Endpoint] = u
		}
		busy, failing, store := uses["i-1"], uses["i-2"], uses["s-1"]
		if store.Calls != 4 || store.Waited < 2*time.Minute || store.Waited > 2*time.Minute+4*timeout {
			return false
		}
		answeredAgo := d.now() - failing.AnsweredAt
		return len(uses) == 3 && busy == (bluebellfeed.Use{Endpoint: "i-1", Calls: 2, Tokens: 200, Unread: 20, UnreadByPriority: bluebellplacement.TokensByPriority{3: 8, 5: 12}}) &&
			failing.Failing == 2 && answeredAgo >= answerAge && answeredAgo < answerAge+timeout &&
			failing.Limit.Named && failing.Limit.PerSecond == 1.4 && d.now()-failing.Limit.At >= answerAge &&
			failing.Brittle.Named && failing.Brittle.PerSecond == 3 && d.now()-failing.Brittle.At >= answerAge
	})
}

func TestFollowerAppliesDirectoryChanges(t *testing.T) {
	d := newDeployment("c1")
	key := bluebelldirectory.Key{Scope: "*/m0/1", ID: "a"}
	d.cores["c1"].directory.Reset("s1", []bluebelldirectory.Block{{Key: key, Tokens: 9}}, 0)
	e := d.follow(t, "e1", "c1")
	holders := func() int {
		if v := e.Directory(); v != nil {
			return len(v.Holders(key, d.now()))
		}
		return -1
	}
	eventually(t, "the block is listed", func() bool { return holders() == 1 })
	d.cores["c1"].directory.Remove("s1", key)
	eventually(t, "the block is removed", func() bool { return holders() == 0 })
}

// A reply with the directory of full stores takes too long on a slow link. When all entries
// start at once, each must get the deployment with its first reply and the directory in pages.
func TestLargeDirectoryIsSentInPages(t *testing.T) {
	const blocks, page = 2300, 500
	d := newDeployment("c1")
	var held []bluebelldirectory.Block
	for i := range blocks {
		held = append(held, bluebelldirectory.Block{Key: bluebelldirectory.Key{Scope: "*/m0/1", ID: fmt.Sprint(i)}, Tokens: 1})
	}
	c := d.cores["c1"]
	c.directory.Reset("s1", held, 0)
	c.SetDeployment(9, &pb.Deployment{Version: 9})
	first := c.Answer(context.Background(), &pb.FollowRequest{Process: "e0", Entry: true, Primary: true})
	require.Equal(t, uint64(9), first.Revision)
	require.NotNil(t, first.Deployment)
	require.Len(t, first.Blocks, page)
	require.True(t, first.DirectoryMore)
	e := d.follow(t, "e1", "c1")
	eventually(t, "the last block is listed", func() bool {
		v := e.Directory()
		return v != nil && len(v.Holders(held[blocks-1].Key, d.now())) == 1
	})
	for _, b := range held {
		require.Len(t, e.Directory().Holders(b.Key, d.now()), 1)
	}
	require.Contains(t, e.Directory().WritableStores(time.Hour), "s1", "the view must not be partial after the last page")
}

// In a network partition, or when an entry loses all its sources, the limits that entries
// share must still hold for all entries together. Each entry therefore still counts the
// entries that it knew before.
func TestUnreachableEntriesStillCountForSharedLimits(t *testing.T) {
	d := newDeployment("c1", "c2")
	e1 := d.follow(t, "e1", "c1")
	other := d.follow(t, "e2", "c1")
	d.follow(t, "e3", "c1")
	eventually(t, "three entries are known", func() bool { return len(e1.Entries()) == 3 && len(other.Entries()) == 3 })
	d.cores["c1"].down.Store(true)
	eventually(t, "c2 is polled", func() bool {
		return d.cores["c2"].polls.Load() > 0
	})
	d.cores["c2"].down.Store(true)
	eventually(t, "no source answers", func() bool { return e1.FreshSources() == 0 })
	require.Len(t, e1.Entries(), 3)
	require.Empty(t, e1.UsesOfOthers(), "uses must not be returned without a source")
}

// An entry of a cut-off domain follows core processes that know no leader.
func TestEntryKnowsWhetherSourcesHaveLeader(t *testing.T) {
	d := newDeployment("c1", "c2")
	leaderless := func(r *pb.FollowReply) { r.Leaderless = true }
	d.cores["c1"].alter, d.cores["c2"].alter = leaderless, leaderless
	cutOff := d.follow(t, "e1", "c1", "c2")
	eventually(t, "both sources answer", func() bool { return cutOff.FreshSources() == 2 })
	require.False(t, cutOff.KnowsLeader())
	d = newDeployment("c1", "c2")
	d.cores["c1"].alter = leaderless
	e := d.follow(t, "e1", "c1", "c2")
	eventually(t, "one source knows a leader", e.KnowsLeader)
}

// Guards against an entry that takes its deployment for the latest one although its sources cannot know that: none
// answers, or none has heard from the others lately. A source of an earlier release says only whether it has a leader.
func TestAgeOfDeclaration(t *testing.T) {
	ago := func(d time.Duration) func(*pb.FollowReply) {
		return func(r *pb.FollowReply) { r.CurrentAgo = durationpb.New(d) }
	}
	for name, c := range map[string]struct {
		first, second func(*pb.FollowReply)
		min, max      time.Duration
		unknown       bool
	}{
		"Current":               {first: ago(0), second: ago(time.Hour), max: time.Second},
		"Behind":                {first: ago(time.Minute), second: ago(time.Hour), min: time.Minute, max: time.Minute + time.Second},
		"EarlierRelease":        {first: func(*pb.FollowReply) {}, second: ago(time.Hour), max: time.Second},
		"EarlierWithoutLeader":  {first: func(r *pb.FollowReply) { r.Leaderless = true }, second: func(r *pb.FollowReply) { r.Leaderless = true }, unknown: true},
		"LaterThanTheRevision":  {first: func(r *pb.FollowReply) { r.Revision, r.Deployment = 9, nil }, second: func(r *pb.FollowReply) { r.Leaderless = true }, unknown: true},
		"WithoutAnyDeclaration": {first: func(r *pb.FollowReply) { r.Revision = 0 }, second: func(r *pb.FollowReply) { r.Revision = 0 }, unknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment("c1", "c2")
			for _, core := range d.cores {
				core.SetDeployment(5, &pb.Deployment{Version: 1})
			}
			d.cores["c1"].alter, d.cores["c2"].alter = c.first, c.second
			e := d.follow(t, "e1", "c1", "c2")
			eventually(t, "both sources answer twice", func() bool { return d.cores["c1"].polls.Load() > 2 && d.cores["c2"].polls.Load() > 2 })
			age, known := e.DeclarationAge()
			require.Equal(t, !c.unknown, known)
			if known {
				require.GreaterOrEqual(t, age, c.min)
				require.Less(t, age, c.max)
				for _, core := range d.cores {
					core.down.Store(true)
				}
				time.Sleep(1200 * time.Millisecond)
				later, _ := e.DeclarationAge()
				require.GreaterOrEqual(t, later-age, 500*time.Millisecond)
			}
		})
	}
}

// Guards against an entry that waits for a leader although a majority of the voters shows that no newer declaration was
// agreed on, and against one that believes fewer voters, or voters that may have been replaced.
func TestMajorityOfVotersShowsThatDeclarationIsCurrent(t *testing.T) {
	three, other := []string{"c1", "c2", "c3"}, []string{"c1", "c2", "c4"}
	for name, c := range map[string]struct {
		settled map[string][]string
		age     map[string]time.Duration
		current bool
	}{
		"Majority":         {settled: map[string][]string{"c1": three, "c2": {"c3", "c2", "c1"}}, current: true},
		"All":              {settled: map[string][]string{"c1": three, "c2": three, "c3": three}, age: map[string]time.Duration{"c2": time.Hour}, current: true},
		"OneOfThree":       {settled: map[string][]string{"c1": three}},
		"OtherVoters":      {settled: map[string][]string{"c1": three, "c2": other}},
		"OneLongAgo":       {settled: map[string][]string{"c1": three, "c2": three}, age: map[string]time.Duration{"c2": time.Hour}},
		"TwoOfFour":        {settled: map[string][]string{"c1": {"c1", "c2", "c3", "c4"}, "c2": {"c1", "c2", "c3", "c4"}}},
		"OnlyVoter":        {settled: map[string][]string{"c1": {"c1"}}, current: true},
		"NoVoterIsSettled": {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment("c1", "c2", "c3")
			for process, core := range d.cores {
				core.SetDeployment(5, &pb.Deployment{Version: 1})
				core.settled = func() (time.Duration, bool, []string) {
					voters := c.settled[process]
					return c.age[process], voters != nil, voters
				}
				core.alter = func(r *pb.FollowReply) { r.Leaderless = true }
			}
			e := d.follow(t, "e1", "c1", "c2", "c3")
			eventually(t, "all sources answer twice", func() bool {
				return d.cores["c1"].polls.Load() > 2 && d.cores["c2"].polls.Load() > 2 && d.cores["c3"].polls.Load() > 2
			})
			age, known := e.DeclarationAge()
			require.Equal(t, c.current, known && age < 2*time.Second, "known %v, age %v", known, age)
		})
	}
}
