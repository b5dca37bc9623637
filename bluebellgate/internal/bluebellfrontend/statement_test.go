package bluebellfrontend_test

import (
	"maps"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/platform/bluebellplatform"
)

// with returns a header with the fields of another one added.
func with(h, more http.Header) http.Header {
	maps.Copy(h, more)
	return h
}

// use returns what an entry reports about an endpoint.
func (e *entry) use(endpoint *rawEndpoint) bluebellplacement.EndpointUse {
	return e.placer.Uses(e.now())[endpoint.ID]
}

// An answer without an ID on a connection that has carried a call may be a copy of an older answer, which
// states what no longer holds, or of one of an endpoint that has had the address before.
func TestStatementsOfCopyWithoutIDAreIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		// said is what the answers before the copy state. The copy is that of the first one.
		said []http.Header
		// restarts is set if the endpoint has another ID before the copy.
		restarts bool
		check    func(t *testing.T, e *entry, endpoint *rawEndpoint)
	}{
		"EndedLimit": {said: []http.Header{bluebellplatform.LimitHeader("1000"), nil}, check: func(t *testing.T, e *entry, endpoint *rawEndpoint) {
			require.False(t, e.use(endpoint).Limit.Named)
		}},
		"BeforeLimit": {said: []http.Header{nil, bluebellplatform.LimitHeader("1000")}, check: func(t *testing.T, e *entry, endpoint *rawEndpoint) {
			require.True(t, e.use(endpoint).Limit.Named)
		}},
		"OtherLimit": {said: []http.Header{bluebellplatform.LimitHeader("2000"), bluebellplatform.LimitHeader("1000")}, check: func(t *testing.T, e *entry, endpoint *rawEndpoint) {
			require.InDelta(t, 1000, e.use(endpoint).Limit.PerSecond, 0)
		}},
		"OtherBrittleness": {said: []http.Header{bluebellplatform.BrittleHeader("7"), bluebellplatform.BrittleHeader("5")}, check: func(t *testing.T, e *entry, endpoint *rawEndpoint) {
			require.InDelta(t, 5, e.use(endpoint).Brittle.PerSecond, 0)
		}},
		"LoadReport": {said: []http.Header{bluebellplatform.LoadReportHeader("6,20,6"), bluebellplatform.LoadReportHeader("0,0,6")}, check: func(t *testing.T, e *entry, endpoint *rawEndpoint) {
			require.Zero(t, e.use(endpoint).Report.Waiting)
		}},
		"LeavingOfEndpointBefore": {said: []http.Header{bluebellplatform.LeavingHeader("1")}, restarts: true, check: func(t *testing.T, e *entry, endpoint *rawEndpoint) {
			require.True(t, e.placer.IsLeaving(endpoint.Endpoint))
			require.False(t, e.placer.IsLeaving(restarted(endpoint.Endpoint)))
		}},
	} {
		for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
			t.Run(name+http.StatusText(status), func(t *testing.T) {
				e := startEntry(t, 0)
				var received atomic.Int64
				endpoint := startRaw(t, "i-0", func(call rawCall) rawAnswer {
					if n := int(received.Add(1)); n <= len(c.said) {
						return rawAnswer{ran: true, parts: []string{rawText(http.StatusOK, with(sealed(call, ""), c.said[n-1]), "")}}
					}
					copied := http.Header{}
					if status != http.StatusOK {
						copied = bluebellplatform.NotRunHeader("")
					}
					return rawAnswer{ran: true, parts: []string{rawText(status, with(copied, c.said[0]), "") + rawSuccess(call)}}
				})
				e.useRaw(endpoint)
				for range c.said {
					require.Equal(t, http.StatusOK, e.do(http.MethodPost, "/once/x", "").status)
				}
				if c.restarts {
					e.registerOnly(restarted(endpoint.Endpoint))
				}
				e.do(http.MethodPost, "/once/x", "")
				require.Equal(t, len(c.said)+1, int(received.Load()))
				c.check(t, e, endpoint)
			})
		}
	}
}

// An answer by which an endpoint says that the call was meant for another one states nothing about that.
func TestStatementsOfMisdirectedAnswerAreIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		before, said http.Header
		check        func(t *testing.T, e *entry, endpoint *rawEndpoint)
	}{
		"Limit": {said: bluebellplatform.LimitHeader("2"), check: func(t *testing.T, e *entry, endpoint *rawEndpoint) {
			require.False(t, e.use(endpoint).Limit.Named)
		}},
		"NoLimit": {before: bluebellplatform.LimitHeader("1000"), check: func(t *testing.T, e *entry, endpoint *rawEndpoint) {
			require.True(t, e.use(endpoint).Limit.Named)
		}},
		"Brittleness": {said: bluebellplatform.BrittleHeader("5"), check: func(t *testing.T, e *entry, endpoint *rawEndpoint) {
			require.False(t, e.use(endpoint).Brittle.Named)
		}},
		"LoadReport": {said: bluebellplatform.LoadReportHeader("6,20,6"), check: func(t *testing.T, e *entry, endpoint *rawEndpoint) {
			require.Zero(t, e.use(endpoint).Report.Waiting)
		}},
		"Leaving": {said: bluebellplatform.LeavingHeader("1"), check: func(t *testing.T, e *entry, endpoint *rawEndpoint) {
			require.False(t, e.placer.IsLeaving(endpoint.Endpoint))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t, 0)
			var received atomic.Int64
			endpoint := startRaw(t, "i-0", func(call rawCall) rawAnswer {
				if received.Add(1) == 1 {
					return rawAnswer{ran: true, parts: []string{rawText(http.StatusOK, with(sealed(call, ""), c.before), "")}}
				}
				return rawAnswer{parts: []string{rawText(http.StatusMisdirectedRequest, with(bluebellplatform.AnswerHeader(call.CallID, "seal"), c.said), "")}}
			})
			e.useRaw(endpoint)
			require.Equal(t, http.StatusOK, e.do(http.MethodPost, "/once/x", "").status)
			require.Equal(t, http.StatusServiceUnavailable, e.do(http.MethodPost, "/once/x", "").status)
			require.Equal(t, 2, int(received.Load()))
			c.check(t, e, endpoint)
		})
	}
}
