package bluebellfrontend_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/platform/bluebellplatform"
)

// An answer soon after a lost connection shows that the endpoint has not crashed. A copy of an older answer,
// which the endpoint may have written before, does not.
func TestCopyWithoutIDDoesNotRefuteCrash(t *testing.T) {
	for name, answer := range map[string]func(c rawCall) string{
		"Answer": rawSuccess,
		"Copy":   func(rawCall) string { return rawText(http.StatusOK, http.Header{}, "") },
		"CopyOfRefusal": func(rawCall) string {
			return rawText(http.StatusServiceUnavailable, bluebellplatform.NotRunHeader(""), "")
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t, 0)
			var together sync.WaitGroup
			together.Add(2)
			var reached, reused atomic.Bool
			endpoint := startRaw(t, "i-0", func(c rawCall) rawAnswer {
				switch c.path {
				case "/once/first":
					together.Done()
					together.Wait()
					return rawAnswer{ran: true, parts: []string{rawSuccess(c)}}
				case "/once/crash":
					return rawAnswer{ran: true, closes: true}
				}
				reached.Store(true)
				reused.Store(c.earlier != "")
				return rawAnswer{ran: true, parts: []string{answer(c)}}
			})
			e.useRaw(endpoint)
			var opened sync.WaitGroup
			for range 2 {
				opened.Add(1)
				go func() {
					defer opened.Done()
					e.do(http.MethodPost, "/once/first", "")
				}()
			}
			opened.Wait()
			require.Equal(t, http.StatusBadGateway, e.do(http.MethodPost, "/once/crash", "").status)
			require.NotEmpty(t, e.guard.Report(e.now()))
			crashed := time.Now()
			// The endpoint gets no calls for a moment.
			for !reached.Load() && time.Since(crashed) < time.Second {
				e.do(http.MethodPost, "/once/x", "")
			}
			require.True(t, reused.Load(), "the call must use a connection from before the crash")
			if name == "Answer" {
				require.Empty(t, e.guard.Report(e.now()))
			} else {
				require.NotEmpty(t, e.guard.Report(e.now()))
			}
		})
	}
}
