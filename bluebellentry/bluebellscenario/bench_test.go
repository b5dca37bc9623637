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

// latencies is a sample of measured durations.
type latencies []time.Duration

// quantileMillis returns the quantile at a fraction from 0 to 1 in milliseconds.
func (l latencies) quantileMillis(fraction float64) float64 {
	sorted := slices.Sorted(slices.Values(l))
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)].Seconds() * 1000
}

// report reports the median, the 99th percentile and the maximum in milliseconds as
// metrics of the benchmark.
func (l latencies) report(b *testing.B, name string) {
	b.ReportMetric(l.quantileMillis(0.5), name+"-p50-ms")
	b.ReportMetric(l.quantileMillis(0.99), name+"-p99-ms")
	b.ReportMetric(l.quantileMillis(1), name+"-worst-ms")
	b.ReportMetric(0, "ns/op")
}

// peerClient returns a client of a VM's peer port.
func (c *cluster) peerClient(vm string) *bluebellpeer.Client {
	s := c.settings[vm].VM
	return bluebellpeer.NewClient(bluebellpeer.ClientConfig{
		Address: fmt.Sprintf("%s:%d", s.Address, s.PeerPort), Peer: vm, Name: "bench", Secret: []byte(secret),
	})
}

// awaitRevision waits until a VM reports a revision as in force.
func awaitRevision(b *testing.B, client *bluebellpeer.Client, revision uint64) {
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

// BenchmarkChangePropagation measures the time from sending a change to its acceptance, and
// the time until it is in force at all reachable VMs. Run it with -benchtime 300x.
func BenchmarkChangePropagation(b *testing.B) {
	for _, tc := range []struct{ name, cut, dead string }{
		{"All", "", ""}, {"DomainCutOff", "tata", ""}, {"VoterDead", "", "papa-1"},
	} {
		b.Run(tc.name, func(b *testing.B) {
			c := startCluster(b, io.Discard)
			reachable := c.runningVMs()
			if tc.dead != "" {
				require.NoError(b, c.stopVM(tc.dead, false))
			}
			if tc.cut != "" {
				c.network.setIsolated(tc.cut, true)
			}
			reachable = slices.DeleteFunc(reachable, func(vm string) bool {
				return vm == tc.dead || tc.cut != "" && strings.HasPrefix(vm, tc.cut)
			})
			clients := map[string]*bluebellpeer.Client{}
			for _, vm := range reachable {
				clients[vm] = c.peerClient(vm)
				defer clients[vm].Close()
			}
			// The first change may need to wait until a leader is elected.
			r, err := awaitAcceptedChange(c, reachable[0], false)
			require.NoError(b, err)
			var accepted, everywhere latencies
			for i := 0; b.Loop(); i++ {
				startedAt := time.Now()
				r, err = setDrained(c, reachable[0], r.Revision, i%2 == 0)
				require.NoError(b, err)
				require.Equal(b, pb.Verdict_Accepted, r.Verdict, r.Text)
				accepted = append(accepted, time.Since(startedAt))
				var group conc.WaitGroup
				for _, vm := range reachable {
					group.Go(func() { awaitRevision(b, clients[vm], r.Revision) })
				}
				group.Wait()
				everywhere = append(everywhere, time.Since(startedAt))
			}
			accepted.report(b, "accepted")
			everywhere.report(b, "everywhere")
		})
	}
}

// setDrained sends a change that drains an endpoint or ends its draining.
func setDrained(c *cluster, vm string, base uint64, drained bool) (*pb.Result, error) {
	return c.change(vm, operatorKey, &pb.Command{BaseRevision: base, Body: &pb.Command_SetEndpoint{
		SetEndpoint: &pb.SetEndpoint{Name: "notes-gyor-1", Drained: drained},
	}})
}

// awaitAcceptedChange sends the change of setDrained until it is accepted.
func awaitAcceptedChange(c *cluster, vm string, drained bool) (*pb.Result, error) {
	var result *pb.Result
	err := await("acceptance of a change", func() (bool, string) {
		base, err := declaredRevision(c, vm)
		if err != nil {
			return false, err.Error()
		}
		result, err = setDrained(c, vm, base, drained)
		if err != nil {
			return false, err.Error()
		}
		return result.Verdict == pb.Verdict_Accepted, result.Text
	})
	return result, err
}

// BenchmarkLeaderFailover measures the time from the loss of the leader to the next accepted
// change. The leader is killed with signal 9, or its failure domain is isolated.
func BenchmarkLeaderFailover(b *testing.B) {
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
				require.NoError(b, c.startVM(v.Name, true))
			}
			_, err = apply(c, nil)
			require.NoError(b, err)
			var recoveries latencies
			for b.Loop() {
				leader, err := c.leader()
				require.NoError(b, err)
				domain, _, _ := strings.Cut(leader, "-")
				other := c.runningVMs()[slices.IndexFunc(c.runningVMs(), func(vm string) bool { return !strings.HasPrefix(vm, domain) })]
				startedAt := time.Now()
				if killed {
					require.NoError(b, c.stopVM(leader, true))
				} else {
					c.network.setIsolated(domain, true)
				}
				_, err = awaitAcceptedChange(c, other, false)
				require.NoError(b, err)
				recoveries = append(recoveries, time.Since(startedAt))
				if killed {
					require.NoError(b, c.startVM(leader, false))
				} else {
					c.network.setIsolated(domain, false)
				}
				s, err := c.status(other)
				require.NoError(b, err)
				require.NoError(b, c.awaitInForce(s.Revision, []string{leader}))
			}
			recoveries.report(b, "without-leader")
		})
	}
}

// BenchmarkClaims compares non-idempotent calls, which need a claim, with idempotent calls of
// the same service, one after the other and many at once.
func BenchmarkClaims(b *testing.B) {
	for _, atOnce := range []int{1, 64} {
		b.Run(fmt.Sprint("AtOnce", atOnce), func(b *testing.B) {
			c := startCluster(b, io.Discard)
			timeCall := func(path string) time.Duration {
				startedAt := time.Now()
				resp, err := c.request("gyor-2", http.MethodPost, "/services/orders"+path, "north-key",
					map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()}, []byte("{}"), 30*time.Second)
				require.NoError(b, err)
				require.Contains(b, []int{200, 503}, resp.StatusCode())
				return time.Since(startedAt)
			}
			var claimed, plain latencies
			var claimedTime time.Duration
			for b.Loop() {
				results := make([]time.Duration, 2*atOnce)
				for i, path := range []string{"/stock", "/jobs"} {
					var group conc.WaitGroup
					startedAt := time.Now()
					for j := range atOnce {
						group.Go(func() { results[i*atOnce+j] = timeCall(path) })
					}
					group.Wait()
					if i == 1 {
						claimedTime += time.Since(startedAt)
					}
				}
				plain = append(plain, results[:atOnce]...)
				claimed = append(claimed, results[atOnce:]...)
			}
			claimed.report(b, "claimed")
			plain.report(b, "plain")
			b.ReportMetric(float64(len(claimed))/claimedTime.Seconds(), "calls/s")
		})
	}
}

// BenchmarkOpenClaims measures the number of claims that are agreed per second, without HTTP
// and services.
func BenchmarkOpenClaims(b *testing.B) {
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
			client := c.peerClient(leader)
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

// BenchmarkIdleProcesses measures the resources that an entry process uses without load, for
// several numbers of VMs in each failure domain. It divides them by the time that it sleeps.
func BenchmarkIdleProcesses(b *testing.B) {
	for _, perDomain := range []int{2, 6, 12} {
		b.Run(fmt.Sprint("VMs", 3*perDomain), func(b *testing.B) {
			vmsPerDomain = perDomain
			defer func() { vmsPerDomain = 2 }()
			c, err := newCluster(b.TempDir(), true, io.Discard)
			require.NoError(b, err)
			defer c.close()
			for _, v := range c.questionnaire.VMs {
				require.NoError(b, c.startVM(v.Name, true))
			}
			_, err = apply(c, nil)
			require.NoError(b, err)
			require.NoError(b, c.awaitUsable("tata-2"))
			time.Sleep(2 * time.Second)
			for b.Loop() {
				before := c.resourceUsages(b)
				const length = 8 * time.Second
				time.Sleep(length)
				after := c.resourceUsages(b)
				for _, kind := range []string{"voter", "other"} {
					n, cpu, memory, bytes := 0.0, 0.0, 0.0, 0.0
					for vm, s := range after {
						if (c.settings[vm].VM.DataFolder != "") != (kind == "voter") {
							continue
						}
						n++
						cpu += s.cpuSeconds - before[vm].cpuSeconds
						memory = max(memory, s.memoryMB)
						bytes += s.writtenBytes - before[vm].writtenBytes
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

// resourceUsage is the resource usage of one process.
type resourceUsage struct{ cpuSeconds, memoryMB, writtenBytes float64 }

// resourceUsages reads the resource usage of each entry process from /proc: the processor
// time and the bytes written, to sockets and files, since its start, and its present memory.
func (c *cluster) resourceUsages(b *testing.B) map[string]resourceUsage {
	all := map[string]resourceUsage{}
	for vm, r := range c.vms {
		dir := fmt.Sprintf("/proc/%d/", r.pid)
		stat, err := os.ReadFile(dir + "stat")
		require.NoError(b, err)
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		ticks := parseNumber(b, fields[11]) + parseNumber(b, fields[12])
		pages := parseNumber(b, fields[21])
		ioText, err := os.ReadFile(dir + "io")
		require.NoError(b, err)
		written := 0.0
		for _, line := range strings.Split(string(ioText), "\n") {
			if text, ok := strings.CutPrefix(line, "wchar: "); ok {
				written = parseNumber(b, text)
			}
		}
		all[vm] = resourceUsage{cpuSeconds: ticks / 100, memoryMB: pages * 4096 / 1e6, writtenBytes: written}
	}
	return all
}

func parseNumber(b *testing.B, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	require.NoError(b, err)
	return n
}

// BenchmarkEntryOverhead compares the time to the first token through one entry with that of
// the same endpoint called directly, at the same time with 500 requests a second each.
func BenchmarkEntryOverhead(b *testing.B) {
	domainCount, vmsPerDomain = 1, 1
	defer func() { domainCount, vmsPerDomain = 3, 2 }()
	c, err := newCluster(b.TempDir(), true, io.Discard)
	require.NoError(b, err)
	defer c.close()
	require.NoError(b, c.startVM("gyor-1", true))
	_, err = apply(c, nil)
	require.NoError(b, err)
	require.NoError(b, c.awaitUsable("gyor-1"))
	client := bluebellupstream.NewClient(bluebellupstream.ClientConfig{})
	body, err := json.Marshal(map[string]any{"model": "notes", "stream": true, "prompt": strings.Repeat("a", 2000), "max_tokens": 1})
	require.NoError(b, err)
	timeFirstEvent := func(address string, header http.Header) (time.Duration, string) {
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
	_, endpoint := timeFirstEvent(entry, http.Header{"Authorization": {"Bearer north-key"}})
	require.NotEmpty(b, endpoint)
	var direct, through latencies
	var memory []float64
	served := 0
	before := c.resourceUsages(b)["gyor-1"]
	for b.Loop() {
		const requests = 5000
		served += requests / 2
		results := make([]time.Duration, requests)
		var group conc.WaitGroup
		startedAt := time.Now()
		for i := range requests {
			// Every second request goes through the entry, so it gets 500 a second.
			time.Sleep(time.Until(startedAt.Add(time.Duration(i) * time.Millisecond)))
			group.Go(func() {
				if i%2 == 0 {
					results[i], _ = timeFirstEvent(entry, http.Header{"Authorization": {"Bearer north-key"}})
				} else {
					results[i], _ = timeFirstEvent(addresses[endpoint], http.Header{"X-Bluebell-Version": {"v1"}, "X-Bluebell-Customer": {"north"}})
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
		memory = append(memory, c.resourceUsages(b)["gyor-1"].memoryMB)
	}
	through.report(b, "through")
	direct.report(b, "direct")
	b.ReportMetric(through.quantileMillis(0.5)-direct.quantileMillis(0.5), "overhead-p50-ms")
	b.ReportMetric(through.quantileMillis(0.99)-direct.quantileMillis(0.99), "overhead-p99-ms")
	b.ReportMetric((c.resourceUsages(b)["gyor-1"].cpuSeconds-before.cpuSeconds)/float64(served)*1e6, "cpu-µs/request")
	b.ReportMetric(memory[0], "first-MB")
	b.ReportMetric(memory[len(memory)-1], "last-MB")
}
