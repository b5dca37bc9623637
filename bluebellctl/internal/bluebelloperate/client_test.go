package bluebelloperate_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellhead/bluebelloddhead"
	"bluebellhaven.org/bluebellctl/internal/bluebelloperate"
)

// Guards against an answer with a status of 000, which the HTTP client takes for 200, or with a line in its head that is no
// field: operators would be told that a change is in force.
func TestOddHeadIsNoAnswer(t *testing.T) {
	for name, head := range bluebelloddhead.Heads("Content-Type: application/json\r\n") {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, head+"{  }")
				}
				_ = conn.Close()
			}
		}()
		_, err = bluebelloperate.NewClient([]string{listener.Addr().String()}, "key").Status()
		require.Error(t, err, name)
	}
}
