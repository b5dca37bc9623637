package bluebellfrontend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bluebellhaven.org/bluebellgate/internal/bluebellhandover"
	"bluebellhaven.org/platform/bluebellplatform"
)

// A third listener takes the calls that other entries hand over. They are declined rather than refused
// whenever another entry may run them. It also tells entries that reach no core process the deployment in force.

const (
	// defaultMaxHandedOver limits the calls of other entries that are run at a time if Config sets no
	// limit, and maxHandedOverBytes the bodies of these calls together.
	defaultMaxHandedOver = 200
	maxHandedOverBytes   = 16 << 20
	// maxOfferBytes limits the headers of an offer, in addition to those of the call.
	maxOfferBytes = 16 << 10
	// deploymentWait is how long a call of an entry with a newer deployment waits for it here, and
	// deploymentPollInterval how often it looks. Deployments reach entries at different moments.
	deploymentWait         = 200 * time.Millisecond
	deploymentPollInterval = 5 * time.Millisecond
	// declineTimeout limits reading the body of a call that is declined.
	declineTimeout = time.Second
)

// peers serves the calls of other entries.
type peers struct {
	server *http.Server
	mu     sync.Mutex
	// listener is nil before ServePeers.
	listener net.Listener
	// calls and bytes are those of the calls that are being run.
	calls, bytes atomic.Int64
}

// ServePeers serves the calls that other entries hand over on connections that listener has
// authenticated, until the planned stop ends.
func (f *Frontend) ServePeers(listener net.Listener) error {
	f.peers.mu.Lock()
	f.peers.listener = listener
	f.peers.mu.Unlock()
	return ignoreClosed(f.peers.server.Serve(listener))
}

// closeListener closes the listener, if there is one.
func (p *peers) closeListener() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return nil
	}
	return ignoreClosed(p.listener.Close())
}

// servePeerCall runs a call for another entry, or declines it.
func (f *Frontend) servePeerCall(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	if revision, ok := bluebellhandover.DeploymentQuery(r.Header); ok && f.cfg.Deployment != nil {
		f.answerDeploymentQuery(w, revision)
		return
	}
	offer, err := bluebellhandover.DecodeOffer(r.Header)
	if err != nil {
		f.decline(w, r, offer, err)
		return
	}
	offer.Origin = r.RemoteAddr
	bluebellhandover.Strip(r.Header)
	calls, bytes := f.peers.calls.Add(1), f.peers.bytes.Add(max(r.ContentLength, 0))
	defer f.peers.calls.Add(-1)
	defer f.peers.bytes.Add(-max(r.ContentLength, 0))
	routing := f.awaitRouting(r.Context(), offer.Revision, start.Add(min(deploymentWait, offer.TimeLeft/2)))
	switch {
	case f.stopping.Load():
		w.Header().Set("Connection", "close")
		f.decline(w, r, offer, errors.New("entry is stopping"))
		return
	case offer.Revision > routing.Revision:
		f.decline(w, r, offer, errors.New("the origin has a newer deployment"))
		return
	case calls > int64(f.cfg.MaxHandedOver) || bytes > maxHandedOverBytes || r.ContentLength < 0:
		f.decline(w, r, offer, errors.New("too many calls of other entries"))
		return
	}
	held := f.openBody(w)
	defer held.Release()
	if offer.Query {
		f.answerQuery(w, r, offer)
		return
	}
	request, refused := f.readRequest(w, r, held, routing, start)
	if refused != nil {
		f.decline(w, r, offer, refused.cause)
		return
	}
	if latest := start.Add(offer.TimeLeft); latest.Before(request.Deadline) {
		request.Deadline = latest
	}
	for _, t := range request.Route.Targets {
		if t.Name == offer.Target && t.Weight > 0 {
			request.Target = routing.Deployment.Target(t.Name)
		}
	}
	request.Offer = &offer
	f.cfg.Relay.Serve(r.Context(), request, f.sink(w, func(int) {}))
}

// answerDeploymentQuery tells another entry the deployment in force.
func (f *Frontend) answerDeploymentQuery(w http.ResponseWriter, revision uint64) {
	reply, err := f.cfg.Deployment(revision)
	if err != nil {
		f.cfg.Logger.Error("failed to encode the deployment", "Error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// An entry that has gone gets an error at its next connection.
	_, _ = w.Write(reply)
}

// awaitRouting returns the deployment by which calls are routed, once it has a revision or the time is
// over.
func (f *Frontend) awaitRouting(ctx context.Context, revision uint64, until time.Time) Routing {
	for {
		routing := f.cfg.Routing()
		if routing.Revision >= revision || f.stopping.Load() || ctx.Err() != nil || time.Now().After(until) {
			return routing
		}
		time.Sleep(deploymentPollInterval)
	}
}

// answerQuery tells an origin whether this entry would take a call.
func (f *Frontend) answerQuery(w http.ResponseWriter, r *http.Request, offer bluebellhandover.Offer) {
	if !f.cfg.Relay.Linked(offer.Target) {
		f.decline(w, r, offer, errors.New("links lost"))
		return
	}
	bluebellhandover.Result{Outcome: bluebellhandover.Accepted}.Encode(w.Header())
	w.WriteHeader(http.StatusNoContent)
}

// decline answers that the call has not run here and that another entry may run it. The body is read
// first: if the connection were closed with the body unread, the origin might not get the answer.
func (f *Frontend) decline(w http.ResponseWriter, r *http.Request, offer bluebellhandover.Offer, cause error) {
	controller := http.NewResponseController(w)
	err := controller.SetReadDeadline(time.Now().Add(declineTimeout))
	_, readErr := io.Copy(io.Discard, r.Body)
	if err = errors.Join(err, readErr); err == nil {
		err = controller.SetReadDeadline(time.Time{})
	}
	if err != nil {
		w.Header().Set("Connection", "close")
	}
	call, _ := bluebellplatform.DecodeCall(r.Header)
	for name, values := range bluebellplatform.RefusalHeader(call.ID, 0) {
		w.Header()[name] = values
	}
	bluebellhandover.Result{Outcome: bluebellhandover.Declined}.Encode(w.Header())
	w.WriteHeader(http.StatusServiceUnavailable)
	f.cfg.Logger.Info("handed-over call declined", "Call", call.ID, "Origin", offer.Origin, "Cause", errors.Join(cause, err), "Revision", offer.Revision)
}
