package bluebellcorenode_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellpeer"
	"bluebellhaven.org/platform/bluebellplatform"
)

// sent are heartbeats of another system that concern the endpoint i-1, which was started at 1000. The last ones
// are cut off or of a wrong type.
var sent = []struct{ id, body string }{
	{"x", `{"service":"other","addr":"10.0.0.8:80","zone":"a","state":"ready","seq":1,"born":2000}`},
	{"x", `{"service":"other","addr":"10.0.0.8:80","zone":"a","state":"draining","seq":2,"born":2000}`},
	{"i-1", `{"service":"other","addr":"10.0.0.8:80","zone":"a","state":"ready","seq":9000000,"born":1000}`},
	{"i-1", `{"service":"other","addr":"10.0.0.9:80","zone":"a","state":"draining","seq":9000000,"born":2000}`},
	{"i-1", `{"service":"app","addr":"10.0.0.8:80","zone":"a","state":"asleep","seq":9000000,"born":1000}`},
	{"i-1", `{"service":"app","addr":"10.0.0.8:80","zone":"a","seq":9000000,"born":1000}`},
	{"i-1", `{"addr":"10.0.0.8:80","zone":"a","state":"draining","seq":9000000,"born":1000}`},
	{"i-1", `{"service":"app","addr":"10.0.0.8:80","zone":"a","state":"ready","seq":"9000000","born":1000}`},
	{"i-1", `{"service":["app"],"addr":"10.0.0.8:80","zone":"a","state":"ready","seq":9000000,"born":1000}`},
	{"i-1", `{"service":"app","addr":"10.0.0.8:80","zone":"a","state":"dra`},
}

// Guards against heartbeats of another system that take an endpoint out of use, or keep its own ones from having an
// effect. They may arrive before those of the endpoint, after a restart of all core processes.
func TestHeartbeatsOfAnotherSystemLeaveEndpointInUse(t *testing.T) {
	for number, restart := range []bool{false, true} {
		t.Run(fmt.Sprint("Restart", restart), func(t *testing.T) {
			t.Parallel()
			g := startCore(t, 120+number)
			g.declare(0)
			sequence := uint64(0)
			register := func() {
				sequence++
				e := bluebellfleet.Endpoint{
					ID: "i-1", Target: "app", Address: "10.0.0.8:80", FailureDomain: "a", State: bluebellfleet.Serving, StartUnixMillis: 1000, Sequence: sequence,
				}
				_, body, err := bluebellplatform.EncodeRegistration(e, 0)
				require.NoError(t, err)
				put(t, g.settings[sequence%3].ControlAddress, bluebellplatform.Register, e.ID, body)
			}
			register()
			for i := range g.settings {
				if restart {
					g.stop(i)
				}
			}
			for i := range g.settings {
				if restart {
					g.start(i)
				}
			}
			g.declare(0)
			for _, h := range sent {
				for i := range g.settings {
					g.send(i, h.id, h.body)
				}
			}
			for i := range g.settings {
				require.Eventually(t, func() bool {
					register()
					list := g.follow(i)
					return len(list) == 1 && list[0].ID == "i-1" && list[0].Target == "app" && list[0].Address == "10.0.0.8:80" &&
						list[0].State == pb.RegistrationState_Serving && list[0].BornUnixMillis == 1000
				}, 5*time.Second, 100*time.Millisecond, "process %d sends %v", i, g.follow(i))
			}
		})
	}
}

// send sends a heartbeat to a process. Its status does not matter.
func (g *coreGroup) send(i int, id, body string) {
	method, path, err := bluebellplatform.EncodeOperation(bluebellplatform.Operation{Verb: bluebellplatform.Register, Subject: id})
	require.NoError(g.t, err)
	r, err := http.NewRequest(method, "http://"+g.settings[i].ControlAddress+path, bytes.NewReader([]byte(body)))
	require.NoError(g.t, err)
	response, err := http.DefaultClient.Do(r)
	require.NoError(g.t, err)
	require.NoError(g.t, response.Body.Close())
}

// follow returns all registrations that a process sends to a new entry.
func (g *coreGroup) follow(i int) []*pb.Registration {
	s := g.settings[i]
	pool := bluebellpeer.NewPool(bluebellpeer.PoolConfig{Name: "127.0.0.1:1", Secret: []byte(s.Secret)})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	reply, err := pool.Client(fmt.Sprintf("%s:%d", s.Address, s.PeerPort)).Follow(ctx, &pb.FollowRequest{Process: "127.0.0.1:1", Entry: true, FailureDomain: "a"})
	require.NoError(g.t, err)
	return reply.Registrations
}
