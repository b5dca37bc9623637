package bluebellscenario_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellpeer"
	"bluebellhaven.org/bluebellentry/internal/bluebellupstream"
)

// times is a row of measured times.
type times []time.Duration

func (t times) at(part float64) float64 {
	sorted := slices.Sorted(slices.Values(t))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)].Seconds() * 1000
}

// report writes the median, a high quantile and the worst in milliseconds.
func (t times) report(b *testing.B, name string) {
	b.ReportMetric(t.at(0.5), name+"-p50-ms")
	b.ReportMetric(t.at(0.99), name+"-p99-ms")
	b.ReportMetric(t.at(1), name+"-worst-ms")
	b.ReportMetric(0, "ns/op")
}

// peer returns a client of a VM's peer port.
func (c *cluster) peer(vm string) *bluebellpeer.Client {
	s := c.settings[vm].VM
	return bluebellpeer.NewClient(bluebellpeer.ClientConfig{
		Address: fmt.Sprintf("%s:%d", s.Address, s.PeerPort), Peer: vm, Name: "bench", Secret: []byte(secret),
	})
}

// inForce waits until a VM says that a revision is in force there.
func inForce(b *testing.B, client *bluebellpeer.Client, revision uint64) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		reply, err := client.Watch(ctx, &pb.WatchRequest{VM: "bench", Revision: revision - 1, ConfigurationRevision: 1, HealthCursor: 1 << 60, Wait: durationpb.New(time.Second)})
		cancel()
		require.NoError(b, err)
		if reply.View.GetRevision() >= revision {
			return
		}
	}
}

// BenchmarkInForce measures from the order to its being accepted, and to its being
// in force at all VMs that can be reached. Run it with -benchtime 300x.
func BenchmarkInForce(b *testing.B) {
	for _, tc := range []struct{ name, cut, dead string }{
		{"All", "", ""}, {"DomainCutOff", "tata", ""}, {"VoterDead", "", "papa-1"},
	} {
		b.Run(tc.name, func(b *testing.B) {
			c := startCluster(b, io.Discard)
			reachable := c.running()
			if tc.dead != "" {
				require.NoError(b, c.end(tc.dead, false))
			}
			if tc.cut != "" {
				c.network.setCut(tc.cut, true)
			}
			reachable = slices.DeleteFunc(reachable, func(vm string) bool {
				return vm == tc.dead || tc.cut != "" && strings.HasPrefix(vm, tc.cut)
			})
			clients := map[string]*bluebellpeer.Client{}
			for _, vm := range reachable {
				clients[vm] = c.peer(vm)
				defer clients[vm].Close()
			}
			// The first change waits for a leader.
			r, err := awaitChange(c, reachable[0], false)
			require.NoError(b, err)
			var accepted, everywhere times
			for i := 0; b.Loop(); i++ {
				startedAt := time.Now()
				r, err = drain(c, reachable[0], r.Revision, i%2 == 0)
				require.NoError(b, err)
				require.Equal(b, pb.Verdict_Accepted, r.Verdict, r.Text)
				accepted = append(accepted, time.Since(startedAt))
				var group conc.WaitGroup
				for _, vm := range reachable {
					group.Go(func() { inForce(b, clients[vm], r.Revision) })
				}
				group.Wait()
				everywhere = append(everywhere, time.Since(startedAt))
			}
			accepted.report(b, "accepted")
			everywhere.report(b, "everywhere")
		})
	}
}

func drain(c *cluster, vm string, base uint64, drained bool) (*pb.Result, error) {
	return c.change(vm, operatorKey, &pb.Command{BaseRevision: base, Body: &pb.Command_SetEndpoint{
		SetEndpoint: &pb.SetEndpoint{Name: "notes-gyor-1", Drained: drained},
	}})
}

// awaitChange drains an endpoint or takes it back, and tries until it is accepted.
func awaitChange(c *cluster, vm string, drained bool) (*pb.Result, error) {
	var result *pb.Result
	err := await("a change", func() (bool, string) {
		base, err := latest(c, vm)
		if err != nil {
			return false, err.Error()
		}
		result, err = drain(c, vm, base, drained)
		if err != nil {
			return false, err.Error()
		}
		return result.Verdict == pb.Verdict_Accepted, result.Text
	})
	return result, err
}

// BenchmarkWithoutLeader measures from the loss of the leader to the next accepted
// change: killed by signal 9, and silently cut off.
func BenchmarkWithoutLeader(b *testing.B) {
	for _, killed := range []bool{true, false} {
		name := "CutOff"
		if killed {
			name = "Killed"
		}
		b.Run(name, func(b *testing.B) {
			c, err := newCluster(b.TempDir(), killed, io.Discard)
			require.NoError(b, err)
			defer c.close()
			for _, v := range c.questionnaire.VMs {
				require.NoError(b, c.start(v.Name, true))
			}
			_, err = apply(c, nil)
			require.NoError(b, err)
			var without times
			for b.Loop() {
				leader, err := c.leader()
				require.NoError(b, err)
				domain, _, _ := strings.Cut(leader, "-")
				other := c.running()[slices.IndexFunc(c.running(), func(vm string) bool { return !strings.HasPrefix(vm, domain) })]
				startedAt := time.Now()
				if killed {
					require.NoError(b, c.end(leader, true))
				} else {
					c.network.setCut(domain, true)
				}
				_, err = awaitChange(c, other, false)
				require.NoError(b, err)
				without = append(without, time.Since(startedAt))
				if killed {
					require.NoError(b, c.start(leader, false))
				} else {
					c.network.setCut(domain, false)
				}
				s, err := c.status(other)
				require.NoError(b, err)
				require.NoError(b, c.awaitInForce(s.Revision, []string{leader}))
			}
			without.report(b, "without-leader")
		})
	}
}

// BenchmarkClaims measures job orders against the same service's calls that may be
// repeated, one after the other and many at once.
func BenchmarkClaims(b *testing.B) {
	for _, atOnce := range []int{1, 64} {
		b.Run(fmt.Sprint("AtOnce", atOnce), func(b *testing.B) {
			c := startCluster(b, io.Discard)
			one := func(path string) time.Duration {
				startedAt := time.Now()
				resp, err := c.request("gyor-2", http.MethodPost, "/services/orders"+path, "north-key",
					map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}, []byte("{}"), 30*time.Second)
				require.NoError(b, err)
				require.Contains(b, []int{200, 503}, resp.StatusCode())
				return time.Since(startedAt)
			}
			var claimed, plain times
			var busy time.Duration
			for b.Loop() {
				results := make([]time.Duration, 2*atOnce)
				for i, path := range []string{"/stock", "/jobs"} {
					var group conc.WaitGroup
					startedAt := time.Now()
					for j := range atOnce {
						group.Go(func() { results[i*atOnce+j] = one(path) })
					}
					group.Wait()
					if i == 1 {
						busy += time.Since(startedAt)
					}
				}
				plain = append(plain, results[:atOnce]...)
				claimed = append(claimed, results[atOnce:]...)
			}
			claimed.report(b, "claimed")
			plain.report(b, "plain")
			b.ReportMetric(float64(len(claimed))/busy.Seconds(), "calls/s")
		})
	}
}

// BenchmarkProposals measures claims agreed on a second, without HTTP and services.
func BenchmarkProposals(b *testing.B) {
	c := startCluster(b, io.Discard)
	leader, err := c.leader()
	require.NoError(b, err)
	const workers = 128
	var done atomic.Int64
	var group conc.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	startedAt := time.Now()
	for range workers {
		group.Go(func() {
			client := c.peer(leader)
			defer client.Close()
			for ctx.Err() == nil {
				callCtx, cancelCall := context.WithTimeout(context.Background(), 5*time.Second)
				reply, err := client.Propose(callCtx, &pb.ProposeRequest{Command: &pb.Command{Body: &pb.Command_OpenClaim{OpenClaim: &pb.OpenClaim{
					Customer: "north", Target: "orders", Key: uuid.Must(uuid.NewV7()).String(), Digest: make([]byte, 32), Attempt: uuid.NewString(), Holder: "gyor-1",
				}}}})
				cancelCall()
				if err == nil && reply.Result.GetVerdict() == pb.Verdict_Granted {
					done.Add(1)
				}
			}
		})
	}
	for b.Loop() {
		time.Sleep(2 * time.Second)
	}
	cancel()
	group.Wait()
	b.ReportMetric(float64(done.Load())/time.Since(startedAt).Seconds(), "claims/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkIdle measures what a node spends while nothing happens, by the number of
// VMs in each failure domain. Its clock is the time that it sleeps.
func BenchmarkIdle(b *testing.B) {
	for _, perDomain := range []int{2, 6, 12} {
		b.Run(fmt.Sprint("VMs", 3*perDomain), func(b *testing.B) {
			vmsPerDomain = perDomain
			defer func() { vmsPerDomain = 2 }()
			c, err := newCluster(b.TempDir(), true, io.Discard)
			require.NoError(b, err)
			defer c.close()
			for _, v := range c.questionnaire.VMs {
				require.NoError(b, c.start(v.Name, true))
			}
			_, err = apply(c, nil)
			require.NoError(b, err)
			require.NoError(b, c.awaitUsable("tata-2"))
			time.Sleep(2 * time.Second)
			for b.Loop() {
				before := c.spent(b)
				const length = 8 * time.Second
				time.Sleep(length)
				after := c.spent(b)
				for _, kind := range []string{"voter", "other"} {
					n, cpu, memory, bytes := 0.0, 0.0, 0.0, 0.0
					for vm, s := range after {
						if (c.settings[vm].VM.DataFolder != "") != (kind == "voter") {
							continue
						}
						n++
						cpu += s.cpu - before[vm].cpu
						memory = max(memory, s.memory)
						bytes += s.sent - before[vm].sent
					}
					b.ReportMetric(100*cpu/n/length.Seconds(), kind+"-cpu-%")
					b.ReportMetric(memory, kind+"-most-MB")
					b.ReportMetric(bytes/n/length.Seconds()/1000, kind+"-written-KB/s")
				}
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// spent is what one process has used.
type spent struct{ cpu, memory, sent float64 }

// spent reads what the processes have used since their start: seconds of processor
// time, megabytes, and bytes written, to sockets and files alike.
func (c *cluster) spent(b *testing.B) map[string]spent {
	all := map[string]spent{}
	for vm, r := range c.vms {
		dir := fmt.Sprintf("/proc/%d/", r.pid)
		stat, err := os.ReadFile(dir + "stat")
		require.NoError(b, err)
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		ticks := number(b, fields[11]) + number(b, fields[12])
		pages := number(b, fields[21])
		ioText, err := os.ReadFile(dir + "io")
		require.NoError(b, err)
		written := 0.0
		for _, line := range strings.Split(string(ioText), "\n") {
			if text, ok := strings.CutPrefix(line, "wchar: "); ok {
				written = number(b, text)
			}
		}
		all[vm] = spent{cpu: ticks / 100, memory: pages * 4096 / 1e6, sent: written}
	}
	return all
}

func number(b *testing.B, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	require.NoError(b, err)
	return n
}

// BenchmarkOverhead measures the time to the first token by way of one entry
// against the same endpoint asked directly, side by side at 500 requests a second.
func BenchmarkOverhead(b *testing.B) {
	domainsInUse, vmsPerDomain = 1, 1
	defer func() { domainsInUse, vmsPerDomain = 3, 2 }()
	c, err := newCluster(b.TempDir(), true, io.Discard)
	require.NoError(b, err)
	defer c.close()
	require.NoError(b, c.start("gyor-1", true))
	_, err = apply(c, nil)
	require.NoError(b, err)
	require.NoError(b, c.awaitUsable("gyor-1"))
	client := bluebellupstream.NewClient(bluebellupstream.ClientConfig{})
	body, err := json.Marshal(map[string]any{"model": "notes", "stream": true, "prompt": strings.Repeat("a", 2000), "max_tokens": 1})
	require.NoError(b, err)
	ask := func(address string, header http.Header) (time.Duration, string) {
		startedAt := time.Now()
		x, err := client.Do(context.Background(), bluebellupstream.Request{
			Address: address, Method: http.MethodPost, Path: "/v1/completions", Header: header, Body: body,
			FirstByteTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second,
		})
		if err != nil {
			return 0, ""
		}
		defer x.Close()
		if x.Status() != http.StatusOK {
			return 0, ""
		}
		events := x.Events()
		if _, err := events.Next(); err != nil {
			return 0, ""
		}
		return time.Since(startedAt), x.Header().Get("X-Bluebell-Endpoint")
	}
	s := c.settings["gyor-1"].VM
	entry := fmt.Sprintf("%s:%d", s.Address, s.CallerPort)
	addresses := map[string]string{}
	for _, e := range c.questionnaire.Endpoints {
		addresses[e.Name] = e.Address
	}
	_, endpoint := ask(entry, http.Header{"Authorization": {"Bearer north-key"}})
	require.NotEmpty(b, endpoint)
	var direct, through times
	var memory []float64
	served := 0
	before := c.spent(b)["gyor-1"]
	for b.Loop() {
		const requests = 5000
		served += requests / 2
		results := make([]time.Duration, requests)
		var group conc.WaitGroup
		startedAt := time.Now()
		for i := range requests {
			// Half of the requests go through the entry, so it gets 500 a second.
			time.Sleep(time.Until(startedAt.Add(time.Duration(i) * time.Millisecond)))
			group.Go(func() {
				if i%2 == 0 {
					results[i], _ = ask(entry, http.Header{"Authorization": {"Bearer north-key"}})
				} else {
					results[i], _ = ask(addresses[endpoint], http.Header{"X-Bluebell-Version": {"v1"}, "X-Bluebell-Customer": {"north"}})
				}
			})
		}
		group.Wait()
		failed := 0
		for i, d := range results {
			switch {
			case d == 0:
				failed++
			case i%2 == 0:
				through = append(through, d)
			default:
				direct = append(direct, d)
			}
		}
		b.ReportMetric(float64(failed), "failed")
		memory = append(memory, c.spent(b)["gyor-1"].memory)
	}
	through.report(b, "through")
	direct.report(b, "direct")
	b.ReportMetric(through.at(0.5)-direct.at(0.5), "overhead-p50-ms")
	b.ReportMetric(through.at(0.99)-direct.at(0.99), "overhead-p99-ms")
	b.ReportMetric((c.spent(b)["gyor-1"].cpu-before.cpu)/float64(served)*1e6, "cpu-µs/request")
	b.ReportMetric(memory[0], "first-MB")
	b.ReportMetric(memory[len(memory)-1], "last-MB")
}
