package bluebellstate_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellstate"
)

// start is the time of commands at the start of each script.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestScripts runs the scripts in testdata. Each starts with a new machine and consists of:
//
//	apply [at=DURATION]   apply one command, in text form, and print its result; at sets
//	                      the time since the start for this and later commands
//	view                  print the machine's view
//	restore               replace the machine by one restored from its snapshot
//
// KEY+1m in a command stands for an idempotency key created 1 minute after the start.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		machine := bluebellstate.New()
		at := time.Duration(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "apply":
				if d.HasArg("at") {
					var text string
					d.ScanArgs(t, "at", &text)
					var err error
					at, err = time.ParseDuration(text)
					require.NoError(t, err)
				}
				var c pb.Command
				require.NoError(t, prototext.Unmarshal([]byte(withKeys(t, d.Input)), &c), d.Pos)
				c.UnixNanos = start.Add(at).UnixNano()
				return describeResult(machine.Apply(&c))
			case "view":
				return describeView(machine.View())
			case "restore":
				data, err := machine.Snapshot()
				require.NoError(t, err)
				before := machine.View()
				machine, err = bluebellstate.Restore(data)
				require.NoError(t, err)
				require.True(t, proto.Equal(before, machine.View()))
				return "ok\n"
			}
			return "unknown command\n"
		})
	})
}

// withKeys replaces each KEY+DURATION in text by a key created that long after the start.
func withKeys(t *testing.T, text string) string {
	for {
		before, rest, ok := strings.Cut(text, "KEY+")
		if !ok {
			return text
		}
		end := strings.IndexByte(rest, '"')
		d, err := time.ParseDuration(rest[:end])
		require.NoError(t, err)
		millis := start.Add(d).UnixMilli()
		text = before + fmt.Sprintf("%08x-%04x-7000-8000-000000000000", millis>>16, millis&0xffff) + rest[end:]
	}
}

// describeResult formats the fields of r that are set.
func describeResult(r *pb.Result) string {
	s := r.Verdict.String()
	if r.Outcome != pb.RunState_RunStateUnset {
		s += " " + r.Outcome.String()
	}
	if r.Answer != nil {
		s += fmt.Sprintf(" answer %d %q", r.Answer.Status, r.Answer.Body)
	}
	if r.Revision > 0 {
		s += fmt.Sprintf(" revision %d", r.Revision)
	}
	if r.Fencing > 0 {
		s += fmt.Sprintf(" fencing %d", r.Fencing)
	}
	if r.Text != "" {
		s += ": " + r.Text
	}
	return s + "\n"
}

// describeView formats v without the contents of its configuration and deployment.
func describeView(v *pb.View) string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d declared %d by %q configuration %d out %v drained %v poisons %d\n",
		v.Revision, v.DeclaredRevision, v.DeclaredBy, v.ConfigurationRevision, v.FailureDomainsOut, v.EndpointsDrained, len(v.PoisonDigests))
	for _, tv := range v.Versions {
		fmt.Fprintf(&b, "%s serves %s\n", tv.Target, tv.Version)
	}
	for _, m := range v.Moves {
		fmt.Fprintf(&b, "move %s from %s to %s: %v share %.2f step %d\n", m.Target, m.FromVersion, m.ToVersion, m.Phase, m.Share, m.Step)
	}
	return b.String()
}

// BenchmarkClaims measures the time, heap memory and snapshot bytes per claim, and the time
// of taking a snapshot per million claims.
func BenchmarkClaims(b *testing.B) {
	const claims = 100_000
	for b.Loop() {
		machine := bluebellstate.New()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		startedAt := time.Now()
		for i := range claims {
			key := fmt.Sprintf("%08x-%04x-7000-8000-%012x", start.UnixMilli()>>16, start.UnixMilli()&0xffff, i)
			attempt := fmt.Sprintf("%036d", i)
			r := machine.Apply(&pb.Command{UnixNanos: start.UnixNano(), Body: &pb.Command_OpenClaim{OpenClaim: &pb.OpenClaim{
				Customer: "customer", Target: "orders", Key: key, Digest: make([]byte, 32), Attempt: attempt, Holder: "entry-1",
			}}})
			require.Equal(b, pb.Verdict_Granted, r.Verdict)
			machine.Apply(&pb.Command{Body: &pb.Command_CloseClaim{CloseClaim: &pb.CloseClaim{
				Customer: "customer", Target: "orders", Key: key, Attempt: attempt, Outcome: pb.RunState_Ran,
				Answer: &pb.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 200)},
			}}})
		}
		took := time.Since(startedAt)
		runtime.GC()
		runtime.ReadMemStats(&after)
		snapshotAt := time.Now()
		data, err := machine.Snapshot()
		require.NoError(b, err)
		b.ReportMetric(took.Seconds()/claims*1e6, "µs/claim")
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "B/claim")
		b.ReportMetric(float64(len(data))/claims, "snapshot-B/claim")
		b.ReportMetric(time.Since(snapshotAt).Seconds()*1e3/claims*1e6, "snapshot-ms/million")
		runtime.KeepAlive(machine)
	}
}
