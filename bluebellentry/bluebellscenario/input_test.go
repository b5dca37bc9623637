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

// startCluster starts a deployment in this process and waits until it is in use.
func startCluster(t testing.TB, logs io.Writer) *cluster {
	t.Helper()
	c, err := newCluster(t.TempDir(), false, logs)
	require.NoError(t, err)
	t.Cleanup(c.close)
	for _, v := range c.questionnaire.VMs {
		require.NoError(t, c.start(v.Name, true))
	}
	_, err = apply(c, nil)
	require.NoError(t, err)
	for _, vm := range c.running() {
		require.NoError(t, c.awaitUsable(vm))
	}
	return c
}

// TestBadInput sends what callers should not, and holds each answer to one clear
// error, with no harm to other requests and nothing left behind.
func TestBadInput(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Run("Cluster", func(t *testing.T) { badInput(t, startCluster(t, io.Discard)) })
	goleak.VerifyNone(t, ignore,
		// Library goroutines that live as long as the process.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/gofiber/utils/v2.StartTimeStampUpdater.func1"),
		goleak.IgnoreAnyFunction("github.com/gofiber/utils/v2.StartTimeStampUpdater.func1.1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
	)
}

func badInput(t *testing.T, c *cluster) {
	const completions = "/v1/completions"
	good := `{"model":"notes","prompt":"text"}`
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
		{"UnknownWork", "POST", completions, "north-key", good, map[string]string{"X-Bluebell-Work": "none"}, 400, "BadRequest"},
		{"UnknownRoute", "POST", "/v2/none", "north-key", good, nil, 404, "UnknownTarget"},
		{"WrongMethod", "GET", completions, "north-key", "", nil, 405, "UnknownTarget"},
		{"UnknownService", "POST", "/services/none/jobs", "north-key", "{}", nil, 404, "UnknownTarget"},
		{"ModelAsService", "POST", "/services/notes/jobs", "north-key", "{}", nil, 404, "UnknownTarget"},
		{"NoKey", "POST", completions, "", good, nil, 401, "Unauthenticated"},
		{"WrongKey", "POST", completions, "east-key", good, nil, 401, "Unauthenticated"},
		{"OperatorKeyAsCustomer", "POST", completions, operatorKey, good, nil, 401, "Unauthenticated"},
		{"CustomerKeyAsOperator", "GET", "/operator/v1/status", "north-key", "", nil, 401, "Unauthenticated"},
		{"ForgedHop", "POST", completions, "north-key", good, map[string]string{"X-Bluebell-Hop": "aG9w", "X-Bluebell-Signature": "00"}, 401, "Unauthenticated"},
		{"NoIdempotencyKey", "POST", "/services/orders/jobs", "north-key", "{}", nil, 400, "BadRequest"},
		{"CaseAroundAPath", "POST", "/services/orders/JOBS/", "north-key", "{}", nil, 400, "BadRequest"},
		{"DotsAroundAPath", "POST", "/services/orders/x/../jobs", "north-key", "{}", nil, 400, "BadRequest"},
		{"EscapesInAPath", "POST", "/services/orders/%6aobs", "north-key", "{}", nil, 400, "BadRequest"},
		{"BelowAPath", "POST", "/services/orders/jobs/7", "north-key", "{}", nil, 400, "BadRequest"},
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
			require.Contains(t, c.prompt("gyor-1", "north", "unharmed", 1), "answered")
		})
	}
	t.Run("EarlyRefusalOfAResend", func(t *testing.T) { earlyRefusal(t, c) })
	t.Run("AbandonedCaller", func(t *testing.T) { abandonedCaller(t, c) })
	t.Run("SlowCaller", func(t *testing.T) { slowCaller(t, c) })
	t.Run("BrokenUpstream", func(t *testing.T) { brokenUpstream(t, c) })
	t.Run("CrossedAnswers", func(t *testing.T) { crossedAnswers(t, c) })
	t.Run("SilentConnections", func(t *testing.T) { silentConnections(t, c) })
	most, _ := c.mostRuns()
	require.LessOrEqual(t, most, 1)
}

// earlyRefusal resends a call that ran, with a mistake that is found before its claim
// is looked at: that is not said to be not run.
func earlyRefusal(t *testing.T, c *cluster) {
	key := c.key("early")
	require.Contains(t, c.order("gyor-1", "north", key, "{}"), "answered")
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

// dialCaller opens a raw connection to a VM's caller port and sends text.
func dialCaller(t *testing.T, c *cluster, vm, text string) net.Conn {
	t.Helper()
	s := c.settings[vm].VM
	conn, err := net.Dial("tcp", net.JoinHostPort(s.Address, fmt.Sprint(s.CallerPort)))
	require.NoError(t, err)
	_, err = conn.Write([]byte(text))
	require.NoError(t, err)
	return conn
}

func streamRequest(tokens int) string {
	body := fmt.Sprintf(`{"model":"notes","stream":true,"prompt":"abandoned","max_tokens":%d}`, tokens)
	return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer north-key\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// running counts the requests that run on all endpoints, as their owners know.
func running(t *testing.T, c *cluster) uint32 {
	t.Helper()
	total := uint32(0)
	for _, vm := range c.running() {
		s, err := c.status(vm)
		require.NoError(t, err)
		for _, e := range s.Endpoints {
			total += e.Running + e.Waiting
		}
	}
	return total
}

// abandonedCaller leaves in the middle of a long stream; its slot is free soon.
func abandonedCaller(t *testing.T, c *cluster) {
	conn := dialCaller(t, c, "gyor-1", streamRequest(60_000))
	_, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Positive(t, running(t, c))
	require.NoError(t, conn.Close())
	require.NoError(t, await("the abandoned stream's slot", func() (bool, string) {
		n := running(t, c)
		return n == 0, fmt.Sprint(n, " running")
	}))
}

// slowCaller sends half a request and then nothing; others are served.
func slowCaller(t *testing.T, c *cluster) {
	conn := dialCaller(t, c, "gyor-1", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	require.Contains(t, c.prompt("gyor-1", "north", "beside", 1), "answered")
	require.NoError(t, conn.Close())
}

// brokenUpstream lets a service answer with something that is not HTTP.
func brokenUpstream(t *testing.T, c *cluster) {
	for _, kind := range []bluebellengine.FaultKind{bluebellengine.LoseAnswer, bluebellengine.Garbage} {
		for _, e := range c.engines {
			e.Inject(bluebellengine.Fault{Kind: kind})
		}
		// By way of each VM, so by an owner and by others.
		for _, vm := range c.running() {
			require.Equal(t, "EndpointFailed Unknown", c.order(vm, "north", c.key(vm+string(kind)), vm+string(kind)))
		}
		for _, e := range c.engines {
			e.Inject(bluebellengine.Fault{Kind: bluebellengine.Heal})
		}
		require.Equal(t, "InProgress Unknown", c.order("papa-2", "north", c.key("gyor-1"+string(kind)), "gyor-1"+string(kind)))
	}
}

// TestAPlannedStopCutsNothing stops VM after VM while streams run through them and
// through the owners of their endpoints.
func TestAPlannedStopCutsNothing(t *testing.T) {
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
	// The VMs that took the streams, and one owner in each other failure domain.
	for _, vm := range []string{"gyor-1", "gyor-2", "papa-1", "tata-2"} {
		require.NoError(t, c.end(vm, false))
	}
	for range streams {
		require.Equal(t, "<nil> "+lastEvent, <-ended)
	}
}

// crossedAnswers lets endpoints answer with the ID of another request: no caller
// gets one of those.
func crossedAnswers(t *testing.T, c *cluster) {
	for _, e := range c.engines {
		e.Inject(bluebellengine.Fault{Kind: bluebellengine.Cross})
	}
	require.NotContains(t, c.prompt("gyor-1", "north", "crossed", 1), "answered")
	require.Equal(t, "EndpointFailed Unknown", c.order("gyor-1", "north", c.key("crossed"), "{}"))
	for _, e := range c.engines {
		e.Inject(bluebellengine.Fault{Kind: bluebellengine.Heal})
	}
	require.NoError(t, await("an answer", func() (bool, string) {
		seen := c.prompt("gyor-1", "north", "crossed", 1)
		return strings.HasPrefix(seen, "answered"), seen
	}))
}

// silentConnections silences all open connections of the endpoints: new ones are
// used soon.
func silentConnections(t *testing.T, c *cluster) {
	for i := range 20 {
		c.prompt(c.running()[i%6], "north", fmt.Sprint("text", i), 1)
	}
	for _, e := range c.engines {
		e.Inject(bluebellengine.Fault{Kind: bluebellengine.Silence})
	}
	require.NoError(t, await("an answer over new connections", func() (bool, string) {
		seen := c.prompt("gyor-1", "north", "after silence", 1)
		return strings.HasPrefix(seen, "answered"), seen
	}))
}
