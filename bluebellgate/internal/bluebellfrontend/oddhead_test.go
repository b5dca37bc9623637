package bluebellfrontend_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellhead/bluebelloddhead"
	"bluebellhaven.org/platform/bluebellplatform"
)

// Guards against a caller that gets a response with a status of 000, or with a line in its head that is no field, as an
// answer, or another body than the endpoint's.
func TestOddHeadsReachNoCaller(t *testing.T) {
	for _, path := range []string{"/once/x", "/read/x", "/stream/x", "/stream/again/x"} {
		t.Run(strings.ReplaceAll(path[1:], "/", "_"), func(t *testing.T) {
			t.Parallel()
			for name := range bluebelloddhead.Heads("") {
				e := startEntry(t, 0)
				endpoint := startRaw(t, "i-0", func(c rawCall) rawAnswer {
					var fields strings.Builder
					// Writes to a strings.Builder do not fail.
					_ = bluebellplatform.AnswerHeader(c.CallID, "seal").Write(&fields)
					return rawAnswer{ran: true, closes: true, parts: []string{bluebelloddhead.Heads(fields.String())[name] + "id: 1\ndata: 1\n\n"}}
				})
				e.useRaw(endpoint)
				got := e.do(http.MethodPost, path, "order")
				require.NoError(t, got.err, name)
				require.GreaterOrEqual(t, got.status, 500, name)
				require.NotEqual(t, http.StatusServiceUnavailable, got.status, "%s: the call has run", name)
				require.Empty(t, bluebellplatform.Seal(got.header), name)
			}
		})
	}
}
