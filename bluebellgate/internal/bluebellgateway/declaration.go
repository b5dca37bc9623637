package bluebellgateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/pool"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"bluebellhaven.org/bluebell/bluebellhead"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellpeer"
	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/bluebellgate/internal/bluebellhandover"
)

// An entry that reaches no core process may lack declarations. It asks other entries for them, and relies on the
// declaration in force only as long as it cannot be outdated by more than the bound.

const (
	// defaultDeclarationDue is the time within which a declaration must be in force if the settings name none.
	// declarationMargin is subtracted from it: a call reaches its endpoint a moment after it was sent.
	defaultDeclarationDue = 2 * time.Second
	declarationMargin     = 200 * time.Millisecond
	// askInterval is how often an entry without recent declarations asks askedEntries others, and askTimeout how long
	// each may take. The bound leaves time for several rounds.
	askInterval  = 200 * time.Millisecond
	askedEntries = 2
	askTimeout   = 400 * time.Millisecond
	// maxDeploymentBytes bounds a deployment: twice the largest declaration that core processes accept.
	maxDeploymentBytes = 16 << 20
)

func (g *Gateway) declarationDue() time.Duration {
	return cmp.Or(milliseconds(g.cfg.Settings().GetBounds().GetDeclarationMillis()), defaultDeclarationDue)
}

// declarationCurrent reports whether all declarations are known here that have to be in force everywhere.
func (g *Gateway) declarationCurrent() bool {
	age, known := g.follower.DeclarationAge()
	return known && age < g.declarationDue()-declarationMargin
}

// encodeDeployment returns the deployment in force and its age, as a reply to a poll of another entry that has a revision
// of it.
func (g *Gateway) encodeDeployment(revision uint64) ([]byte, error) {
	age, known := g.follower.DeclarationAge()
	reply := &pb.FollowReply{Revision: g.routing.Load().Revision}
	if known {
		reply.CurrentAgo = durationpb.New(age)
	}
	if reply.Revision > revision {
		g.mu.Lock()
		reply.Deployment = g.deployment
		g.mu.Unlock()
	}
	return proto.Marshal(reply)
}

// askEntries asks other entries for newer deployments while those from core processes are not recent, until ctx is
// canceled.
func (g *Gateway) askEntries(ctx context.Context) {
	secret := []byte(g.cfg.Settings().Secret)
	dial := g.cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	client := &http.Client{Timeout: askTimeout, Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if err := bluebellpeer.Authenticate(ctx, conn, secret, g.address, address); err != nil {
				_ = conn.Close()
				return nil, err
			}
			return conn, nil
		},
		MaxIdleConns: askedEntries, IdleConnTimeout: askTimeout,
	}}
	defer client.CloseIdleConnections()
	asking := false
	for ctx.Err() == nil {
		bluebellprocess.Sleep(ctx, askInterval)
		age, known := g.follower.DeclarationAge()
		needed := known && age > g.declarationDue()/2
		if needed != asking {
			asking = needed
			g.cfg.Logger.Info("asking other entries for declarations", "Asking", asking, "Age", age.Round(time.Millisecond), "Revision", g.follower.Revision())
		}
		others := g.follower.OtherEntries()
		if !needed || len(others) == 0 {
			continue
		}
		calls, first := pool.New(), rand.IntN(len(others))
		for n := range min(askedEntries, len(others)) {
			address := others[(first+n)%len(others)].Address
			calls.Go(func() {
				if err := g.askEntry(ctx, client, address); err != nil {
					g.cfg.Logger.Debug("entry did not tell its deployment", "Entry", address, "Error", err)
				}
			})
		}
		calls.Wait()
	}
}

// askEntry asks another entry for its deployment and puts it into force if it is newer.
func (g *Gateway) askEntry(ctx context.Context, client *http.Client, address string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return err
	}
	bluebellhandover.SetDeploymentQuery(r.Header, g.follower.Revision())
	requestedAt := bluebellprocess.Uptime()
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxDeploymentBytes))
	if err = errors.Join(err, bluebellhead.CheckResponse(response)); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	var reply pb.FollowReply
	if err := proto.Unmarshal(body, &reply); err != nil {
		return fmt.Errorf("decode deployment: %w", err)
	}
	g.follower.ApplyRelayed(&reply, requestedAt)
	return nil
}
