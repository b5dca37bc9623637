package bluebelllistener_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebelllistener"
)

// pair returns both sides of a connection.
func pair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	client, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	server, err = l.Accept()
	require.NoError(t, err)
	require.NoError(t, l.Close())
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

func TestLingerDropsWhatArrivesUntilPeerCloses(t *testing.T) {
	client, server := pair(t)
	_, err := io.WriteString(server, "refused")
	require.NoError(t, err)
	closed := make(chan error, 1)
	go func() { closed <- bluebelllistener.Linger{Timeout: 10 * time.Second, MaxBytes: 1 << 20}.Close(server) }()
	for range 10 {
		_, err := client.Write(make([]byte, 1<<10))
		require.NoError(t, err)
		time.Sleep(5 * time.Millisecond)
	}
	answer, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Equal(t, "refused", string(answer))
	require.Empty(t, closed)
	require.NoError(t, client.Close())
	require.NoError(t, <-closed)
}

func TestLingerIsBounded(t *testing.T) {
	for name, linger := range map[string]bluebelllistener.Linger{
		"Timeout":  {Timeout: 100 * time.Millisecond, MaxBytes: 1 << 40},
		"MaxBytes": {Timeout: time.Hour, MaxBytes: 64 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, server := pair(t)
			go func() {
				for {
					if _, err := client.Write(make([]byte, 4<<10)); err != nil {
						return
					}
				}
			}()
			started := time.Now()
			require.NoError(t, linger.Close(server))
			require.Less(t, time.Since(started), 5*time.Second)
			_, err := server.Read(make([]byte, 1))
			require.ErrorIs(t, err, net.ErrClosed)
		})
	}
}
