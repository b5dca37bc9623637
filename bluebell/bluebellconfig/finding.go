package bluebellconfig

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in a file, with its position. Line and Column count from 1, Column
// in bytes.
type Finding struct {
	File         string
	Line, Column int
	Text         string
}

// String formats the finding as FILE:LINE:COLUMN: TEXT.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
}

// Findings are the errors in one file, ordered by position.
type Findings []Finding

var _ error = Findings(nil)

// Empty reports whether there are no findings.
func (f Findings) Empty() bool { return len(f) == 0 }

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// document is the text of a file with the findings in it.
type document struct {
	file     string
	text     []byte
	findings Findings
	// offsets maps the path of each value, such as VMs[2].Address, to its byte offset.
	offsets map[string]int
}

// addFindingAt adds a finding at a byte offset.
func (d *document) addFindingAt(offset int, format string, args ...any) {
	before := d.text[:min(offset, len(d.text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	d.findings = append(d.findings, Finding{d.file, line, column, fmt.Sprintf(format, args...)})
}

// addFinding adds a finding at the value at path. If the file does not have that value, it
// uses the nearest enclosing value.
func (d *document) addFinding(path, format string, args ...any) {
	for {
		if offset, ok := d.offsets[path]; ok {
			d.addFindingAt(offset, format, args...)
			return
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			d.addFindingAt(0, format, args...)
			return
		}
		path = path[:cut]
	}
}

// sortedFindings sorts the findings by position and returns them.
func (d *document) sortedFindings() Findings {
	slices.SortStableFunc(d.findings, func(a, b Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return d.findings
}
