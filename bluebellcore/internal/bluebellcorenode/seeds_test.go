package bluebellcorenode_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/platform/bluebellplatform"
)

// coreGroup is a core of three processes on loopback addresses of their own.
type coreGroup struct {
	t        *testing.T
	settings []*pb.CoreSettings
	stops    []func()
	version  uint64
}

// startCore starts a core with empty data folders. Each group of a test takes its own number.
func startCore(t *testing.T, number int) *coreGroup {
	t.Helper()
	ports := freePorts(t, 2)
	g := &coreGroup{t: t, stops: make([]func(), 3)}
	var seeds []string
	for i := range g.stops {
		seeds = append(seeds, fmt.Sprintf("127.3.%d.%d:%d", number, i+1, ports[0]))
	}
	for i, control := range seeds {
		g.settings = append(g.settings, &pb.CoreSettings{
			Name: fmt.Sprint("core-", i), FailureDomain: fmt.Sprint("domain-", i), Address: fmt.Sprintf("127.3.%d.%d", number, i+1),
			ControlAddress: control, PeerPort: uint32(ports[1]), Seeds: seeds, Secret: "a secret for this test only, long enough",
			DataFolder: filepath.Join(t.TempDir(), "data"), Bootstrap: true, TolerateLostVMs: 1,
		})
	}
	for i := range g.stops {
		g.start(i)
	}
	t.Cleanup(func() {
		for i := range g.stops {
			g.stop(i)
		}
	})
	return g
}

func (g *coreGroup) start(i int) { _, g.stops[i] = startNode(g.t, g.settings[i]) }

func (g *coreGroup) stop(i int) {
	if g.stops[i] != nil {
		g.stops[i]()
		g.stops[i] = nil
	}
}

// declare sends the next version of a declaration to a process until it is acknowledged.
func (g *coreGroup) declare(i int) {
	g.t.Helper()
	g.version++
	put(g.t, g.settings[i].ControlAddress, bluebellplatform.Declare, "", g.document())
}

// document returns a declaration of the current version.
func (g *coreGroup) document() []byte {
	document, err := bluebellplatform.EncodeDeclaration(bluebelldeployment.Declaration{
		Version: g.version, Targets: []bluebelldeployment.Target{{Name: "app"}},
		Routes: []bluebelldeployment.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Targets: []bluebelldeployment.WeightedTarget{{Name: "app", Weight: 1}}}},
	})
	require.NoError(g.t, err)
	return document
}

// read returns the status and body of one read of the declaration from a process.
func (g *coreGroup) read(i int) (int, []byte) {
	method, path, err := bluebellplatform.EncodeOperation(bluebellplatform.Operation{Verb: bluebellplatform.ReadDeclaration})
	require.NoError(g.t, err)
	r, err := http.NewRequest(method, "http://"+g.settings[i].ControlAddress+path, nil)
	require.NoError(g.t, err)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	body, err := io.ReadAll(response.Body)
	require.NoError(g.t, err)
	require.NoError(g.t, response.Body.Close())
	return response.StatusCode, body
}

// requireServing requires that each process answers reads with the latest declaration, and that changes are agreed.
func (g *coreGroup) requireServing() {
	g.t.Helper()
	g.declare(0)
	for i := range g.settings {
		require.Eventually(g.t, func() bool {
			status, body := g.read(i)
			return status == http.StatusOK && string(body) == string(g.document())
		}, 10*time.Second, 100*time.Millisecond, "process %d", i)
	}
}

// laterSeeds are the seeds that a process may be given at a later start: the list may be old, or lack VMs that were
// down when it was written.
var laterSeeds = map[string]func(all []string, own string) []string{
	"AllOthers": func(all []string, own string) []string {
		return slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == own })
	},
	"OneOther": func(all []string, own string) []string {
		return slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == own })[:1]
	},
	"OnlyItself": func(_ []string, own string) []string { return []string{own} },
	"None":       func([]string, string) []string { return nil },
	"ReplacedVMs": func(_ []string, own string) []string {
		return []string{own, "127.3.250.1:1", "127.3.250.2:1"}
	},
}

// Guards against a core that never elects a leader again, or whose processes agree alone, because a restarted process
// takes the members of the log from the seeds of its present settings.
func TestSeedsOfLaterStartsDoNotChangeMembers(t *testing.T) {
	number := 0
	for name, seeds := range laterSeeds {
		for _, order := range []string{"InTurn", "Together"} {
			for _, bootstrap := range []bool{false, true} {
				own := number
				number++
				t.Run(fmt.Sprint(name, order, "Bootstrap", bootstrap), func(t *testing.T) {
					t.Parallel()
					g := startCore(t, own)
					g.declare(0)
					all := g.settings[0].Seeds
					for i, s := range g.settings {
						g.stop(i)
						s.Bootstrap, s.Seeds = bootstrap, seeds(all, s.ControlAddress)
						if order == "InTurn" {
							g.start(i)
							g.declare(i)
						}
					}
					if order == "Together" {
						for i := range g.settings {
							g.start(i)
						}
					}
					g.requireServing()
				})
			}
		}
	}
}

// Guards against a process that agrees with itself alone while the others are down, because its settings name no other.
func TestRestartedProcessDoesNotAgreeAlone(t *testing.T) {
	for number, recorded := range []bool{true, false} {
		t.Run(fmt.Sprint("Recorded", recorded), func(t *testing.T) {
			t.Parallel()
			g := startCore(t, 100+number)
			g.declare(0)
			for i := range g.settings {
				g.stop(i)
			}
			if !recorded {
				g.forgetMembers(0)
			}
			g.settings[0].Bootstrap, g.settings[0].Seeds = false, []string{g.settings[0].ControlAddress}
			g.start(0)
			for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				status, _ := g.read(0)
				require.NotEqual(t, http.StatusOK, status)
			}
		})
	}
}

// forgetMembers makes the data folder of a stopped process one of a release that did not record the members, neither
// in a file nor in the log.
func (g *coreGroup) forgetMembers(i int) {
	require.NoError(g.t, os.Remove(filepath.Join(g.settings[i].DataFolder, "members")))
	require.NoError(g.t, os.RemoveAll(filepath.Join(g.settings[i].DataFolder, "log")))
}

// Guards against a core that elects no leader after an update from a release that did not record the members, if the
// settings of its processes lack the process itself.
func TestProcessesOfEarlierReleaseRestartWithSeedsOfOthers(t *testing.T) {
	g := startCore(t, 110)
	g.declare(0)
	all := g.settings[0].Seeds
	for i, s := range g.settings {
		g.stop(i)
		g.forgetMembers(i)
		s.Bootstrap, s.Seeds = false, laterSeeds["AllOthers"](all, s.ControlAddress)
	}
	for i := range g.settings {
		g.start(i)
	}
	g.requireServing()
}

// Guards against a process that lost its disk and does not join again, whatever its settings name: the others know its
// address.
func TestProcessWithoutDiskJoinsWhateverItsSeeds(t *testing.T) {
	number := 130
	for name, seeds := range laterSeeds {
		own := number
		number++
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startCore(t, own)
			g.declare(0)
			s := g.settings[2]
			g.stop(2)
			require.NoError(t, os.RemoveAll(s.DataFolder))
			s.Bootstrap, s.Seeds = false, seeds(s.Seeds, s.ControlAddress)
			g.start(2)
			g.requireServing()
			// It is a voter again once the core bears the loss of another process.
			require.Eventually(t, func() bool {
				g.stop(1)
				defer g.start(1)
				for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
					if status, _ := g.read(0); status == http.StatusOK {
						return true
					}
				}
				return false
			}, 40*time.Second, 5*time.Second)
		})
	}
}
