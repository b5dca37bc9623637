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
)

// section is a part of a template that is filled in only if a field is present or true.
var section = regexp.MustCompile(`\{\{#([^}]*)\}\}(.*)\{\{/([^}]*)\}\}`)

// filled returns a settings template of deploy/ with each placeholder of a number replaced by
// a number with a fraction, where the schema allows one, and the others by fitting values. Sections
// are kept for the present fields only.
func filled(t *testing.T, name string, present ...string) []byte {
	t.Helper()
	text, err := os.ReadFile("../../deploy/" + name)
	require.NoError(t, err)
	values := map[string]string{
		"{{seeds|json}}": `["10.0.0.1:8000"]`, "{{zones|json}}": `{"a-1": "a", "b-1": "b"}`, "{{bootstrap|json}}": "true", "{{port_range.0}}": "7700",
		"{{limits.cores}}": "1", "{{tolerate.machines}}": "2", "{{cloud.duties|json}}": `["metering"]`,
	}
	text = section.ReplaceAllFunc(text, func(found []byte) []byte {
		parts := section.FindSubmatch(found)
		require.Equal(t, string(parts[1]), string(parts[3]), "end of a section")
		if !slices.Contains(present, string(parts[1])) {
			return nil
		}
		return parts[2]
	})
	return []byte(regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(string(text), func(placeholder string) string {
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

// Fields of the provider are missing in most deployments, and a template that needs them would keep
// their core processes from starting.
func TestProviderIsSetOnlyWherePresent(t *testing.T) {
	core, findings := bluebellconfig.ParseCoreSettings("core.jsonc", filled(t, "core.jsonc"))
	require.True(t, findings.Empty(), findings.Error())
	require.Nil(t, core.Provider)
	require.False(t, core.Bounds.ChecksFencing)
	require.Nil(t, core.Bounds.UsageWindow)
	require.Nil(t, core.Bounds.UsageDue)

	core, findings = bluebellconfig.ParseCoreSettings("core.jsonc", filled(t, "core.jsonc",
		"cloud", "bounds.require_fence", "bounds.usage_window_s", "bounds.usage_late_s", "bounds.usage_off"))
	require.True(t, findings.Empty(), findings.Error())
	require.Equal(t, "10.0.0.1:8000", core.Provider.Address)
	require.Equal(t, []string{"metering"}, core.Provider.Duties)
	require.InDelta(t, 33.25, core.Provider.CallsPerSecond, 0)
	require.True(t, core.Bounds.ChecksFencing)
	require.Equal(t, 33250*time.Millisecond, core.Bounds.UsageWindow.AsDuration())
	require.Equal(t, 33250*time.Millisecond, core.Bounds.UsageDue.AsDuration())
	require.InDelta(t, 33.25, core.Bounds.UsageTolerance, 0)

	core, findings = bluebellconfig.ParseCoreSettings("core.jsonc", filled(t, "core.jsonc", "cloud"))
	require.True(t, findings.Empty(), findings.Error())
	require.NotNil(t, core.Provider)
	require.Nil(t, core.Bounds.UsageWindow)
}

// Values with which no call could be sent, or a window would never end.
func TestInvalidProviderSettings(t *testing.T) {
	for _, invalid := range []string{
		`"Provider": {"Address": "10.0.0.1", "CallsPerSecond": 50}`, `"Provider": {"Address": "10.0.0.1:80"}`,
		`"Provider": {"Address": "10.0.0.1:80", "CallsPerSecond": -1}`,
		`"Bounds": {"UsageWindow": "0s"}`, `"Bounds": {"UsageTolerance": -0.1}`,
	} {
		_, findings := bluebellconfig.ParseCoreSettings("core.jsonc", []byte(`{"Name": "n", "Address": "a", "ControlAddress": "c", "DataFolder": "d", "Secret": "s", `+invalid+`,}`))
		require.Len(t, findings, 1, invalid)
	}
}
