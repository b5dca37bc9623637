package bluebellpeer

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const (
	// raftCallTimeout is equal to the election timeout. A message that arrives later
	// is outdated.
	raftCallTimeout = time.Second
	// outboxSize is the maximum number of messages queued for a member that does not
	// answer, and maxOutboxBatch the maximum number of messages sent in one call.
	outboxSize     = 256
	maxOutboxBatch = 64
)

// OutboxConfig configures Outboxes.
type OutboxConfig struct {
	// Client returns the client for a member of the Raft group.
	Client func(member string) (*Client, error)
}

// Outboxes holds one queue of Raft messages for each member of the Raft group, and
// sends the messages of a queue in order and in batches. Messages are dropped when the
// queue is full or the call fails, since the Raft protocol sends them again.
type Outboxes struct {
	cfg     OutboxConfig
	senders conc.WaitGroup

	mu     sync.Mutex
	ctx    context.Context
	queues map[string]chan *pb.RaftMessage
}

// NewOutboxes returns Outboxes that queue messages, and send none before Start.
func NewOutboxes(cfg OutboxConfig) *Outboxes {
	return &Outboxes{cfg: cfg, queues: map[string]chan *pb.RaftMessage{}}
}

// Start starts to send messages, until ctx is done.
func (o *Outboxes) Start(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctx = ctx
	for member, queue := range o.queues {
		o.senders.Go(func() { o.run(ctx, queue, member) })
	}
}

// Wait waits until all sending goroutines have ended.
func (o *Outboxes) Wait() { o.senders.Wait() }

// Send queues each message for the member in its To field. It does not block.
func (o *Outboxes) Send(messages []*pb.RaftMessage) {
	for _, m := range messages {
		select {
		case o.queue(m.To) <- m:
		default:
		}
	}
}

// queue returns the queue of a member and creates it if needed.
func (o *Outboxes) queue(member string) chan *pb.RaftMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	queue := o.queues[member]
	if queue == nil {
		queue = make(chan *pb.RaftMessage, outboxSize)
		o.queues[member] = queue
		if ctx := o.ctx; ctx != nil {
			o.senders.Go(func() { o.run(ctx, queue, member) })
		}
	}
	return queue
}

// run sends the messages of one queue until ctx is done.
func (o *Outboxes) run(ctx context.Context, queue chan *pb.RaftMessage, member string) {
	for {
		var batch []*pb.RaftMessage
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			batch = append(batch, m)
		}
		for len(batch) < maxOutboxBatch && len(queue) > 0 {
			batch = append(batch, <-queue)
		}
		client, err := o.cfg.Client(member)
		if err != nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, raftCallTimeout)
		// The error is ignored, since the Raft protocol sends lost messages again.
		_ = client.Raft(callCtx, &pb.RaftBatch{Messages: batch})
		cancel()
	}
}
