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
)

// commentEvery is the time between comments on an idle stream. A caller that has
// gone is noticed when a write to it fails.
const commentEvery = time.Second

type streamEvent struct {
	data []byte
	err  error
}

// stream relays events. It holds one event at the most: an endpoint is read no
// faster than the caller reads.
func (f *Server) stream(c fiber.Ctx, call *bluebelldispatch.Call, reply *bluebelldispatch.Reply, cancel context.CancelFunc) error {
	c.Set("Content-Type", eventStreamType)
	c.Set("Cache-Control", "no-store")
	f.active.begin()
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer f.active.end()
		events := make(chan streamEvent)
		gone := make(chan struct{})
		var group conc.WaitGroup
		group.Go(func() { readEvents(reply, events, gone) })
		err := f.relay(w, call, events)
		close(gone)
		cancel()
		group.Wait()
		reply.Close()
		f.cfg.Logger.Info("stream ended", "RequestID", call.RequestID, "Endpoint", reply.Endpoint, "Version", reply.Version,
			"Blocks", reply.Blocks, "CachedBlocks", reply.CachedBlocks, "Error", err)
	})
}

func readEvents(reply *bluebelldispatch.Reply, events chan<- streamEvent, gone <-chan struct{}) {
	for {
		data, err := reply.Next()
		select {
		case events <- streamEvent{data, err}:
		case <-gone:
			return
		}
		if err != nil {
			return
		}
	}
}

// relay writes events until the stream ends or the caller has gone. A stream
// that broke ends with an error event and without [DONE].
func (f *Server) relay(w *bufio.Writer, call *bluebelldispatch.Call, events <-chan streamEvent) error {
	ticker := time.NewTicker(commentEvery)
	defer ticker.Stop()
	for {
		select {
		case e := <-events:
			switch {
			case errors.Is(e.err, io.EOF):
				return writeEvent(w, []byte("[DONE]"))
			case e.err != nil:
				return errors.Join(e.err, writeBroken(w, call, e.err))
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
	for _, part := range [][]byte{[]byte("data: "), data, []byte("\n\n")} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return w.Flush()
}

// writeBroken tells a caller that its stream is not complete. Another VM sees
// that from the missing [DONE], and tells the caller itself.
func writeBroken(w *bufio.Writer, call *bluebelldispatch.Call, cause error) error {
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
