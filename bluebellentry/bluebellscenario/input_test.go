package bluebellscenario_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/encoding/protojson"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebellfake/bluebellengine"
)

// startCluster starts a deployment inside the test process, applies its configuration and
// waits until all VMs report all endpoints as usable.
func startCluster(t testing.TB, logs io.Writer) *cluster {
	t.Helper()
	c, err := newCluster(t.TempDir(), false, logs)
	require.NoError(t, err)
	t.Cleanup(c.close)
	for _, v := range c.questionnaire.VMs {
		require.NoError(t, c.startVM(v.Name, true))
	}
	_, err = apply(c, nil)
	require.NoError(t, err)
	for _, vm := range c.runningVMs() {
		require.NoError(t, c.awaitUsable(vm))
	}
	return c
}

// TestInvalidInput sends invalid requests and has endpoints send invalid answers. Each
// request must get one error of the right code, other requests must still be answered, and
// no goroutine may be left at the end.
func TestInvalidInput(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Run("Cluster", func(t *testing.T) { testInvalidInput(t, startCluster(t, io.Discard)) })
	goleak.VerifyNone(t, ignore,
		// These goroutines of libraries live as long as the process.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/gofiber/utils/v2.StartTimeStampUpdater.func1"),
		goleak.IgnoreAnyFunction("github.com/gofiber/utils/v2.StartTimeStampUpdater.func1.1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
	)
}

// testInvalidInput runs the cases of TestInvalidInput against one cluster.
func testInvalidInput(t *testing.T, c *cluster) {
	const completions = "/v1/completions"
	validBody := `{"model":"notes","prompt":"text"}`
	cases := []struct {
		name, method, path, key, body string
		headers                       map[string]string
		status                        int
		code                          string
	}{
		{"MalformedJSON", "POST", completions, "north-key", `{"model":`, nil, 400, "BadRequest"},
		{"WrongType", "POST", completions, "north-key", `{"model":"notes","prompt":7}`, nil, 400, "BadRequest"},
		{"WrongStream", "POST", completions, "north-key", `{"model":"notes","prompt":"a","stream":"yes"}`, nil, 400, "BadRequest"},
		{"NoModel", "POST", completions, "north-key", `{"prompt":"text"}`, nil, 400, "BadRequest"},
		{"NoMessages", "POST", "/v1/chat/completions", "north-key", `{"model":"notes"}`, nil, 400, "BadRequest"},
		{"BadUTF8", "POST", completions, "north-key", "{\"model\":\"notes\",\"prompt\":\"\xff\"}", nil, 400, "BadRequest"},
		{"UnknownModel", "POST", completions, "north-key", `{"model":"none","prompt":"text"}`, nil, 404, "UnknownTarget"},
		{"UnknownWork", "POST", completions, "north-key", validBody, map[string]string{"X-Bluebell-Work": "none"}, 400, "BadRequest"},
		{"UnknownRoute", "POST", "/v2/none", "north-key", validBody, nil, 404, "UnknownTarget"},
		{"WrongMethod", "GET", completions, "north-key", "", nil, 405, "UnknownTarget"},
		{"UnknownService", "POST", "/services/none/jobs", "north-key", "{}", nil, 404, "UnknownTarget"},
		{"ModelAsService", "POST", "/services/notes/jobs", "north-key", "{}", nil, 404, "UnknownTarget"},
		{"NoKey", "POST", completions, "", validBody, nil, 401, "Unauthenticated"},
		{"WrongKey", "POST", completions, "east-key", validBody, nil, 401, "Unauthenticated"},
		{"OperatorKeyAsCustomer", "POST", completions, operatorKey, validBody, nil, 401, "Unauthenticated"},
		{"CustomerKeyAsOperator", "GET", "/operator/v1/status", "north-key", "", nil, 401, "Unauthenticated"},
		{"ForgedHop", "POST", completions, "north-key", validBody, map[string]string{"X-Bluebell-Hop": "aG9w", "X-Bluebell-Signature": "00"}, 401, "Unauthenticated"},
		{"NoIdempotencyKey", "POST", "/services/orders/jobs", "north-key", "{}", nil, 400, "BadRequest"},
		{"UpperCaseAndTrailingSlashInPath", "POST", "/services/orders/JOBS/", "north-key", "{}", nil, 400, "BadRequest"},
		{"DotSegmentsInPath", "POST", "/services/orders/x/../jobs", "north-key", "{}", nil, 400, "BadRequest"},
		{"PercentEncodingInPath", "POST", "/services/orders/%6aobs", "north-key", "{}", nil, 400, "BadRequest"},
		{"PathBelowNonIdempotentPath", "POST", "/services/orders/jobs/7", "north-key", "{}", nil, 400, "BadRequest"},
		{"HugeBody", "POST", completions, "north-key", `{"model":"notes","prompt":"` + strings.Repeat("a", 9<<20) + `"}`, nil, 413, "TooLarge"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			resp, err := c.request("gyor-1", tc.method, tc.path, tc.key, tc.headers, []byte(tc.body), 10*time.Second)
			require.NoError(t, err)
			require.Equal(t, tc.status, resp.StatusCode(), "%s", resp.Body())
			var e pb.ErrorBody
			require.NoError(t, protojson.Unmarshal(resp.Body(), &e), "%s", resp.Body())
			require.Equal(t, tc.code, e.Error.Code)
			require.Equal(t, pb.RunState_NotRun, e.Error.Run)
			require.NotEmpty(t, e.Error.Message)
			require.Contains(t, c.sendPrompt("gyor-1", "north", "unharmed", 1), "answered")
		})
	}
	t.Run("InvalidResend", func(t *testing.T) { testInvalidResend(t, c) })
	t.Run("CallerDisconnect", func(t *testing.T) { testCallerDisconnect(t, c) })
	t.Run("IncompleteRequest", func(t *testing.T) { testIncompleteRequest(t, c) })
	t.Run("InvalidAnswer", func(t *testing.T) { testInvalidAnswer(t, c) })
	t.Run("ForeignRequestID", func(t *testing.T) { testForeignRequestID(t, c) })
	t.Run("SilentConnections", func(t *testing.T) { testSilentConnections(t, c) })
	most, _ := c.maxRunsPerCall()
	require.LessOrEqual(t, most, 1)
}

// testInvalidResend sends a second time a call that has run, now with an error for which the
// entry refuses it before it looks up the claim. The refusal must not say that the call did
// not run.
func testInvalidResend(t *testing.T, c *cluster) {
	key := c.idempotencyKey("early")
	require.Contains(t, c.callNonIdempotent("gyor-1", "north", key, "{}"), "answered")
	for name, headers := range map[string]map[string]string{
		"work": {"Idempotency-Key": key, "X-Bluebell-Work": "none"},
		"body": {"Idempotency-Key": key},
	} {
		body := []byte("{}")
		if name == "body" {
			body = make([]byte, 9<<20)
		}
		resp, err := c.request("papa-1", "POST", "/services/orders/jobs", "north-key", headers, body, 10*time.Second)
		require.NoError(t, err)
		var e pb.ErrorBody
		require.NoError(t, protojson.Unmarshal(resp.Body(), &e), "%s", resp.Body())
		require.Equal(t, pb.RunState_Unknown, e.Error.Run, name)
	}
}

// dialCaller opens a TCP connection to a VM's caller port and sends text.
func dialCaller(t *testing.T, c *cluster, vm, text string) net.Conn {
	t.Helper()
	s := c.settings[vm].VM
	conn, err := net.Dial("tcp", net.JoinHostPort(s.Address, fmt.Sprint(s.CallerPort)))
	require.NoError(t, err)
	_, err = conn.Write([]byte(text))
	require.NoError(t, err)
	return conn
}

// streamRequest returns an HTTP request for a streamed answer of a number of tokens.
func streamRequest(tokens int) string {
	body := fmt.Sprintf(`{"model":"notes","stream":true,"prompt":"abandoned","max_tokens":%d}`, tokens)
	return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer north-key\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// activeRequests returns the number of requests that run or wait at all endpoints, as the
// running VMs report it.
func activeRequests(t *testing.T, c *cluster) uint32 {
	t.Helper()
	total := uint32(0)
	for _, vm := range c.runningVMs() {
		s, err := c.status(vm)
		require.NoError(t, err)
		for _, e := range s.Endpoints {
			total += e.Running + e.Waiting
		}
	}
	return total
}

// testCallerDisconnect closes a connection in the middle of a long stream. The slot of the
// stream must become free.
func testCallerDisconnect(t *testing.T, c *cluster) {
	conn := dialCaller(t, c, "gyor-1", streamRequest(60_000))
	_, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Positive(t, activeRequests(t, c))
	require.NoError(t, conn.Close())
	require.NoError(t, await("release of the slot of the closed stream", func() (bool, string) {
		n := activeRequests(t, c)
		return n == 0, fmt.Sprint(n, " running")
	}))
}

// testIncompleteRequest sends part of a request. Other requests must be answered while the
// connection stays open.
func testIncompleteRequest(t *testing.T, c *cluster) {
	conn := dialCaller(t, c, "gyor-1", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	require.Contains(t, c.sendPrompt("gyor-1", "north", "beside", 1), "answered")
	require.NoError(t, conn.Close())
}

// testInvalidAnswer has a service lose its answers, or answer with text that is not HTTP.
// Whether the call ran must be reported as unknown, and the call must not run again.
func testInvalidAnswer(t *testing.T, c *cluster) {
	for _, kind := range []bluebellengine.FaultKind{bluebellengine.LoseAnswer, bluebellengine.Garbage} {
		for _, e := range c.engines {
			e.Inject(bluebellengine.Fault{Kind: kind})
		}
		// The call goes to each VM, so to owners of the endpoint and to others.
		for _, vm := range c.runningVMs() {
			require.Equal(t, "EndpointFailed Unknown", c.callNonIdempotent(vm, "north", c.idempotencyKey(vm+string(kind)), vm+string(kind)))
		}
		for _, e := range c.engines {
			e.Inject(bluebellengine.Fault{Kind: bluebellengine.Heal})
		}
		require.Equal(t, "InProgress Unknown", c.callNonIdempotent("papa-2", "north", c.idempotencyKey("gyor-1"+string(kind)), "gyor-1"+string(kind)))
	}
}

// TestGracefulStopCompletesStreams stops one VM after the other while streams run through
// them and through the owners of their endpoints. All streams must arrive complete.
func TestGracefulStopCompletesStreams(t *testing.T) {
	c := startCluster(t, io.Discard)
	const streams = 4
	const lastEvent = "data: [DONE]\n\n"
	started, ended := make(chan error, streams), make(chan string, streams)
	for i := range streams {
		conn := dialCaller(t, c, c.questionnaire.VMs[i%2].Name, strings.Replace(streamRequest(1500), "abandoned", fmt.Sprintf("stream%03d", i), 1))
		go func() {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil && resp.StatusCode != http.StatusOK {
				err = errors.New(resp.Status)
			}
			started <- err
			if err != nil {
				return
			}
			body, err := io.ReadAll(resp.Body)
			ended <- fmt.Sprint(err, " ", string(body[max(0, len(body)-len(lastEvent)):]))
			_ = conn.Close()
		}()
	}
	for range streams {
		require.NoError(t, <-started)
	}
	// These are the VMs that accepted the streams, and one owner in each other failure
	// domain.
	for _, vm := range []string{"gyor-1", "gyor-2", "papa-1", "tata-2"} {
		require.NoError(t, c.stopVM(vm, false))
	}
	for range streams {
		require.Equal(t, "<nil> "+lastEvent, <-ended)
	}
}

// testForeignRequestID has endpoints answer with the ID of another request. No caller may
// get such an answer.
func testForeignRequestID(t *testing.T, c *cluster) {
	for _, e := range c.engines {
		e.Inject(bluebellengine.Fault{Kind: bluebellengine.Cross})
	}
	require.NotContains(t, c.sendPrompt("gyor-1", "north", "crossed", 1), "answered")
	require.Equal(t, "EndpointFailed Unknown", c.callNonIdempotent("gyor-1", "north", c.idempotencyKey("crossed"), "{}"))
	for _, e := range c.engines {
		e.Inject(bluebellengine.Fault{Kind: bluebellengine.Heal})
	}
	require.NoError(t, await("an answer to a prompt", func() (bool, string) {
		seen := c.sendPrompt("gyor-1", "north", "crossed", 1)
		return strings.HasPrefix(seen, "answered"), seen
	}))
}

// testSilentConnections stops the data on all open connections of the endpoints. Calls must
// be answered over new connections.
func testSilentConnections(t *testing.T, c *cluster) {
	for i := range 20 {
		c.sendPrompt(c.runningVMs()[i%6], "north", fmt.Sprint("text", i), 1)
	}
	for _, e := range c.engines {
		e.Inject(bluebellengine.Fault{Kind: bluebellengine.Silence})
	}
	require.NoError(t, await("an answer over new connections", func() (bool, string) {
		seen := c.sendPrompt("gyor-1", "north", "after silence", 1)
		return strings.HasPrefix(seen, "answered"), seen
	}))
}
