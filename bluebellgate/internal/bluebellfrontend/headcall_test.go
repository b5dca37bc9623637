package bluebellfrontend_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

// The answer to a HEAD call has a length but no body. A copy of it must not take up the beginning of the answer to
// another call, nor must the body of a copy be read as the answer to a HEAD call.
func TestCopiesOfAnswersWithOtherFramingAreSkipped(t *testing.T) {
	answer := func(path, id string) string {
		text := rawText(http.StatusOK, bluebellplatform.AnswerHeader(id, "seal"), bluebellstub.AnswerBody(id))
		if path != "/read/head" {
			return text
		}
		head, _, _ := strings.Cut(text, "\r\n\r\n")
		return head + "\r\n\r\n"
	}
	for name, methods := range map[string][]string{
		"HeadAfterPost": {http.MethodPost, http.MethodHead, http.MethodHead},
		"PostAfterHead": {http.MethodHead, http.MethodPost, http.MethodPost},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t, 0)
			var paths sync.Map
			endpoint := startRaw(t, "i-0", func(c rawCall) rawAnswer {
				paths.Store(c.CallID, c.path)
				if c.earlier == "" {
					return rawAnswer{ran: true, parts: []string{answer(c.path, c.CallID)}}
				}
				earlierPath, _ := paths.Load(c.earlier)
				return rawAnswer{ran: true, parts: []string{answer(earlierPath.(string), c.earlier), answer(c.path, c.CallID)}}
			})
			e.useRaw(endpoint)
			for n, method := range methods {
				path, body := "/read/post", "order"
				if method == http.MethodHead {
					path, body = "/read/head", ""
				}
				got := e.do(method, path, body)
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, "call %d", n)
				require.Equal(t, 1, ran(got.id, endpoint))
				if method != http.MethodHead {
					require.Equal(t, bluebellstub.AnswerBody(got.id), got.body)
				}
			}
		})
	}
}
