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

// maxMessage is the largest message in bytes: a snapshot of the whole state.
const maxMessage = 256 << 20

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
		Stream: drpcstream.Options{MaximumBufferSize: maxMessage},
	}
}

// Serve answers calls of authenticated peers until the context ends.
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
			closeOnEnd := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer closeOnEnd()
			if _, err := handshake(ctx, conn, secret, name, serverSide); err != nil {
				return
			}
			_ = server.ServeOne(ctx, conn)
		})
	}
}
