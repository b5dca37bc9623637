package bluebellfrontend_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/platform/bluebellplatform"
)

// failingListener fails the first Accept as a VM without memory for a connection does.
type failingListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.ENOBUFS}
	}
	return l.Listener.Accept()
}

// An error of one connection ends the entry's listening for good neither for callers nor for health
// checks.
func TestConnectionsAreAcceptedAfterError(t *testing.T) {
	e := startEntryOn(t, 1, func(l net.Listener) net.Listener { return &failingListener{Listener: l} })
	require.Equal(t, http.StatusOK, e.do(http.MethodGet, "/read/x", "").status)
	response, err := http.Get("http://" + e.health + bluebellplatform.ReadyPath)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}
