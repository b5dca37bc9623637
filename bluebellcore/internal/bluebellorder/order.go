// Package bluebellorder brings endpoints to the weights that operators have named.
//
// Only a leader orders. Before each order it has a barrier agreed, so an order
// leaves within a short time of a proof that this process leads. A new leader
// waits until orders of the one before can no longer be on their way. The fencing
// number comes from the log, for endpoints that check it.
//
// # Usage
//
//	orderer := bluebellorder.New(bluebellorder.Config{...})
//	orderer.Run(ctx)
package bluebellorder

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"bluebellhaven.org/bluebell/bluebellfleet"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/bluebell/bluebellstate"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// tickEvery is how often the leader looks for endpoints to order.
	tickEvery = 100 * time.Millisecond
	// barrierTimeout bounds the time between the proof of leadership and an order.
	barrierTimeout = 500 * time.Millisecond
	callTimeout    = 500 * time.Millisecond
	// spreadTime is what entries need to hear that an endpoint is about to load.
	spreadTime = 100 * time.Millisecond
	// firstReport and reportEvery pace the questions whether an endpoint has loaded:
	// loading takes about a second, and reports are a fifth of a second old.
	firstReport = 900 * time.Millisecond
	reportEvery = 300 * time.Millisecond
	// loadTimeout is when an endpoint that has taken an order is left to others.
	loadTimeout = 6 * time.Second
	// retryAfter is the pause after an order that failed.
	retryAfter = 500 * time.Millisecond
	// parallelShare of a model's endpoints are under an order at once: about half of them
	// load, for a second or more, the others wait for their running calls, for two or
	// three. All must be done within the time for weights (10 s on both users' sheets).
	parallelShare = 0.4
	minParallel   = 2
	maxReply      = 1 << 20 // bytes
	// silentFor is how old a registration may be for an endpoint to be ordered.
	silentFor = 5 * time.Second
)

// Config sets up an Orderer.
type Config struct {
	// Holder names this process in orders.
	Holder string
	// Lease is the time within which two holders must not take turns.
	Lease      time.Duration
	Registry   *bluebellfleet.Registry
	Deployment func() (*pb.Deployment, uint64)
	// SetLoading names the endpoints that entries shall leave alone.
	SetLoading func(ids []string)
	Leads      func() bool
	Propose    func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	Dial       func(ctx context.Context, network, address string) (net.Conn, error)
	Now        func() time.Duration
	Count      func(name string)
	Logger     *log.Logger
}

// Orderer gives the orders of one process.
type Orderer struct {
	cfg  Config
	http *http.Client

	mu      sync.Mutex
	loading map[string]bool
	retryAt map[string]time.Duration

	// What follows belongs to Run.
	ledSince time.Duration
	led      bool
	fencing  uint64
}

// New returns an orderer that has not ordered anything.
func New(cfg Config) *Orderer {
	return &Orderer{
		cfg:     cfg,
		http:    &http.Client{Transport: &http.Transport{DialContext: cfg.Dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second}},
		loading: map[string]bool{}, retryAt: map[string]time.Duration{},
	}
}

// Run orders while this process leads, until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	var orders conc.WaitGroup
	defer orders.Wait()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !o.mayOrder(ctx) {
			continue
		}
		for _, job := range o.next() {
			o.start(job)
			orders.Go(func() {
				defer o.end(job)
				o.carryOut(ctx, job)
			})
		}
	}
}

// mayOrder tells whether this process leads and the orders of an earlier leader
// are over. It takes a fencing number once in each time of leading.
func (o *Orderer) mayOrder(ctx context.Context) bool {
	if !o.cfg.Leads() {
		o.led, o.fencing = false, 0
		return false
	}
	if !o.led {
		o.led, o.ledSince = true, o.cfg.Now()
	}
	if !o.anyOutdated() || o.cfg.Now()-o.ledSince < o.cfg.Lease+barrierTimeout+callTimeout {
		return false
	}
	if o.fencing > 0 {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	result, err := o.cfg.Propose(callCtx, &pb.Command{Body: &pb.Command_TakeOrders{TakeOrders: &pb.TakeOrders{Holder: o.cfg.Holder}}})
	if err != nil {
		return false
	}
	o.fencing = result.Fencing
	o.cfg.Logger.Info("orders taken", "Holder", o.cfg.Holder, "Fencing", o.fencing)
	return true
}

// job is one endpoint with the weights that it shall load.
type job struct {
	endpoint bluebellfleet.Endpoint
	model    string
	version  uint64
	fencing  uint64
}

func (o *Orderer) anyOutdated() bool {
	d, _ := o.cfg.Deployment()
	return slices.ContainsFunc(o.cfg.Registry.Endpoints(), func(e bluebellfleet.Endpoint) bool {
		_, _, outdated := wanted(e, d)
		return outdated
	})
}

// wanted returns the weights that an endpoint shall load.
func wanted(e bluebellfleet.Endpoint, d *pb.Deployment) (model string, version uint64, outdated bool) {
	if e.State != bluebellfleet.Serving {
		return "", 0, false
	}
	for _, model := range slices.Sorted(maps.Keys(e.Weights)) {
		if named := bluebellstate.WeightsOf(d, model); e.Weights[model] < named {
			return model, named, true
		}
	}
	return "", 0, false
}

// next picks the endpoints to order now.
func (o *Orderer) next() []job {
	d, _ := o.cfg.Deployment()
	endpoints := o.cfg.Registry.Endpoints()
	serving := map[string]int{}
	for _, e := range endpoints {
		if e.State == bluebellfleet.Serving && len(e.Weights) > 0 {
			serving[e.Target]++
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.Now()
	busy := map[string]int{}
	for _, e := range endpoints {
		if o.loading[e.ID] {
			busy[e.Target]++
		}
	}
	// Those with the oldest weights have the least time left.
	slices.SortStableFunc(endpoints, func(a, b bluebellfleet.Endpoint) int { return cmp.Compare(oldest(a), oldest(b)) })
	var jobs []job
	for _, e := range endpoints {
		model, version, outdated := wanted(e, d)
		if !outdated || o.loading[e.ID] || now < o.retryAt[e.ID] || now-e.HeardAt > silentFor {
			continue
		}
		if busy[e.Target] >= max(minParallel, int(math.Ceil(parallelShare*float64(serving[e.Target])))) {
			continue
		}
		busy[e.Target]++
		jobs = append(jobs, job{endpoint: e, model: model, version: version, fencing: o.fencing})
	}
	return jobs
}

// oldest returns the lowest version of any of an endpoint's weights.
func oldest(e bluebellfleet.Endpoint) uint64 {
	lowest := uint64(math.MaxUint64)
	for _, version := range e.Weights {
		lowest = min(lowest, version)
	}
	return lowest
}

func (o *Orderer) start(j job) { o.setLoading(j.endpoint.ID, true) }

func (o *Orderer) end(j job) { o.setLoading(j.endpoint.ID, false) }

func (o *Orderer) setLoading(id string, on bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if on {
		o.loading[id] = true
	} else {
		delete(o.loading, id)
	}
	o.cfg.SetLoading(slices.Sorted(maps.Keys(o.loading)))
}

// carryOut orders one endpoint and waits until it has loaded.
func (o *Orderer) carryOut(ctx context.Context, j job) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	bluebellprocess.Sleep(ctx, spreadTime)
	start := o.cfg.Now()
	before, err := o.report(ctx, j)
	if err == nil && before.Weights[j.model] >= j.version {
		o.cfg.Registry.SetWeights(j.endpoint.ID, j.endpoint.Born, before.Weights)
		return
	}
	status := 0
	if err == nil {
		status, err = o.order(ctx, j, before.Sequence)
	}
	o.cfg.Count("orders")
	o.cfg.Logger.Info("order", "Endpoint", j.endpoint.ID, "Model", j.model, "Version", j.version,
		"Fencing", j.fencing, "Status", status, "Error", err, "HeardAgo", start-j.endpoint.HeardAt)
	if err == nil && (status == http.StatusAccepted || status == http.StatusOK || status == http.StatusConflict) {
		err = o.awaitLoaded(ctx, j)
		o.cfg.Logger.Info("order ended", "Endpoint", j.endpoint.ID, "Version", j.version, "Took", o.cfg.Now()-start, "Error", err)
		if err == nil {
			return
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.retryAt[j.endpoint.ID] = o.cfg.Now() + retryAfter
}

// report asks an endpoint for its state.
func (o *Orderer) report(ctx context.Context, j job) (bluebellplatform.Report, error) {
	status, text, err := o.call(ctx, j, http.MethodGet, bluebellplatform.ReportPath, nil)
	if err != nil {
		return bluebellplatform.Report{}, err
	}
	if status != http.StatusOK {
		return bluebellplatform.Report{}, fmt.Errorf("report of %s: status %d", j.endpoint.ID, status)
	}
	return bluebellplatform.DecodeReport(text)
}

// order sends one order after a proof that this process still leads. The endpoint refuses
// it once it has accepted another one: an order that got no answer may be carried out
// seconds later, and must not undo a newer one.
func (o *Orderer) order(ctx context.Context, j job, sequence uint64) (int, error) {
	barrierCtx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if _, err := o.cfg.Propose(barrierCtx, &pb.Command{Body: &pb.Command_Barrier{Barrier: &pb.Barrier{}}}); err != nil {
		return 0, err
	}
	if !o.cfg.Leads() || barrierCtx.Err() != nil {
		return 0, errors.New("this process may no longer lead")
	}
	body, err := bluebellplatform.EncodeWeightsOrder(bluebellplatform.WeightsOrder{
		Model: j.model, Version: j.version, Holder: o.cfg.Holder, Fencing: j.fencing, Sequence: &sequence,
	})
	if err != nil {
		return 0, err
	}
	status, _, err := o.call(ctx, j, http.MethodPost, bluebellplatform.OrderPath, body)
	return status, err
}

func (o *Orderer) awaitLoaded(ctx context.Context, j job) error {
	bluebellprocess.Sleep(ctx, firstReport)
	for ctx.Err() == nil {
		report, err := o.report(ctx, j)
		if err == nil && report.Weights[j.model] >= j.version && !report.Busy {
			o.cfg.Registry.SetWeights(j.endpoint.ID, j.endpoint.Born, report.Weights)
			return nil
		}
		if known, found := o.cfg.Registry.Endpoint(j.endpoint.ID); !found || known.Born != j.endpoint.Born || known.State == bluebellfleet.Gone {
			return errors.New("the endpoint is gone")
		}
		bluebellprocess.Sleep(ctx, reportEvery)
	}
	return ctx.Err()
}

func (o *Orderer) call(ctx context.Context, j job, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+j.endpoint.Address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set(bluebellplatform.EndpointHeader(j.endpoint.ID))
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := o.http.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return response.StatusCode, nil, fmt.Errorf("answer of %s: %w", j.endpoint.ID, err)
	}
	return response.StatusCode, text, nil
}
