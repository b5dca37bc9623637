package bluebellpeer

import (
	"context"
	"errors"
	"net"
	"runtime/debug"

	"github.com/sourcegraph/conc"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"bluebellhaven.org/bluebell/bluebelllistener"
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

// ServerConfig configures Serve.
type ServerConfig struct {
	Listener net.Listener
	Secret   []byte
	// Name is the name of this process.
	Name    string
	Handler pb.DRPCPeerServer
	// OnPanic is called with each panic of the handler. The call fails, its connection is
	// closed, and the process goes on. It may be nil.
	OnPanic func(method string, value any, stack []byte)
}

// errHandlerPanic is the error of a call whose handler panicked.
var errHandlerPanic = errors.New("internal error")

// containment turns a panic of a handler into an error of its call: one message that a handler
// does not expect must not end the process.
type containment struct {
	drpc.Handler
	onPanic func(method string, value any, stack []byte)
}

// HandleRPC serves one call.
func (c containment) HandleRPC(stream drpc.Stream, method string) (err error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if c.onPanic != nil {
			c.onPanic(method, value, debug.Stack())
		}
		err = errHandlerPanic
	}()
	return c.Handler.HandleRPC(stream, method)
}

// Serve serves calls of authenticated peers until ctx is done or the listener is closed. A
// connection that fails the handshake is closed.
func Serve(ctx context.Context, cfg ServerConfig) error {
	listener := bluebelllistener.New(bluebelllistener.Config{Listener: cfg.Listener})
	mux := drpcmux.New()
	if err := pb.DRPCRegisterPeer(mux, cfg.Handler); err != nil {
		return err
	}
	server := drpcserver.NewWithOptions(containment{Handler: mux, onPanic: cfg.OnPanic}, drpcserver.Options{Manager: managerOptions()})
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
			// The listener has been closed.
			return nil
		}
		group.Go(func() {
			defer func() { _ = conn.Close() }()
			stopClose := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer stopClose()
			if _, err := handshake(ctx, conn, cfg.Secret, cfg.Name, serverSide); err != nil {
				return
			}
			_ = server.ServeOne(ctx, conn)
		})
	}
}
