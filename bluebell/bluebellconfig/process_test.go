package bluebellconfig_test

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellconfig"
	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// section is a part of a template that is filled in only if its field is present.
var section = regexp.MustCompile(`\{\{#([^}]*)\}\}(.*?)\{\{/([^}]*)\}\}`)

// filled returns a settings template of deploy/, filled in as fill does.
func filled(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("../../deploy/" + name)
	require.NoError(t, err)
	return fill(string(text))
}

// fill replaces each placeholder of a number by a number with a fraction, where the schema allows one, and
// the others by fitting values.
func fill(text string) []byte {
	values := map[string]string{
		"{{seeds|json}}": `["10.0.0.1:8000"]`, "{{zones|json}}": `{"a-1": "a", "b-1": "b"}`, "{{bootstrap|json}}": "true", "{{port_range.0}}": "7700",
		"{{limits.cores}}": "1", "{{tolerate.machines}}": "2", "{{cloud.addr|json}}": `"10.0.0.9:8000"`, "{{cloud.duties|json}}": `["metering", "autoscale"]`,
	}
	return []byte(regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(text, func(placeholder string) string {
		if value, special := values[placeholder]; special {
			return value
		}
		if strings.HasSuffix(placeholder, "|json}}") {
			return `"10.0.0.1:8000"`
		}
		return "33.25"
	}))
}

// Bounds and limits of a deployment may have fractions. An entry whose settings had a fraction
// as its bound on retries did not start.
func TestSettingsAcceptFractions(t *testing.T) {
	gate, findings := bluebellconfig.ParseGateSettings("gate.jsonc", filled(t, "gate.jsonc"))
	require.True(t, findings.Empty(), findings.Error())
	require.InDelta(t, 33.25, gate.Bounds.RetrySlack, 0)
	require.InDelta(t, 33.25, gate.MemoryMB, 0)
	require.Equal(t, map[string]string{"a-1": "a", "b-1": "b"}, gate.Regions)
	for _, regions := range []string{`"a"`, `{"a": 1}`, `{"a": "x", "a": "y"}`} {
		_, findings := bluebellconfig.ParseGateSettings("gate.jsonc", []byte(`{"Name": "n", "Address": "a", "CallerAddress": "c", "Secret": "s", "Regions": `+regions+`}`))
		require.Len(t, findings, 1, regions)
	}
	core, findings := bluebellconfig.ParseCoreSettings("core.jsonc", filled(t, "core.jsonc"))
	require.True(t, findings.Empty(), findings.Error())
	require.InDelta(t, 33.25, core.Bounds.OrderLeaseMillis, 0)
}

// optionalSettings returns the optional settings of the gate and of the core role in the deploy file. The sections
// of absent fields are left out.
func optionalSettings(t *testing.T, absent ...string) (gate, core []byte) {
	t.Helper()
	file, err := os.ReadFile("../../deploy/system.toml")
	require.NoError(t, err)
	found := regexp.MustCompile(`BLUEBELL_OPTIONAL_SETTINGS = '([^']*)'`).FindAllStringSubmatch(string(file), -1)
	require.Len(t, found, 2)
	var texts [][]byte
	for _, f := range found {
		texts = append(texts, fill(section.ReplaceAllStringFunc(f[1], func(s string) string {
			part := section.FindStringSubmatch(s)
			require.Equal(t, part[1], part[3])
			if slices.Contains(absent, part[1]) {
				return ""
			}
			return part[2]
		})))
	}
	return texts[0], texts[1]
}

// Usage is counted, and duties are performed, only where the deployment has them. Guards against optional settings
// that do not parse with their sections left out, and against a window that is set everywhere.
func TestOptionalSettingsOfDeployFile(t *testing.T) {
	gateText, coreText := optionalSettings(t)
	var gate pb.GateSettings
	findings := bluebellconfig.AddSettings("gate", gateText, &gate)
	require.True(t, findings.Empty(), findings.Error())
	require.Equal(t, 33250*time.Millisecond, gate.Bounds.UsageWindow.AsDuration())
	var core pb.CoreSettings
	findings = bluebellconfig.AddSettings("core", coreText, &core)
	require.True(t, findings.Empty(), findings.Error())
	require.Equal(t, []string{"metering", "autoscale"}, core.Provider.Duties)
	require.Equal(t, 33250*time.Millisecond, core.Bounds.UsageDue.AsDuration())
	require.True(t, core.Bounds.ChecksFencing)

	gateText, coreText = optionalSettings(t, "cloud.addr", "bounds.usage_window_s", "bounds.usage_late_s", "bounds.usage_off", "bounds.require_fence")
	gate.Reset()
	findings = bluebellconfig.AddSettings("gate", gateText, &gate)
	require.True(t, findings.Empty(), findings.Error())
	require.Nil(t, gate.Bounds.UsageWindow)
	core.Reset()
	findings = bluebellconfig.AddSettings("core", coreText, &core)
	require.True(t, findings.Empty(), findings.Error())
	require.Nil(t, core.Provider)
}

// Values with which no call could be sent, or a window would never end, whether they are in the file or added.
func TestInvalidProviderSettings(t *testing.T) {
	for _, invalid := range []string{
		`"Provider": {"Address": "10.0.0.1", "CallsPerSecond": 50}`, `"Provider": {"Address": "10.0.0.1:80"}`,
		`"Provider": {"Address": "10.0.0.1:80", "CallsPerSecond": -1}`,
		`"Bounds": {"UsageWindow": "0s"}`, `"Bounds": {"UsageTolerance": -0.1}`,
	} {
		_, findings := bluebellconfig.ParseCoreSettings("core.jsonc", []byte(`{"Name": "n", "Address": "a", "ControlAddress": "c", "DataFolder": "d", "Secret": "s", `+invalid+`,}`))
		require.Len(t, findings, 1, invalid)
		require.Len(t, bluebellconfig.AddSettings("added", []byte(`{`+invalid+`}`), &pb.CoreSettings{}), 1, invalid)
	}
}
