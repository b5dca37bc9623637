package bluebellconfig_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellconfig"
	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// examples is the folder with the answers of two example teams.
const examples = "../../examples"

func readExample(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(examples, name, "answers.jsonc"))
	require.NoError(t, err)
	return text
}

// TestFindings prints the findings in the answers of each case in testdata/findings:
//
//	whole     the input is the complete text of the answers
//	replace   the input has one replacement per line, FROM => TO, which is applied to the
//	          answers of the konzorcium example
func TestFindings(t *testing.T) {
	base := string(readExample(t, "konzorcium"))
	datadriven.RunTest(t, "testdata/findings", func(t *testing.T, d *datadriven.TestData) string {
		text := d.Input
		if d.Cmd == "replace" {
			text = base
			for _, line := range strings.Split(d.Input, "\n") {
				from, to, ok := strings.Cut(line, " => ")
				require.True(t, ok, "%s: replacement without \" => \"", d.Pos)
				require.Contains(t, text, from, d.Pos)
				text = strings.ReplaceAll(text, from, to)
			}
		}
		_, findings := bluebellconfig.ParseQuestionnaire("answers.jsonc", []byte(text))
		if findings.Empty() {
			return "no findings\n"
		}
		return findings.Error() + "\n"
	})
}

func TestParseRejectsInvalidUTF8(t *testing.T) {
	_, findings := bluebellconfig.ParseQuestionnaire("answers.jsonc", []byte("{\n  \"Name\": \"\xff\xfe\"}"))
	require.Equal(t, "answers.jsonc:2:12: the text is not valid UTF-8", findings.Error())
}

// TestGenerateIsDeterministic checks that equal answers give equal bytes, that these parse
// to the same configuration, and that the importance of version moves sets the canary share.
func TestGenerateIsDeterministic(t *testing.T) {
	generate := func(name string) (string, float64) {
		q, findings := bluebellconfig.ParseQuestionnaire(name, readExample(t, name))
		require.Empty(t, findings)
		c := bluebellconfig.Generate(q)
		text, err := bluebellconfig.Format(c)
		require.NoError(t, err)
		read, findings := bluebellconfig.ParseConfiguration(name, text)
		require.Empty(t, findings)
		again, err := bluebellconfig.Format(read)
		require.NoError(t, err)
		require.Equal(t, string(text), string(again))
		require.Len(t, c.Voters, 3)
		return string(text), c.Policy.CanaryShare
	}
	first, konzorcium := generate("konzorcium")
	second, _ := generate("konzorcium")
	require.Equal(t, first, second)
	_, vlechtwerkbond := generate("vlechtwerkbond")
	// Version moves are more important in the konzorcium example, so its canary share is
	// smaller.
	require.Less(t, konzorcium, vlechtwerkbond)
}

// TestGenerateSpreadsVoters checks the placements of voters that docs/DESIGN.md chooses: one
// in each of three failure domains, and three and two in two regions.
func TestGenerateSpreadsVoters(t *testing.T) {
	large := &pb.Questionnaire{TolerateLostVMs: 2, Importance: &pb.Importance{}}
	for _, d := range []string{"a1", "a2", "a3", "a4", "b1", "b2", "b3"} {
		large.FailureDomains = append(large.FailureDomains, &pb.FailureDomain{Name: d, Region: d[:1]})
		large.VMs = append(large.VMs, &pb.VM{Name: d + "-1", FailureDomain: d, DataFolder: "data"}, &pb.VM{Name: d + "-2", FailureDomain: d})
	}
	require.Equal(t, []string{"a1-1", "b1-1", "a2-1", "b2-1", "a3-1"}, bluebellconfig.Generate(large).Voters)
	var nearest []string
	for _, v := range bluebellconfig.NearestVoters(bluebellconfig.Generate(large), "b2") {
		nearest = append(nearest, v.Name)
	}
	require.Equal(t, []string{"b2-1", "b1-1", "a1-1", "a2-1", "a3-1"}, nearest)
	q, _ := bluebellconfig.ParseQuestionnaire("konzorcium", readExample(t, "konzorcium"))
	require.Equal(t, []string{"gyor-1", "papa-1", "tata-1"}, bluebellconfig.Generate(q).Voters)
}

func FuzzParseQuestionnaire(f *testing.F) {
	f.Add(readExample(f, "konzorcium"))
	f.Add([]byte(`{"VMs": [{"Name": 1}], "VMs": null, // x` + "\n}"))
	f.Add([]byte(`{"Importance": {"FirstToken": -1e9}, "KeyRetention": "1e3s"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		q, findings := bluebellconfig.ParseQuestionnaire("answers.jsonc", text)
		for _, finding := range findings {
			require.Positive(t, finding.Line)
			require.Positive(t, finding.Column)
			require.NotEmpty(t, finding.Text)
		}
		if !findings.Empty() {
			return
		}
		// Answers without findings give a configuration that can be parsed again.
		formatted, err := bluebellconfig.Format(bluebellconfig.Generate(q))
		require.NoError(t, err)
		_, findings = bluebellconfig.ParseConfiguration("configuration.jsonc", formatted)
		require.Empty(t, findings)
	})
}
