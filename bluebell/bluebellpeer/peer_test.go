package bluebellpeer_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellpeer"
)

// server answers Status, after wait if it is set.
type server struct {
	pb.DRPCPeerUnimplementedServer
	wait chan struct{}
}

func (s *server) Status(ctx context.Context, _ *pb.StatusRequest) (*pb.StatusReply, error) {
	if s.wait != nil {
		select {
		case <-s.wait:
		case <-ctx.Done():
		}
	}
	return &pb.StatusReply{VM: "b"}, nil
}

func serve(t *testing.T, s *server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- bluebellpeer.Serve(ctx, listener, []byte("secret"), "b", s) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	return listener.Addr().String()
}

func status(client *bluebellpeer.Client, d time.Duration) (*pb.StatusReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return client.Status(ctx, &pb.StatusRequest{})
}

func TestOnlyTheSystemIsAnswered(t *testing.T) {
	address := serve(t, &server{})
	cases := []struct {
		name, peer, secret string
		ok                 bool
	}{{"Right", "b", "secret", true}, {"WrongSecret", "b", "guess", false}, {"OtherPeer", "c", "secret", false}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			client := bluebellpeer.NewClient(bluebellpeer.ClientConfig{Address: address, Peer: tc.peer, Name: "a", Secret: []byte(tc.secret)})
			defer client.Close()
			reply, err := status(client, 5*time.Second)
			if tc.ok {
				require.NoError(t, err)
				require.Equal(t, "b", reply.VM)
				return
			}
			require.ErrorIs(t, err, bluebellpeer.ErrUnauthenticated)
		})
	}
}

// TestAStrangerGetsNoProof speaks the protocol without the secret: what comes back
// is the greeting alone.
func TestAStrangerGetsNoProof(t *testing.T) {
	conn, err := net.Dial("tcp", serve(t, &server{}))
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	// A name of one byte, a nonce, and a wrong proof.
	_, err = conn.Write(append([]byte{1, 'x'}, make([]byte, 64)...))
	require.NoError(t, err)
	greeting := make([]byte, 200)
	got := 0
	for {
		n, err := conn.Read(greeting[got:])
		got += n
		if err != nil {
			break
		}
	}
	require.Equal(t, 1+len("b")+32, got)
}

func TestACallNeedsADeadline(t *testing.T) {
	client := bluebellpeer.NewClient(bluebellpeer.ClientConfig{Address: serve(t, &server{}), Peer: "b", Name: "a", Secret: []byte("secret")})
	defer client.Close()
	_, err := client.Status(context.Background(), &pb.StatusRequest{})
	require.ErrorContains(t, err, "no deadline")
}

// TestAMissedDeadlineLeadsToANewConnection lets one call hang; the next goes over
// a new connection.
func TestAMissedDeadlineLeadsToANewConnection(t *testing.T) {
	wait := make(chan struct{})
	dials := 0
	client := bluebellpeer.NewClient(bluebellpeer.ClientConfig{
		Address: serve(t, &server{wait: wait}), Peer: "b", Name: "a", Secret: []byte("secret"),
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			dials++
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	})
	defer client.Close()
	_, err := status(client, 50*time.Millisecond)
	require.True(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	close(wait)
	_, err = status(client, 5*time.Second)
	require.NoError(t, err)
	_, err = status(client, 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, 2, dials)
}

// The load pattern: a peer's VM is so slow, or the way there so long, that a connection takes
// more than the first attempt has. Later attempts have longer, so that it is reached at all.
func TestASlowPeerIsReachedInTheEnd(t *testing.T) {
	client := bluebellpeer.NewClient(bluebellpeer.ClientConfig{
		Address: serve(t, &server{}), Peer: "b", Name: "a", Secret: []byte("secret"),
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			select {
			case <-time.After(700 * time.Millisecond):
				return (&net.Dialer{}).DialContext(ctx, network, address)
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	})
	defer client.Close()
	var err error
	for range 4 {
		if _, err = status(client, 3*time.Second); err == nil {
			return
		}
	}
	require.NoError(t, err)
}
