package bluebellconfig

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
)

// Finding is one thing that is wrong, with its place. Lines and columns count
// from 1, columns in bytes.
type Finding struct {
	File         string
	Line, Column int
	Text         string
}

func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
}

// Findings is all that is wrong with one file, in the order of its text.
type Findings []Finding

var _ error = Findings(nil)

// Empty tells whether nothing is wrong.
func (f Findings) Empty() bool { return len(f) == 0 }

// Error returns one line for each finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// document is the text of a file and what has been found in it.
type document struct {
	file     string
	text     []byte
	findings Findings
	// offsets of values by their path, such as VMs[2].Address
	offsets map[string]int
}

func (d *document) addAt(offset int, format string, args ...any) {
	before := d.text[:min(offset, len(d.text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	d.findings = append(d.findings, Finding{d.file, line, column, fmt.Sprintf(format, args...)})
}

// add reports on the value at path, or on the nearest one around it that the
// file has.
func (d *document) add(path, format string, args ...any) {
	for {
		if offset, ok := d.offsets[path]; ok {
			d.addAt(offset, format, args...)
			return
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			d.addAt(0, format, args...)
			return
		}
		path = path[:cut]
	}
}

func (d *document) sorted() Findings {
	slices.SortStableFunc(d.findings, func(a, b Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return d.findings
}
