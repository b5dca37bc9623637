package bluebellorder_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/platform/bluebellplatform"
)

// Guards against a report with an odd head that is believed: it says that the endpoint has the requested weights.
func TestReportWithOddHeadIsNotBelieved(t *testing.T) {
	for _, odd := range []string{"000 OK\r\nFirst: 1", "999 OK\r\nFirst: 1", "200 OK\r\nSome Field: 1", "200 OK\r\nSome-Field : 1", "200 OK\r\nSome-Field: a\x00b"} {
		t.Run(odd, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 0)
			e := &endpoint{id: "i-0", version: 1}
			c.endpoints = append(c.endpoints, e)
			text, err := bluebellplatform.EncodeReport(bluebellplatform.EndpointReport{Weights: map[string]uint64{"m0": 2}})
			require.NoError(t, err)
			var reports atomic.Int32
			c.register(t, e, serveCopies(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(e, w, r) }),
				func(path string, _ []answer) []byte {
					if path != bluebellplatform.ReportPath || reports.Add(1) > 3 {
						return nil
					}
					return fmt.Appendf(nil, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", odd, len(text), text)
				}))
			c.requested.Store(2)
			require.Eventually(t, func() bool { return c.orders() == 1 }, eventTimeout, time.Millisecond, "the endpoint is not ordered to load weights")
			require.Eventually(t, func() bool { return c.allHave(2) }, eventTimeout, time.Millisecond)
		})
	}
}
