// Package bluebelljudge lets the leader of the core processes put calls that crash endpoints in
// quarantine, and lift a quarantine that an answer has refuted. The evidence is what entries report
// (bluebellquarantine.Ledger), the quarantines are part of the replicated state.
//
// A Judge keeps nothing that a new leader would need: the evidence comes with the next polls, and the
// earlier verdicts from the log. Their times are times of day, which may differ between processes by
// some seconds, as terms last minutes.
//
// # Usage
//
//	judge := bluebelljudge.New(bluebelljudge.Config{...})
//	judge.Run(ctx)
package bluebelljudge

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

// Config sets up a Judge.
type Config struct {
	Ledger *bluebellquarantine.Ledger
	// Deployment returns the agreed deployment with the quarantines.
	Deployment func() (*pb.Deployment, uint64)
	// IsLeader reports whether this process leads. Only then it judges.
	IsLeader func() bool
	// Propose commits a command to the log and waits until this process has applied its result.
	Propose func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	// Now returns the time of a monotonic clock, WallClock the time of day.
	Now       func() time.Duration
	WallClock func() time.Time
	Logger    *log.Logger
}

// Judge proposes quarantines, and their end.
type Judge struct {
	cfg Config
	// accusedSince holds since when the evidence has been sufficient, by subject.
	accusedSince map[bluebellquarantine.Key]time.Duration
	// logged is the last charge that was logged.
	logged bluebellquarantine.Charge
}

// New returns a Judge.
func New(cfg Config) *Judge { return &Judge{cfg: cfg} }

// Run judges at intervals until ctx ends.
func (j *Judge) Run(ctx context.Context) {
	ticker := time.NewTicker(judgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			j.Judge(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Judge proposes what follows from the evidence now. It does nothing while this process does not
// lead. It must not be called concurrently.
func (j *Judge) Judge(ctx context.Context) {
	if !j.cfg.IsLeader() {
		j.accusedSince = nil
		return
	}
	for _, verdict := range j.verdicts() {
		callCtx, cancel := context.WithTimeout(ctx, verdictTimeout)
		result, err := j.cfg.Propose(callCtx, &pb.Command{Body: &pb.Command_SetQuarantine{SetQuarantine: verdict}})
		cancel()
		j.cfg.Logger.Warn("quarantine proposed", "Key", bluebellquarantine.Key(verdict.Key), "Depth", verdict.Depth, "Lifted", verdict.Lifted,
			"Reason", verdict.Reason, "Verdict", result.GetVerdict(), "Text", result.GetText(), "Error", err)
		if err == nil && result.Verdict != pb.Verdict_Accepted {
			j.accusedSince[bluebellquarantine.Key(verdict.Key)] = j.cfg.Now() + refusedPause
		}
	}
}

// verdicts returns the quarantines to set and to lift now.
func (j *Judge) verdicts() []*pb.SetQuarantine {
	now := j.cfg.Now()
	deployment, _ := j.cfg.Deployment()
	history := j.history(now, deployment.GetQuarantines())
	suspects := j.cfg.Ledger.Suspects(now)
	accusedSince := map[bluebellquarantine.Key]time.Duration{}
	var list []*pb.SetQuarantine
	convicted, charge := bluebellquarantine.Weigh(suspects, history)
	j.logCharge(charge)
	for _, s := range convicted {
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

// logCharge logs the evidence against the strongest suspect when it has changed and consists of several
// crashes.
func (j *Judge) logCharge(c bluebellquarantine.Charge) {
	if c == j.logged || c.Crashes < 2 {
		return
	}
	j.logged = c
	j.cfg.Logger.Info("suspect", "Key", c.Key, "Depth", c.Depth, "Crashes", c.Crashes, "Counted", c.Counted, "Needed", c.Needed, "Others", c.Others, "Rivals", c.Rivals)
}

// history converts the quarantines to the monotonic clock of this process.
func (j *Judge) history(now time.Duration, quarantines []*pb.Quarantine) map[bluebellquarantine.Key]bluebellquarantine.Record {
	wall := j.cfg.WallClock().UnixNano()
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
