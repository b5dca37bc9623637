package bluebelllistener_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelllistener"
)

// failing fails as often as it has errors.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return f.Listener.Accept()
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
}

func TestConnectionsAreAcceptedAfterErrors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var reported []error
	l := bluebelllistener.New(bluebelllistener.Config{
		Listener: &failing{Listener: inner, errs: []error{syscall.EMFILE, syscall.ENOBUFS, syscall.EPROTO}},
		OnError:  func(err error) { reported = append(reported, err) },
	})
	client, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	conn, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.Len(t, reported, 1)
	require.ErrorIs(t, reported[0], syscall.EMFILE)
	require.NoError(t, l.Close())
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
