package bluebelltransport_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellhead/bluebelloddhead"
	"bluebellhaven.org/bluebellgate/internal/bluebelltransport"
)

// Guards against a response with an odd head that is taken for an answer, or whose body is not the endpoint's, on a new
// connection and on one that has carried a call. It must not be taken for an informational one either, behind which
// its body would be read as a response.
func TestOddHeadIsNoResponse(t *testing.T) {
	for name, head := range bluebelloddhead.Heads("Id: odd\r\n") {
		for _, reused := range []bool{false, true} {
			for _, body := range []string{"body", "HTTP/1.1 200 OK\r\nId: odd\r\nContent-Length: 4\r\n\r\nbody"} {
				s := serve(t, func(conn net.Conn, r *bufio.Reader) {
					for {
						id, ok := readCall(r)
						switch {
						case !ok:
							return
						case id == "odd":
							_, _ = io.WriteString(conn, head+body)
							return
						}
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
					}
				})
				c := bluebelltransport.NewClient(bluebelltransport.Config{})
				if reused {
					_, err := do(t, c, request(s, "sound", ""))
					require.NoError(t, err)
				}
				got, err := do(t, c, request(s, "odd", ""))
				require.ErrorIs(t, err, bluebelltransport.ErrMalformed, "%s: %q", name, got)
			}
		}
	}
}

// Guards against a response whose trailer is no HTTP, buffered or as a stream.
func TestOddTrailerIsNoResponse(t *testing.T) {
	for _, trailer := range []string{"Some Field: 1", "Some-Field : 1", "Some-Field: a\x00b", "Some\x01Field: 1"} {
		s := serve(t, func(conn net.Conn, r *bufio.Reader) {
			if _, ok := readCall(r); ok {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: odd\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n%s\r\n\r\n", trailer)
			}
		})
		c := bluebelltransport.NewClient(bluebelltransport.Config{})
		_, err := do(t, c, request(s, "odd", ""))
		require.ErrorIs(t, err, bluebelltransport.ErrMalformed, trailer)
		_, err = readEvents(c, request(s, "odd", ""))
		require.ErrorIs(t, err, bluebelltransport.ErrMalformed, trailer)
	}
}
