package bluebellpeer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellpeer"
)

// listen starts a listener that echoes one byte on each authenticated connection.
func listen(t *testing.T) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := bluebellpeer.NewListener(inner, []byte("secret"), "server")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.CopyN(conn, conn, 1)
				_ = conn.Close()
			}()
		}
	}()
	t.Cleanup(func() {
		require.NoError(t, listener.Close())
		<-ended
	})
	return inner.Addr().String()
}

// echoes authenticates a connection and reports whether it is served.
func echoes(t *testing.T, address, secret, peer string) error {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := bluebellpeer.Authenticate(ctx, conn, []byte(secret), "client", peer); err != nil {
		return err
	}
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err = io.ReadFull(conn, make([]byte, 1))
	return err
}

// Only connections of peers that know the secret are accepted, and clients detect the wrong server.
func TestListenerAuthenticates(t *testing.T) {
	address := listen(t)
	require.NoError(t, echoes(t, address, "secret", "server"))
	require.Error(t, echoes(t, address, "other", "server"))
	require.ErrorIs(t, echoes(t, address, "secret", "another"), bluebellpeer.ErrUnauthenticated)
}

// Connections whose handshake hangs do not keep others waiting.
func TestHangingHandshakeBlocksNoOther(t *testing.T) {
	address := listen(t)
	for range 20 {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	start := time.Now()
	require.NoError(t, echoes(t, address, "secret", "server"))
	require.Less(t, time.Since(start), time.Second)
}

// A connection that sends no handshake is closed without an answer.
func TestListenerClosesStrangers(t *testing.T) {
	conn, err := net.Dial("tcp", listen(t))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 200\r\n\r\n"+string(make([]byte, 200)))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	got, _ := io.ReadAll(conn)
	require.NotContains(t, string(got), "HTTP/1.1")
}
