package bluebellcorenode_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebell/bluebellfeed"
	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellpeer"
	"bluebellhaven.org/bluebellcore/internal/bluebellcorenode"
	"bluebellhaven.org/platform/bluebellplatform"
)

// freePorts returns ports that were free a moment ago.
func freePorts(t *testing.T, n int) []int {
	t.Helper()
	ports := make([]int, n)
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { require.NoError(t, l.Close()) }()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports
}

// startNode starts a core process, and returns it and a function that stops it.
func startNode(t *testing.T, settings *pb.CoreSettings) (*bluebellcorenode.Node, func()) {
	t.Helper()
	node, err := bluebellcorenode.New(bluebellcorenode.Config{Settings: func() *pb.CoreSettings { return settings }, Logger: log.New(io.Discard)})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	return node, func() {
		cancel()
		require.NoError(t, <-done)
	}
}

// put sends a request to the control interface until it is accepted.
func put(t *testing.T, control string, verb bluebellplatform.Verb, subject string, body []byte) {
	t.Helper()
	method, path, err := bluebellplatform.EncodeOperation(bluebellplatform.Operation{Verb: verb, Subject: subject})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		r, err := http.NewRequest(method, "http://"+control+path, bytes.NewReader(body))
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return false
		}
		require.NoError(t, response.Body.Close())
		return response.StatusCode < 300
	}, 10*time.Second, 50*time.Millisecond, "%s %s", method, path)
}

// followAsEntry polls a core process as an entry that has no calls, until the end of the test.
func followAsEntry(t *testing.T, settings *pb.CoreSettings, peer string) {
	t.Helper()
	pool := bluebellpeer.NewPool(bluebellpeer.PoolConfig{Name: "127.0.0.1:1", Secret: []byte(settings.Secret)})
	started := time.Now()
	now := func() time.Duration { return time.Since(started) }
	follower := bluebellfeed.NewFollower(bluebellfeed.FollowerConfig{
		Process: "127.0.0.1:1", Entry: true, FailureDomain: "a", Seeds: func() []string { return []string{peer} }, MaxSources: 3,
		Registry:     bluebellfleet.NewRegistry(bluebellfleet.Config{Now: now}),
		OnDeployment: func(uint64, *pb.Deployment) {}, Uses: func() []bluebellfeed.Use { return nil }, LostTargets: func() []string { return nil },
		Poll: func(ctx context.Context, source string, r *pb.FollowRequest) (*pb.FollowReply, error) {
			return pool.Client(source).Follow(ctx, r)
		},
		Now: now, Logger: log.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		pool.Close()
	})
}

// Guards against a scaler that is not connected to the registry, the feed, the declaration or the log, and against
// an agreed number that a restart loses. Whether a deployment has the duty decides about everything.
func TestNumbersAreAgreedAndOutliveARestart(t *testing.T) {
	for _, duties := range [][]string{{"autoscale"}, nil} {
		t.Run(fmt.Sprint(duties), func(t *testing.T) {
			t.Parallel()
			ports := freePorts(t, 2)
			control := fmt.Sprintf("127.0.0.1:%d", ports[0])
			settings := &pb.CoreSettings{
				Name: "c", FailureDomain: "a", Address: "127.0.0.1", ControlAddress: control, PeerPort: uint32(ports[1]), Seeds: []string{control},
				Secret: "a secret for this test only, long enough", DataFolder: t.TempDir(), Bootstrap: true, Provider: &pb.Provider{Duties: duties},
			}
			node, stop := startNode(t, settings)
			document, err := bluebellplatform.EncodeDeclaration(bluebelldeployment.Declaration{
				Version: 1,
				Targets: []bluebelldeployment.Target{{
					Name: "llm", Engine: &bluebelldeployment.Engine{Slots: 64, Tokens: 1000, TokenBytes: 1},
					Scale: &bluebelldeployment.Scale{Min: 3, Max: 8, StartDuration: time.Second},
				}},
				Routes: []bluebelldeployment.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Targets: []bluebelldeployment.WeightedTarget{{Name: "llm", Weight: 1}}}},
			})
			require.NoError(t, err)
			put(t, control, bluebellplatform.Declare, "", document)
			followAsEntry(t, settings, fmt.Sprintf("127.0.0.1:%d", ports[1]))
			register := func(sequence int) {
				for i := range 5 {
					e := bluebellfleet.Endpoint{
						ID: fmt.Sprint("e", i), Target: "llm", Address: fmt.Sprintf("127.0.0.1:%d", 20+i), FailureDomain: "a", Slots: 64,
						State: bluebellfleet.Serving, StartUnixMillis: 1, Sequence: uint64(sequence),
					}
					_, body, err := bluebellplatform.EncodeRegistration(e, 0)
					require.NoError(t, err)
					put(t, control, bluebellplatform.Register, e.ID, body)
				}
			}
			for sequence := range 40 {
				register(sequence + 1)
				if len(node.Scales()) > 0 {
					break
				}
				time.Sleep(500 * time.Millisecond)
			}
			want := ""
			if duties != nil {
				want = "[{llm a 4}]"
			}
			require.Equal(t, want, describe(node))
			stop()
			if duties == nil {
				return
			}
			node, stop = startNode(t, settings)
			defer stop()
			require.Eventually(t, func() bool { return describe(node) == want }, 10*time.Second, 20*time.Millisecond)
		})
	}
}

// describe returns the agreed numbers as text.
func describe(node *bluebellcorenode.Node) string {
	if len(node.Scales()) == 0 {
		return ""
	}
	return fmt.Sprint(node.Scales())
}
