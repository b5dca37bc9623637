package bluebellpeer

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// raftCallTimeout is an election timeout: later than that a message is of no
	// use.
	raftCallTimeout = time.Second
	// outboxSize and maxOutboxBatch bound what waits for a member that does not
	// answer, in messages.
	outboxSize     = 256
	maxOutboxBatch = 64
)

// OutboxConfig sets up Outboxes.
type OutboxConfig struct {
	// Client returns the client of a member of the log.
	Client func(member string) (*Client, error)
}

// Outboxes send consensus messages to the members of the log, to each in order
// and in batches. What does not fit, or fails, is dropped: the protocol sends it
// again.
type Outboxes struct {
	cfg     OutboxConfig
	senders conc.WaitGroup

	mu    sync.Mutex
	ctx   context.Context
	boxes map[string]chan *pb.RaftMessage
}

// NewOutboxes returns outboxes that hold back messages until Start.
func NewOutboxes(cfg OutboxConfig) *Outboxes {
	return &Outboxes{cfg: cfg, boxes: map[string]chan *pb.RaftMessage{}}
}

// Start begins to send; the end of ctx stops it.
func (o *Outboxes) Start(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctx = ctx
	for member, box := range o.boxes {
		o.senders.Go(func() { o.run(ctx, box, member) })
	}
}

// Wait returns once all senders have ended.
func (o *Outboxes) Wait() { o.senders.Wait() }

// Send queues messages.
func (o *Outboxes) Send(messages []*pb.RaftMessage) {
	for _, m := range messages {
		select {
		case o.box(m.To) <- m:
		default:
		}
	}
}

func (o *Outboxes) box(member string) chan *pb.RaftMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	box := o.boxes[member]
	if box == nil {
		box = make(chan *pb.RaftMessage, outboxSize)
		o.boxes[member] = box
		if ctx := o.ctx; ctx != nil {
			o.senders.Go(func() { o.run(ctx, box, member) })
		}
	}
	return box
}

func (o *Outboxes) run(ctx context.Context, box chan *pb.RaftMessage, member string) {
	for {
		var batch []*pb.RaftMessage
		select {
		case <-ctx.Done():
			return
		case m := <-box:
			batch = append(batch, m)
		}
		for len(batch) < maxOutboxBatch && len(box) > 0 {
			batch = append(batch, <-box)
		}
		client, err := o.cfg.Client(member)
		if err != nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, raftCallTimeout)
		// A lost batch is sent again by the protocol.
		_ = client.Raft(callCtx, &pb.RaftBatch{Messages: batch})
		cancel()
	}
}
