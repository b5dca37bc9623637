package bluebellchaos

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"bluebellhaven.org/bluebell/bluebelldeployment"
	"bluebellhaven.org/bluebellfake/bluebellstub"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// isolationChanges is how often other customers become isolated, isolationPause the longest time between two
	// changes, and isolationNotice the time in which a change has to be in force.
	isolationChanges = 12
	isolationPause   = 1500 * time.Millisecond
	isolationNotice  = time.Second
	// isolationCustomers is the number of customers, and callersEach that of the callers of each.
	isolationCustomers = 3
	callersEach        = 8
)

// IsolationTrouble is what happens while customers become isolated.
type IsolationTrouble struct {
	Name   string
	happen func(d *deployment) error
}

// IsolationTroubles lists what happens.
var IsolationTroubles = []IsolationTrouble{
	{"Nothing", func(*deployment) error { return nil }},
	{"EntryKilled", func(d *deployment) error { return restartAtOnce(d.gates[:1]) }},
	{"AllEntriesKilled", func(d *deployment) error { return restartAtOnce(d.gates) }},
	{"CoreProcessKilled", func(d *deployment) error { return restartAtOnce(d.cores[:1]) }},
	{"AllCoreProcessesKilled", func(d *deployment) error { return restartAtOnce(d.cores) }},
	{"CoreProcessPaused", func(d *deployment) error { return pause(d.cores[1], isolationPause) }},
	{"EntryPaused", func(d *deployment) error { return pause(d.gates[0], isolationPause) }},
	{"CoreLinkSilent", func(d *deployment) error {
		d.links[0].setMode(modeDropAll)
		time.Sleep(isolationPause)
		d.links[0].setMode(modePass)
		return nil
	}},
}

// isolationChange is a version of the declaration that isolates some customers.
type isolationChange struct {
	isolated     []string
	sent, inFrom time.Time
}

// IsolationReport is the result of RunIsolation.
type IsolationReport struct {
	// Runs counts the calls that engines ran, and Isolated those of them whose customer was isolated.
	Runs, Isolated int
	Findings       []string
}

// RunIsolation declares other customers as isolated, in series, while all of them use the same cached blocks, and
// checks that no blocks are shared with an isolated customer.
func RunIsolation(ctx context.Context, cfg Config, trouble IsolationTrouble) (report IsolationReport, err error) {
	d := newDeployment(cfg)
	d.declarationDue = isolationNotice
	err = d.whileServing(ctx, func(*backend) error { return nil }, func(ctx context.Context) {
		calls := conc.NewWaitGroup()
		callCtx, stop := context.WithCancel(ctx)
		changes := []isolationChange{d.declareIsolated(ctx, nil)}
		sleep(ctx, isolationNotice)
		for n := range isolationCustomers * callersEach {
			calls.Go(func() { d.callAs(callCtx, n) })
		}
		for range isolationChanges {
			var isolated []string
			for n := range isolationCustomers {
				if d.rng.IntN(2) == 0 {
					isolated = append(isolated, isolationCustomer(n))
				}
			}
			changes = append(changes, d.declareIsolated(ctx, isolated))
			if err := trouble.happen(d); err != nil {
				d.findings = append(d.findings, err.Error())
			}
			sleep(ctx, time.Duration(d.rng.Int64N(int64(isolationPause))))
		}
		sleep(ctx, isolationNotice)
		stop()
		calls.Wait()
		report = d.checkIsolation(changes)
	})
	report.Findings = append(report.Findings, d.findings...)
	return report, err
}

func isolationCustomer(n int) string { return fmt.Sprint("customer-", n+1) }

func isolationKey(n int) string {
	if n == 0 {
		return customerKey
	}
	return fmt.Sprint("key-of-customer-", n+1)
}

// declareIsolated declares a version that isolates some customers, until it is acknowledged.
func (d *deployment) declareIsolated(ctx context.Context, isolated []string) isolationChange {
	change := isolationChange{isolated: isolated, sent: time.Now()}
	d.operator.declarations.customers = nil
	for n := range isolationCustomers {
		name := isolationCustomer(n)
		d.operator.declarations.customers = append(d.operator.declarations.customers, bluebelldeployment.Customer{
			Name: name, Keys: []string{isolationKey(n)}, Isolated: slices.Contains(isolated, name),
		})
	}
	if !d.declareUntil(ctx) {
		d.findings = append(d.findings, "a change of isolated customers was not acknowledged")
	}
	change.inFrom = time.Now().Add(isolationNotice)
	return change
}

// callAs makes calls to models as one of the customers until ctx ends.
func (d *deployment) callAs(ctx context.Context, n int) {
	client := &http.Client{Timeout: clientTimeout}
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(d.cfg.Seed, uint64(n)))
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("call-%d-%d", n, i)
		gate := d.callers.gates[rng.IntN(len(d.callers.gates))]
		o := outcome{id: id, path: resumablePath + id, requestBody: "body of " + id}
		r, err := newRequest(gate, o, usualBlocks)
		if err != nil {
			return
		}
		call, _ := bluebellplatform.DecodeCall(r.Header)
		call.Key = isolationKey(n % isolationCustomers)
		r.Header = bluebellplatform.CallerHeader(call)
		send(client, r, o)
		sleep(ctx, time.Duration(rng.Int64N(int64(2*meanCallPause))))
	}
}

// isolatedAt reports whether a customer is isolated at a time for certain: the last change in force and all that were
// sent after it isolate it.
func isolatedAt(changes []isolationChange, customer string, at time.Time) bool {
	certain := false
	for _, c := range changes {
		isolates := slices.Contains(c.isolated, customer)
		switch {
		case c.inFrom.Before(at):
			certain = isolates
		case c.sent.Before(at):
			certain = certain && isolates
		}
	}
	return certain
}

// checkIsolation returns a finding for each run that had the cache scope of an earlier run of another customer while
// one of them was isolated.
func (d *deployment) checkIsolation(changes []isolationChange) IsolationReport {
	var runs []bluebellstub.Run
	for _, b := range d.backends {
		for _, r := range b.endpoint().Runs() {
			if r.Call.CacheScope != "" {
				runs = append(runs, r)
			}
		}
	}
	slices.SortFunc(runs, func(a, b bluebellstub.Run) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	report := IsolationReport{Runs: len(runs)}
	usedBy := map[string][]string{}
	for _, r := range runs {
		customer := r.Call.Customer
		isolated := isolatedAt(changes, customer, r.At)
		if isolated {
			report.Isolated++
		}
		for _, other := range usedBy[r.Call.CacheScope] {
			if other != customer && (isolated || isolatedAt(changes, other, r.At)) {
				report.Findings = append(report.Findings, fmt.Sprintf("%s of %s used scope %q after %s, although one of them is isolated, at %s",
					r.Call.CallID, customer, r.Call.CacheScope, other, r.At.Format("15:04:05.000")))
			}
		}
		if !slices.Contains(usedBy[r.Call.CacheScope], customer) {
			usedBy[r.Call.CacheScope] = append(usedBy[r.Call.CacheScope], customer)
		}
	}
	return report
}
