// Package bluebellorder orders endpoints to load the versions of model weights that operators
// have requested.
//
// Only the leader sends orders, when bluebellduty allows it. Each order carries a fencing number
// from the log, so that endpoints that check it can refuse orders of earlier leaders. After such a
// refusal the number is not used again, and the endpoint gets its next order after a longer delay,
// so that one endpoint that refuses all numbers does not keep the others from their orders.
//
// Each request has a connection of its own. Requests and answers have no IDs, and an endpoint may write
// an answer once more, late, where that to a later request on the same connection is due.
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
	"bluebellhaven.org/bluebell/bluebellhead"
	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellprocess"
	"bluebellhaven.org/bluebell/bluebellstate"
	"bluebellhaven.org/bluebellcore/internal/bluebellduty"
	"bluebellhaven.org/platform/bluebellplatform"
)

const (
	// pollInterval is how often the leader looks for endpoints to order.
	pollInterval = 100 * time.Millisecond
	// CallTimeout bounds a call to an endpoint.
	CallTimeout = 500 * time.Millisecond
	// propagationDelay is the time entries need to receive that an endpoint is about to load.
	propagationDelay = 100 * time.Millisecond
	// firstReportDelay and reportInterval set the times of requests for an endpoint's report
	// after an order: loading takes about a second, and a report is up to a fifth of a second
	// old.
	firstReportDelay = 900 * time.Millisecond
	reportInterval   = 300 * time.Millisecond
	// loadTimeout bounds one order, including the wait until the endpoint has loaded.
	// Afterwards the endpoint may get new calls and further orders.
	loadTimeout = 6 * time.Second
	// retryDelay is the delay after a failed order before the endpoint is ordered again.
	retryDelay = 500 * time.Millisecond
	// minRefusedDelay and maxRefusedDelay bound the delay after an endpoint has refused a fencing
	// number. It doubles with each refusal of the endpoint in succession.
	minRefusedDelay = 5 * time.Second
	maxRefusedDelay = 80 * time.Second
	maxRefusals     = 4
	// maxParallelShare is the largest share of a target's endpoints with an order in progress,
	// and minParallel the least number that is allowed. About half of these endpoints load,
	// for a second or more; the others wait two or three seconds for their running calls. All
	// endpoints of the target must finish within the limit that both users specify for a change
	// of weights (10 s).
	maxParallelShare       = 0.4
	minParallel            = 2
	maxResponseBytes       = 1 << 20
	maxResponseHeaderBytes = 64 << 10
	// maxRegistrationAge is the age of a registration beyond which its endpoint gets no
	// orders.
	maxRegistrationAge = 5 * time.Second
)

// Config sets up an Orderer.
type Config struct {
	// Holder identifies this process in orders.
	Holder string
	// Duty decides when this process may send orders. If nil, a new one is made from Holder,
	// Lease, IsLeader, Propose and Now; without the term it does not notice a leadership that is
	// lost and regained within pollInterval.
	Duty *bluebellduty.Holder
	// Lease is the time within which orders must not come from two different holders.
	Lease      time.Duration
	Registry   *bluebellfleet.Registry
	Deployment func() (*pb.Deployment, uint64)
	// SetLoading publishes the endpoints that entries must send no new calls to.
	SetLoading func(ids []string)
	IsLeader   func() bool
	Propose    func(ctx context.Context, c *pb.Command) (*pb.Result, error)
	// Dial opens connections. If it is nil, the system's dialer is used.
	Dial             func(ctx context.Context, network, address string) (net.Conn, error)
	Now              func() time.Duration
	IncrementCounter func(name string)
	Logger           *log.Logger
}

// Orderer sends the orders of one process.
type Orderer struct {
	cfg Config

	mu      sync.Mutex
	loading map[string]bool
	retryAt map[string]time.Duration
	// refusals is the number of orders in succession whose fencing number an endpoint refused.
	refusals map[string]int
}

// New returns an orderer that has sent no orders yet.
func New(cfg Config) *Orderer {
	if cfg.Duty == nil {
		cfg.Duty = bluebellduty.New(bluebellduty.Config{
			Holder: cfg.Holder, Lease: cfg.Lease, LongestCall: CallTimeout, Leadership: func() (uint64, bool) { return 0, cfg.IsLeader() },
			Propose: cfg.Propose, Uptime: cfg.Now, Count: cfg.IncrementCounter, Logger: cfg.Logger,
		})
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	return &Orderer{cfg: cfg, loading: map[string]bool{}, retryAt: map[string]time.Duration{}, refusals: map[string]int{}}
}

// Run sends orders while this process leads, until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	var orders conc.WaitGroup
	defer orders.Wait()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !o.cfg.Duty.Poll() || !o.anyOutdated() {
			continue
		}
		fencing := o.cfg.Duty.Acquire(ctx)
		if fencing == 0 {
			continue
		}
		for _, order := range o.selectOrders(fencing) {
			o.markLoading(order)
			orders.Go(func() {
				defer o.unmarkLoading(order)
				o.execute(ctx, order)
			})
		}
	}
}

// loadOrder is an order to one endpoint to load a version of a model's weights.
type loadOrder struct {
	endpoint bluebellfleet.Endpoint
	model    string
	version  uint64
	fencing  uint64
}

func (o *Orderer) anyOutdated() bool {
	d, _ := o.cfg.Deployment()
	return slices.ContainsFunc(o.cfg.Registry.Endpoints(), func(e bluebellfleet.Endpoint) bool {
		_, _, outdated := outdatedWeights(e, d)
		return outdated
	})
}

// outdatedWeights returns the first model, by name, whose weights on a serving endpoint are
// older than the requested version, and that version.
func outdatedWeights(e bluebellfleet.Endpoint, d *pb.Deployment) (model string, version uint64, outdated bool) {
	if e.State != bluebellfleet.Serving {
		return "", 0, false
	}
	for _, model := range slices.Sorted(maps.Keys(e.Weights)) {
		if requested := bluebellstate.WeightsVersion(d, model); e.Weights[model] < requested {
			return model, requested, true
		}
	}
	return "", 0, false
}

// selectOrders returns the orders to send now with the given number.
func (o *Orderer) selectOrders(fencing uint64) []loadOrder {
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
	inProgress := map[string]int{}
	for _, e := range endpoints {
		if o.loading[e.ID] {
			inProgress[e.Target]++
		}
	}
	// Endpoints with the oldest weights have the least time left to load.
	slices.SortStableFunc(endpoints, func(a, b bluebellfleet.Endpoint) int { return cmp.Compare(lowestVersion(a), lowestVersion(b)) })
	var selected []loadOrder
	for _, e := range endpoints {
		model, version, outdated := outdatedWeights(e, d)
		if !outdated || o.loading[e.ID] || now < o.retryAt[e.ID] || now-e.ReceivedAt > maxRegistrationAge {
			continue
		}
		if inProgress[e.Target] >= max(minParallel, int(math.Ceil(maxParallelShare*float64(serving[e.Target])))) {
			continue
		}
		inProgress[e.Target]++
		selected = append(selected, loadOrder{endpoint: e, model: model, version: version, fencing: fencing})
	}
	return selected
}

// lowestVersion returns the lowest version among an endpoint's weights.
func lowestVersion(e bluebellfleet.Endpoint) uint64 {
	lowest := uint64(math.MaxUint64)
	for _, version := range e.Weights {
		lowest = min(lowest, version)
	}
	return lowest
}

func (o *Orderer) markLoading(order loadOrder) { o.setLoading(order.endpoint.ID, true) }

func (o *Orderer) unmarkLoading(order loadOrder) { o.setLoading(order.endpoint.ID, false) }

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

// execute sends one order and waits until the endpoint has loaded the weights. It sends none
// if the endpoint already has them.
func (o *Orderer) execute(ctx context.Context, order loadOrder) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	bluebellprocess.Sleep(ctx, propagationDelay)
	start := o.cfg.Now()
	initial, err := o.report(ctx, order)
	if err == nil && initial.Weights[order.model] >= order.version {
		o.cfg.Registry.SetWeights(order.endpoint.ID, order.endpoint.StartUnixMillis, initial.Weights)
		return
	}
	status := 0
	if err == nil {
		status, err = o.sendOrder(ctx, order, initial.Sequence)
	}
	o.cfg.IncrementCounter("orders")
	o.cfg.Logger.Info("order attempted", "Endpoint", order.endpoint.ID, "Model", order.model, "Version", order.version,
		"Fencing", order.fencing, "Status", status, "Error", err, "HeardAgo", start-order.endpoint.ReceivedAt)
	if err == nil && (status == http.StatusAccepted || status == http.StatusOK || status == http.StatusConflict) {
		err = o.awaitLoaded(ctx, order)
		o.cfg.Logger.Info("order finished", "Endpoint", order.endpoint.ID, "Version", order.version, "Took", o.cfg.Now()-start, "Error", err)
		if err == nil {
			o.mu.Lock()
			defer o.mu.Unlock()
			delete(o.refusals, order.endpoint.ID)
			return
		}
	}
	o.scheduleRetry(order, status)
}

// scheduleRetry sets when an endpoint may be ordered again after an order that failed with the
// given status, 0 if there was no answer.
func (o *Orderer) scheduleRetry(order loadOrder, status int) {
	id, delay := order.endpoint.ID, retryDelay
	o.mu.Lock()
	defer o.mu.Unlock()
	if status == bluebellplatform.OrderFencingRefused {
		o.cfg.Duty.Refused(order.fencing)
		o.cfg.IncrementCounter("orders_fencing_refused")
		delay = min(minRefusedDelay<<o.refusals[id], maxRefusedDelay)
		o.refusals[id] = min(o.refusals[id]+1, maxRefusals)
	}
	o.retryAt[id] = o.cfg.Now() + delay
}

// report requests the state of an endpoint.
func (o *Orderer) report(ctx context.Context, order loadOrder) (bluebellplatform.EndpointReport, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	conn, err := o.cfg.Dial(ctx, "tcp", order.endpoint.Address)
	if err != nil {
		return bluebellplatform.EndpointReport{}, err
	}
	defer func() { _ = conn.Close() }()
	status, text, err := exchange(ctx, conn, order.endpoint, http.MethodGet, bluebellplatform.ReportPath, nil)
	if err != nil {
		return bluebellplatform.EndpointReport{}, err
	}
	if status != http.StatusOK {
		return bluebellplatform.EndpointReport{}, fmt.Errorf("request report of endpoint %s: status %d", order.endpoint.ID, status)
	}
	return bluebellplatform.DecodeReport(text)
}

// sendOrder sends one order after a proof that this process still leads. The endpoint refuses
// the order if it has accepted another one since the report with the given sequence: an
// order that got no answer may be carried out seconds later, and must not undo a newer one.
func (o *Orderer) sendOrder(ctx context.Context, order loadOrder, sequence uint64) (int, error) {
	body, err := bluebellplatform.EncodeWeightsOrder(bluebellplatform.WeightsOrder{
		Model: order.model, Version: order.version, Holder: o.cfg.Holder, Fencing: order.fencing, Sequence: &sequence,
	})
	if err != nil {
		return 0, err
	}
	// The connection is opened first, so that the order follows its barrier at once.
	dialCtx, cancelDial := context.WithTimeout(ctx, CallTimeout)
	defer cancelDial()
	conn, err := o.cfg.Dial(dialCtx, "tcp", order.endpoint.Address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	// The next holder waits no longer than CallTimeout for this call to arrive.
	bluebellduty.DiscardOnClose(conn, CallTimeout)
	proof, err := o.cfg.Duty.Prove(ctx, order.fencing)
	if err != nil {
		return 0, err
	}
	if err := proof.Check(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	status, _, err := exchange(ctx, conn, order.endpoint, http.MethodPost, bluebellplatform.OrderPath, body)
	return status, err
}

func (o *Orderer) awaitLoaded(ctx context.Context, order loadOrder) error {
	bluebellprocess.Sleep(ctx, firstReportDelay)
	for ctx.Err() == nil {
		report, err := o.report(ctx, order)
		if err == nil && report.Weights[order.model] >= order.version && !report.Busy {
			o.cfg.Registry.SetWeights(order.endpoint.ID, order.endpoint.StartUnixMillis, report.Weights)
			return nil
		}
		if current, found := o.cfg.Registry.Endpoint(order.endpoint.ID); !found || current.StartUnixMillis != order.endpoint.StartUnixMillis || current.State == bluebellfleet.Gone {
			return errors.New("endpoint is gone or was restarted while loading")
		}
		bluebellprocess.Sleep(ctx, reportInterval)
	}
	return ctx.Err()
}

// exchange sends the only request of a connection and returns the status and body of the answer.
func exchange(ctx context.Context, conn net.Conn, endpoint bluebellfleet.Endpoint, method, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+endpoint.Address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set(bluebellplatform.ExpectEndpointHeader(endpoint.ID))
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	transport := &http.Transport{
		DialContext:       func(context.Context, string, string) (net.Conn, error) { return conn, nil },
		DisableKeepAlives: true, MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := bluebellhead.CheckResponse(response); err != nil {
		return 0, nil, err
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err == nil {
		err = bluebellhead.CheckFields(response.Trailer)
	}
	if err != nil {
		return response.StatusCode, nil, fmt.Errorf("read answer of endpoint %s: %w", endpoint.ID, err)
	}
	return response.StatusCode, text, nil
}
