package bluebellchaos_test

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebellsoak/bluebellchaos"
)

const (
	quickWork = 30 * time.Millisecond
	slowWork  = 900 * time.Millisecond
)

// A call that crashes all endpoints of a service in turn made entries believe that they had lost their own
// links, so that they withdrew the crashes and let its repeats through.
func TestRepeatedCallReachesFewEndpoints(t *testing.T) {
	bin := build(t)
	for i, c := range []struct {
		name, path string
		work       time.Duration
	}{
		{"quick read", "/read/", quickWork},
		{"slow read", "/read/", slowWork},
		{"quick order", "/once/", quickWork},
		{"slow order", "/once/", slowWork},
		{"quick stream", "/stream/again/", quickWork},
		{"slow stream", "/stream/again/", slowWork},
		{"stream with a header", "/stream/", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			requireFewReached(t, bin, uint64(1+i), bluebellchaos.Repeated{Path: c.path, Work: c.work, Interval: 500 * time.Millisecond})
		})
	}
}

// repeatRegressions are seeds of RepeatedOf that once broke the rule, each with its cause.
var repeatRegressions = []uint64{
	3,  // connections were reset: links that seemed lost withdrew crashes
	14, // whole domains crashed, so that crashes of a retried call counted once
	19, // killed gates forgot the crashes that they had seen
}

func TestRepeatedCallReachesFewEndpointsBesideDisruptions(t *testing.T) {
	bin := build(t)
	for _, seed := range repeatRegressions {
		t.Run(bluebellchaos.RepeatedOf(seed).Disruption.Name, func(t *testing.T) {
			t.Parallel()
			requireFewReached(t, bin, seed, bluebellchaos.RepeatedOf(seed))
		})
	}
	t.Run(bluebellchaos.CoreCutOff.Name, func(t *testing.T) {
		t.Parallel()
		requireFewReached(t, bin, 1, bluebellchaos.Repeated{Path: "/read/", Work: quickWork, Interval: 500 * time.Millisecond, Disruption: &bluebellchaos.CoreCutOff})
	})
}

// deployments bounds the deployments that the tests of this file and of reports_test.go run at a time: each has
// up to nine processes.
var deployments = make(chan struct{}, 3)

// takeTurn waits until the test may run a deployment.
func takeTurn(t *testing.T) {
	t.Helper()
	deployments <- struct{}{}
	t.Cleanup(func() { <-deployments })
}

// requireFewReached runs a deployment with a repeated call and requires that few of its attempts reach
// endpoints after the third crash.
func requireFewReached(t *testing.T, bin string, seed uint64, repeated bluebellchaos.Repeated) {
	t.Helper()
	takeTurn(t)
	report, err := bluebellchaos.RunRepeated(context.Background(), bluebellchaos.Config{
		ProgramFolder: bin, DataFolder: filepath.Join(t.TempDir(), "soak"), Seed: seed, Duration: 16 * time.Second, Gates: 6, Cores: 3, Endpoints: 6,
	}, repeated)
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(report.Crashes), 3)
	t.Log(report)
	require.Empty(t, report.Violations())
}
