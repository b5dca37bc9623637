package bluebellfrontend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/encoding/protojson"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebellentry/internal/bluebelldispatch"
	"bluebellhaven.org/bluebellentry/internal/bluebellupstream"
)

// keepAliveInterval is the time between two comments that are sent on a stream. They serve to
// detect a disconnected caller while no event arrives, since a write then fails.
const keepAliveInterval = time.Second

// eventOrError is the result of one read from a stream.
type eventOrError struct {
	data []byte
	err  error
}

// stream sends the events of a reply to the caller. It buffers no more than one event, so that
// the endpoint is read no faster than the caller reads.
func (s *Server) stream(c fiber.Ctx, call *bluebelldispatch.Call, reply *bluebelldispatch.Reply, cancel context.CancelFunc) error {
	c.Set("Content-Type", eventStreamContentType)
	c.Set("Cache-Control", "no-store")
	s.active.begin()
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer s.active.end()
		events := make(chan eventOrError)
		stopped := make(chan struct{})
		var group conc.WaitGroup
		group.Go(func() { readEvents(reply, events, stopped) })
		err := s.relay(w, call, events)
		close(stopped)
		cancel()
		group.Wait()
		reply.Close()
		s.cfg.Logger.Info("stream ended", "RequestID", call.RequestID, "Endpoint", reply.Endpoint, "Version", reply.Version,
			"Blocks", reply.Blocks, "CachedBlocks", reply.CachedBlocks, "Error", err)
	})
}

// readEvents sends the events of a reply to a channel until the stream ends or the channel
// stopped is closed.
func readEvents(reply *bluebelldispatch.Reply, events chan<- eventOrError, stopped <-chan struct{}) {
	for {
		data, err := reply.Next()
		select {
		case events <- eventOrError{data, err}:
		case <-stopped:
			return
		}
		if err != nil {
			return
		}
	}
}

// relay writes events until the stream ends or a write to the caller fails. A broken stream
// ends with an error event and without [DONE].
func (s *Server) relay(w *bufio.Writer, call *bluebelldispatch.Call, events <-chan eventOrError) error {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-events:
			switch {
			case errors.Is(e.err, io.EOF):
				return writeEvent(w, []byte("[DONE]"))
			case e.err != nil:
				return errors.Join(e.err, writeStreamError(w, call, e.err))
			}
			if err := writeEvent(w, e.data); err != nil {
				return err
			}
		case <-ticker.C:
			if _, err := w.WriteString(": waiting\n\n"); err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
		}
	}
}

func writeEvent(w *bufio.Writer, data []byte) error {
	if err := bluebellupstream.WriteEvent(w, data); err != nil {
		return err
	}
	return w.Flush()
}

// writeStreamError writes the event that reports an incomplete stream to the caller. For a
// forwarded call it writes nothing: the other VM detects the missing [DONE] and writes the
// event itself.
func writeStreamError(w *bufio.Writer, call *bluebelldispatch.Call, cause error) error {
	if call.Hop != nil {
		return nil
	}
	body := errorBody(call.RequestID, &bluebelldispatch.CallError{
		Code: bluebelldispatch.CodeStreamBroken, Text: "the stream broke before it was complete: " + cause.Error(),
		Run: pb.RunState_Unknown, Retry: true, RetryAfter: time.Second,
	})
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(body)
	if err != nil {
		return err
	}
	if _, err := w.WriteString("event: error\n"); err != nil {
		return err
	}
	return writeEvent(w, data)
}
