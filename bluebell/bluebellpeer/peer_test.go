package bluebellpeer_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellpeer"
)

// server answers Status. If release is set, it answers only after release is closed or
// the call's context is done.
type server struct {
	pb.DRPCPeerUnimplementedServer
	release chan struct{}
	// faulty makes Propose panic. panics counts the reported panics.
	faulty bool
	panics atomic.Int64
}

func (s *server) Propose(context.Context, *pb.ProposeRequest) (*pb.ProposeReply, error) {
	if s.faulty {
		panic("a message that the handler does not expect")
	}
	return &pb.ProposeReply{}, nil
}

func (s *server) Status(ctx context.Context, _ *pb.StatusRequest) (*pb.StatusReply, error) {
	if s.release != nil {
		select {
		case <-s.release:
		case <-ctx.Done():
		}
	}
	return &pb.StatusReply{VM: "b"}, nil
}

// serve starts a server with the name "b" and returns its address.
func serve(t *testing.T, s *server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return serveOn(t, s, listener)
}

// serveOn starts a server with the name "b" on a listener and returns its address.
func serveOn(t *testing.T, s *server, listener net.Listener) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- bluebellpeer.Serve(ctx, bluebellpeer.ServerConfig{Listener: listener, Secret: []byte("secret"), Name: "b", Handler: s, OnPanic: func(string, any, []byte) { s.panics.Add(1) }})
	}()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	return listener.Addr().String()
}

func status(client *bluebellpeer.Client, timeout time.Duration) (*pb.StatusReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return client.Status(ctx, &pb.StatusRequest{})
}

// crowdedListener fails the first Accept as a process without free descriptors does.
type crowdedListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *crowdedListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A lack of descriptors ends no server.
func TestCallsAreServedAfterFailedAccept(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := serveOn(t, &server{}, &crowdedListener{Listener: listener})
	client := bluebellpeer.NewClient(bluebellpeer.ClientConfig{Address: address, Peer: "b", Name: "a", Secret: []byte("secret")})
	defer client.Close()
	reply, err := status(client, time.Second)
	require.NoError(t, err)
	require.Equal(t, "b", reply.VM)
}

func TestCallRequiresSecretAndExpectedPeerName(t *testing.T) {
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

// TestServerSendsNoProofToUnauthenticatedClient sends a wrong proof. The server must send
// only its hello message.
func TestServerSendsNoProofToUnauthenticatedClient(t *testing.T) {
	conn, err := net.Dial("tcp", serve(t, &server{}))
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	// A name of one byte, a nonce and a wrong proof.
	_, err = conn.Write(append([]byte{1, 'x'}, make([]byte, 64)...))
	require.NoError(t, err)
	helloMessage := make([]byte, 200)
	received := 0
	for {
		n, err := conn.Read(helloMessage[received:])
		received += n
		if err != nil {
			break
		}
	}
	require.Equal(t, 1+len("b")+32, received)
}

func TestCallWithoutDeadlineFails(t *testing.T) {
	client := bluebellpeer.NewClient(bluebellpeer.ClientConfig{Address: serve(t, &server{}), Peer: "b", Name: "a", Secret: []byte("secret")})
	defer client.Close()
	_, err := client.Status(context.Background(), &pb.StatusRequest{})
	require.ErrorContains(t, err, "no deadline")
}

// TestConnectionIsReplacedAfterMissedDeadline lets one call exceed its deadline. The next
// call must open a new connection, which the call after it uses too.
func TestConnectionIsReplacedAfterMissedDeadline(t *testing.T) {
	release := make(chan struct{})
	dials := 0
	client := bluebellpeer.NewClient(bluebellpeer.ClientConfig{
		Address: serve(t, &server{release: release}), Peer: "b", Name: "a", Secret: []byte("secret"),
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			dials++
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	})
	defer client.Close()
	_, err := status(client, 50*time.Millisecond)
	require.True(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	close(release)
	_, err = status(client, 5*time.Second)
	require.NoError(t, err)
	_, err = status(client, 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, 2, dials)
}

// TestConnectTimeoutGrowsForSlowPeer guards against a peer that is never reached because
// connecting to it, over a slow network or to a slow VM, takes longer than the timeout of
// the first attempt.
func TestConnectTimeoutGrowsForSlowPeer(t *testing.T) {
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

// A panic in the handler of one call ended the whole process.
func TestHandlerPanicFailsOnlyItsCall(t *testing.T) {
	s := &server{faulty: true}
	client := bluebellpeer.NewClient(bluebellpeer.ClientConfig{Address: serve(t, s), Peer: "b", Name: "a", Secret: []byte("secret")})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for i := range 3 {
		_, err := client.Propose(ctx, &pb.ProposeRequest{})
		require.Error(t, err)
		require.Equal(t, int64(i+1), s.panics.Load())
		_, err = status(client, 5*time.Second)
		require.NoError(t, err, "other calls are served")
	}
}
