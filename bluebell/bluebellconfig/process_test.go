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

// section is a part of a template that is filled in only if its field is present.
var section = regexp.MustCompile(`(?s)\{\{#([^}]*)\}\}(.*?)\{\{/([^}]*)\}\}`)

// filled returns a settings template of deploy/ with each placeholder of a number replaced by
// a number with a fraction, where the schema allows one, and the others by fitting values. The
// sections of the absent fields are left out.
func filled(t *testing.T, name string, absent ...string) []byte {
	t.Helper()
	file, err := os.ReadFile("../../deploy/" + name)
	require.NoError(t, err)
	text := section.ReplaceAllStringFunc(string(file), func(s string) string {
		part := section.FindStringSubmatch(s)
		require.Equal(t, part[1], part[3])
		if slices.Contains(absent, part[1]) {
			return ""
		}
		return part[2]
	})
	values := map[string]string{
		"{{seeds|json}}": `["10.0.0.1:8000"]`, "{{zones|json}}": `{"a-1": "a", "b-1": "b"}`, "{{bootstrap|json}}": "true", "{{port_range.0}}": "7700",
		"{{limits.cores}}": "1", "{{tolerate.machines}}": "2",
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

// An entry counts usage only where the deployment names a window. Guards against a template that
// does not parse with its section left out, and against a window that is set everywhere.
func TestUsageWindowIsOptional(t *testing.T) {
	gate, findings := bluebellconfig.ParseGateSettings("gate.jsonc", filled(t, "gate.jsonc"))
	require.True(t, findings.Empty(), findings.Error())
	require.Equal(t, 33250*time.Millisecond, gate.Bounds.UsageWindow.AsDuration())
	gate, findings = bluebellconfig.ParseGateSettings("gate.jsonc", filled(t, "gate.jsonc", "bounds.usage_window_s"))
	require.True(t, findings.Empty(), findings.Error())
	require.Nil(t, gate.Bounds.UsageWindow)
	_, findings = bluebellconfig.ParseGateSettings("gate.jsonc", []byte(`{"Name": "n", "Address": "a", "CallerAddress": "c", "Secret": "s", "Bounds": {"UsageWindow": "5s",},}`))
	require.True(t, findings.Empty(), "trailing commas are accepted: %s", findings.Error())
}
