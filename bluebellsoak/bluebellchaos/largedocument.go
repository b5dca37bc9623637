package bluebellchaos

import (
	"context"
	"fmt"
	"time"

	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// largeTimeout bounds one attempt to send a large declaration, and largeAckTimeout all of them.
	largeTimeout    = 5 * time.Second
	largeAckTimeout = time.Minute
)

// LargeDocumentsReport is the result of RunLargeDocuments.
type LargeDocumentsReport struct {
	// Bytes is the size of the declarations, and Acknowledged the number of those that were acknowledged.
	Bytes, Acknowledged int
	// MemoryMB is the most memory that a process used, by its name.
	MemoryMB map[string]float64
	Findings []string
}

// RunLargeDocuments declares versions with many routes in quick succession, and reads the last one back.
func RunLargeDocuments(ctx context.Context, cfg Config, versions, routes int) (LargeDocumentsReport, error) {
	d := newDeployment(cfg)
	d.limitMemory = true
	var report LargeDocumentsReport
	err := d.whileServing(ctx, func(*backend) error { return nil }, func(context.Context) {
		memory := d.watchMemory()
		d.operator.client.Timeout = largeTimeout
		var last []byte
		for n := range versions {
			declared := plainDeclaration(uint64(100 + n))
			for i := range routes {
				extra := declared.Routes[0]
				extra.Name, extra.Prefix = fmt.Sprint("extra-", i), fmt.Sprint(extraPath, i, "/")
				declared.Routes = append(declared.Routes, extra)
			}
			text, err := bluebellplatform.EncodeDeclaration(declared)
			if err != nil {
				panic(err) // all values are valid
			}
			report.Bytes = len(text)
			if d.declareLarge(n, text) {
				report.Acknowledged++
				last = text
			}
		}
		time.Sleep(settleTime)
		report.MemoryMB = memory()
		for _, address := range d.controlAddresses {
			if text, err := d.operator.readDocument(address); err != nil || string(text) != string(last) {
				d.findings = append(d.findings, fmt.Sprintf("%s does not show the last declaration: %d bytes, %v", address, len(text), err))
			}
		}
	})
	d.checkMemory(report.MemoryMB)
	report.Findings = d.findings
	return report, err
}

// declareLarge sends a declaration to one core process after the other, from process n on, until one acknowledges it.
func (d *deployment) declareLarge(n int, text []byte) bool {
	for i, began := 0, time.Now(); time.Since(began) < largeAckTimeout; i++ {
		address := d.controlAddresses[(n+i)%len(d.controlAddresses)]
		if d.operator.require(address, bluebellplatform.Operation{Verb: bluebellplatform.Declare}, text) == nil {
			return true
		}
	}
	return false
}
