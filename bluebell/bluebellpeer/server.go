package bluebellpeer

import (
	"context"
	"errors"
	"net"

	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// maxMessageBytes limits the size of a message. The largest message is a snapshot of the
// whole replicated state.
const maxMessageBytes = 256 << 20

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream: drpcstream.Options{MaximumBufferSize: maxMessageBytes},
	}
}

// Serve serves calls of authenticated peers until ctx is done or the listener fails. A
// connection that fails the handshake is closed.
func Serve(ctx context.Context, listener net.Listener, secret []byte, name string, handler pb.DRPCPeerServer) error {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterPeer(mux, handler); err != nil {
		return err
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		group.Go(func() {
			defer func() { _ = conn.Close() }()
			stopClose := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer stopClose()
			if _, err := handshake(ctx, conn, secret, name, serverSide); err != nil {
				return
			}
			_ = server.ServeOne(ctx, conn)
		})
	}
}
