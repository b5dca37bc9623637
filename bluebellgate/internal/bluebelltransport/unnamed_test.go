package bluebelltransport_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellgate/internal/bluebelltransport"
)

// Calls without an ID, such as those to other entries, leave nothing to remember and do not wear out
// their connection.
func TestCallsWithoutIDKeepTheirConnection(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			if _, ok := readCall(r); !ok {
				return
			}
			writeResponse(conn, "", "ok")
		}
	})
	c := bluebelltransport.NewClient(bluebelltransport.Config{})
	for range 600 {
		r := request(s, "", "order")
		r.MatchResponse = func(int, http.Header) bool { return true }
		_, err := do(t, c, r)
		require.NoError(t, err)
	}
	require.EqualValues(t, 1, s.opened.Load())
}
