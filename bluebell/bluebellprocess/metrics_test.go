package bluebellprocess_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellprocess"
)

// Guards against a process that ends, or goes on without one of its tasks, because another listener has the port for metrics.
func TestPortInUseEndsNoProcess(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().(*net.TCPAddr)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		ended <- bluebellprocess.ServeMetrics(ctx, "127.0.0.1", uint32(address.Port), http.NotFoundHandler(), log.New(io.Discard))
	}()
	select {
	case err := <-ended:
		require.Fail(t, "metrics ended", err)
	case <-time.After(300 * time.Millisecond):
	}
	require.NoError(t, listener.Close())
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + address.String())
		return err == nil && response.Body.Close() == nil
	}, 10*time.Second, 50*time.Millisecond)
	cancel()
	require.NoError(t, <-ended)
}
