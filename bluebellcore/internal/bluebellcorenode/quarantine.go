package bluebellcorenode

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellquarantine"
)

const (
	// judgeInterval is how often the leader judges what entries report.
	judgeInterval = 100 * time.Millisecond
	// confirmTime is how long the evidence must hold. Within it, entries learn what is suspect
	// and report the calls with it that they have served.
	confirmTime = 350 * time.Millisecond
	// verdictTimeout bounds the agreement on one verdict; the next round tries again.
	verdictTimeout = time.Second
	// refusedPause is how long a verdict that was refused is not proposed again.
	refusedPause = 5 * time.Second
)

// judge proposes quarantines, and lifts those that an answer has refuted, while this process leads.
type judge struct {
	ledger     *bluebellquarantine.Ledger
	deployment func() (*pb.Deployment, uint64)
	isLeader   func() bool
	propose    func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	now        func() time.Duration
	wallClock  func() time.Time
	logger     *log.Logger
	// accusedSince holds since when the evidence has been sufficient, by subject.
	accusedSince map[bluebellquarantine.Key]time.Duration
}

// Run judges at intervals until ctx ends.
func (j *judge) Run(ctx context.Context) {
	ticker := time.NewTicker(judgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !j.isLeader() {
			j.accusedSince = nil
			continue
		}
		for _, verdict := range j.verdicts() {
			callCtx, cancel := context.WithTimeout(ctx, verdictTimeout)
			result, err := j.propose(callCtx, &pb.Command{Body: &pb.Command_SetQuarantine{SetQuarantine: verdict}})
			cancel()
			j.logger.Warn("quarantine proposed", "Key", bluebellquarantine.Key(verdict.Key), "Depth", verdict.Depth, "Lifted", verdict.Lifted,
				"Reason", verdict.Reason, "Verdict", result.GetVerdict(), "Text", result.GetText(), "Error", err)
			if err == nil && result.Verdict != pb.Verdict_Accepted {
				j.accusedSince[bluebellquarantine.Key(verdict.Key)] = j.now() + refusedPause
			}
		}
	}
}

// verdicts returns the quarantines to set and to lift now.
func (j *judge) verdicts() []*pb.SetQuarantine {
	now := j.now()
	deployment, _ := j.deployment()
	history := j.history(now, deployment.GetQuarantines())
	suspects := j.ledger.Suspects(now)
	accusedSince := map[bluebellquarantine.Key]time.Duration{}
	var list []*pb.SetQuarantine
	for _, s := range bluebellquarantine.Judge(suspects, history) {
		since, known := j.accusedSince[s.Key]
		if !known {
			since = now
		}
		accusedSince[s.Key] = since
		if now-since >= confirmTime {
			list = append(list, &pb.SetQuarantine{Key: uint64(s.Key), Depth: uint32(s.Depth), Reason: "crashes endpoints"})
		}
	}
	j.accusedSince = accusedSince
	for _, s := range suspects {
		r := history[s.Key]
		if r.Active && len(s.Crashes) == 0 && s.ServedAt > r.Since {
			list = append(list, &pb.SetQuarantine{Key: uint64(s.Key), Lifted: true, Reason: "a call with it was answered"})
		}
	}
	return list
}

// history converts the quarantines to the monotonic clock of this process.
func (j *judge) history(now time.Duration, quarantines []*pb.Quarantine) map[bluebellquarantine.Key]bluebellquarantine.Record {
	wall := j.wallClock().UnixNano()
	at := func(unixNanos int64) time.Duration { return now + time.Duration(unixNanos-wall) }
	records := make(map[bluebellquarantine.Key]bluebellquarantine.Record, len(quarantines))
	for _, q := range quarantines {
		r := bluebellquarantine.Record{Active: wall < q.Until, Since: at(q.Since), Lifted: q.Lifted}
		if !r.Active {
			r.EndedAt = at(q.Until)
		}
		records[bluebellquarantine.Key(q.Key)] = r
	}
	return records
}
