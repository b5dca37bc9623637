package bluebellfrontend_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellfake/bluebellstub"
)

// An endpoint that crashes when it turns too many calls away for want of room does not have to, under
// several times the load that it can take, and its slots are used.
func TestBrittleEndpointsDoNotCrashUnderLoad(t *testing.T) {
	const (
		processing = 40 * time.Millisecond
		settling   = 300 * time.Millisecond
		duration   = 2 * time.Second
		callers    = 80
	)
	for _, perSecond := range []int{0, 3} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			e := startEntry(t, 2)
			for _, endpoint := range e.endpoints {
				endpoint.SetProcessingTime(processing)
				endpoint.SetBrittle(perSecond, settling)
			}
			var served atomic.Int64
			var calls sync.WaitGroup
			started := time.Now()
			for n := range callers {
				calls.Add(1)
				go func() {
					defer calls.Done()
					for time.Since(started) < settling+duration {
						c := e.do(http.MethodGet, []string{"/read/x", "/stream/x"}[n%2], "")
						if c.status == http.StatusOK && time.Since(started) > settling {
							served.Add(1)
						}
						time.Sleep(10 * time.Millisecond)
					}
				}()
			}
			calls.Wait()
			for _, endpoint := range e.endpoints {
				refusals, fell := endpoint.Refusals()
				require.False(t, fell, "%d calls turned away, may turn away %d a second", len(refusals), perSecond)
			}
			// Streams take StreamEvents times as long as other calls.
			capacity := 2 * bluebellstub.Slots * int(duration/processing) / bluebellstub.StreamEvents
			require.Greater(t, int(served.Load()), capacity/2)
		})
	}
}
