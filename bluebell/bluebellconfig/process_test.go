package bluebellconfig_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellconfig"
)

// filled returns a settings template of deploy/ with each placeholder of a number replaced by
// a number with a fraction, where the schema allows one, and the others by fitting values.
func filled(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("../../deploy/" + name)
	require.NoError(t, err)
	values := map[string]string{
		"{{seeds|json}}": `["10.0.0.1:8000"]`, "{{zones|json}}": `{"a-1": "a", "b-1": "b"}`, "{{bootstrap|json}}": "true", "{{port_range.0}}": "7700",
		"{{limits.cores}}": "1", "{{tolerate.machines}}": "2",
	}
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
