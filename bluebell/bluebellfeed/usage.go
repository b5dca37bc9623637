package bluebellfeed

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellusage"
)

// An entry reports the usage that it has counted to all its sources. The totals are cumulative, so a report that
// was lost is covered by the next one, and one source is enough. Each source is sent only what has changed since
// its latest reply; a source that has restarted is sent everything.

const (
	// usageInterval is the shortest time between two usage reports to one source, unless a window has ended.
	usageInterval = 500 * time.Millisecond
	// usageSpread is the time within which entries report a window that has ended. 295 entries at once would
	// occupy a core process with half a core for over 0.1 s.
	usageSpread = 200 * time.Millisecond
)

// usagePosition is what a source has received of the usage reports.
type usagePosition struct {
	cursor bluebellusage.Cursor
	// sent is the cursor of the report in the latest poll, which counts once the source has replied.
	sent bluebellusage.Cursor
	// reportedAt is when the latest report was sent, and endsAt when the end of the current window is to be reported.
	reportedAt, endsAt time.Duration
}

// addUsage adds the usage report that is due to a poll of a source, and lets the poll end when the current window
// has ended.
func (f *Follower) addUsage(r *pb.FollowRequest, at *usagePosition) {
	if f.cfg.Usage == nil {
		return
	}
	now := f.cfg.Now()
	at.sent = at.cursor
	ended := now >= at.endsAt
	if ended || now-at.reportedAt >= usageInterval {
		report, cursor := f.cfg.Usage(at.cursor)
		r.Usage, at.sent = report, cursor
		if report != nil {
			at.reportedAt = now
		}
	}
	if ended {
		at.endsAt = now + f.cfg.UsageWindowEnd() + f.usageDelay()
	}
	if wait := at.endsAt - now; wait < r.Wait.AsDuration() {
		r.Wait = durationpb.New(wait)
	}
}

// usageDelay returns how long after the end of a window this entry reports it. Entries differ in it.
func (f *Follower) usageDelay() time.Duration {
	return time.Duration(f.rank("usage") % uint64(usageSpread))
}

// received returns the position after a reply. restarted is set if the source has not answered before, or not since
// its restart. It then has received only the latest report.
func (at usagePosition) received(restarted bool) usagePosition {
	if restarted && at.cursor != (bluebellusage.Cursor{}) {
		return usagePosition{}
	}
	at.cursor = at.sent
	return at
}

// FlushUsage reports all usage to the sources that answer, for an entry that stops. It returns once they have it, or
// ctx ends.
func (f *Follower) FlushUsage(ctx context.Context) {
	if f.cfg.Usage == nil {
		return
	}
	report, _ := f.cfg.Usage(bluebellusage.Cursor{})
	requests := map[string]*pb.FollowRequest{}
	revision := f.pollRevision()
	f.mu.Lock()
	for address, s := range f.sources {
		if f.isFresh(s) {
			requests[address] = &pb.FollowRequest{
				Process: f.cfg.Process, Entry: true, FailureDomain: f.cfg.FailureDomain, Epoch: s.epoch, Cursor: s.cursor,
				Revision: revision, Wait: durationpb.New(0), Usage: report,
			}
		}
	}
	f.mu.Unlock()
	var polls conc.WaitGroup
	for address, r := range requests {
		polls.Go(func() {
			if _, err := f.cfg.Poll(ctx, address, r); err != nil {
				f.cfg.Logger.Warn("last usage not reported", "Source", address, "Error", err)
			}
		})
	}
	polls.Wait()
}

// Entries returns the sorted addresses of the entries that follow this or another core process.
func (s *Source) Entries() []string { return s.loads.entries() }

// entries returns the sorted addresses of the entries that have polled this process or, by the latest replies,
// another one within entryTimeout.
func (l *loads) entries() []string {
	peers := l.peers()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	all := map[string]bool{}
	for process, s := range l.seen {
		if now-s.at <= entryTimeout {
			all[process] = true
		}
	}
	for _, p := range peers {
		for _, e := range p.Entries {
			all[e.Address] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
