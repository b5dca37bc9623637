package bluebellfrontend

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebellentry/internal/bluebelldispatch"
)

// headerKey is the idempotency key of a call.
const headerKey = "Idempotency-Key"

const jsonType = "application/json"

// sendError answers with the typed error body.
func (f *Server) sendError(c fiber.Ctx, requestID string, e *bluebelldispatch.CallError) error {
	f.cfg.CountRefusal(e.Code)
	f.cfg.Logger.Info("refused", "RequestID", requestID, "Status", e.Status, "Code", e.Code, "Run", e.Run, "Text", e.Text)
	c.Set(bluebelldispatch.HeaderError, string(e.Code))
	c.Set(bluebelldispatch.HeaderRequestID, requestID)
	if e.Retry {
		c.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	return f.sendMessage(c, e.Status, errorBody(requestID, e))
}

// refuseEarly answers a call that is refused before its claim was looked at. The call
// with this key may have run by way of another attempt, so NotRun would not be
// certain. A hop is one attempt of a claim that its sender holds.
func (f *Server) refuseEarly(c fiber.Ctx, requestID string, e *bluebelldispatch.CallError) error {
	if c.Get(headerKey) != "" && c.Get(bluebelldispatch.HeaderHop) == "" {
		e.Run = pb.RunState_Unknown
	}
	return f.sendError(c, requestID, e)
}

func errorBody(requestID string, e *bluebelldispatch.CallError) *pb.ErrorBody {
	body := &pb.CallError{
		// Texts may quote what an endpoint sent.
		Code: string(e.Code), Message: strings.ToValidUTF8(e.Text, "?"), Run: e.Run, Retry: e.Retry, RequestID: requestID,
	}
	if e.Retry {
		body.RetryAfter = durationpb.New(e.RetryAfter)
	}
	return &pb.ErrorBody{Error: body}
}

func (f *Server) sendMessage(c fiber.Ctx, status int, m proto.Message) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	c.Set("Content-Type", jsonType)
	return c.Status(status).Send(data)
}

// handleError answers what the library refuses by itself, before any handler. Of an
// error of our own it is not known how far the call has come.
func (f *Server) handleError(c fiber.Ctx, err error) error {
	status, run := http.StatusInternalServerError, pb.RunState_Unknown
	var fe *fiber.Error
	if errors.As(err, &fe) {
		status, run = fe.Code, pb.RunState_NotRun
	}
	code := bluebelldispatch.CodeBadRequest
	switch status {
	case http.StatusRequestEntityTooLarge:
		code = bluebelldispatch.CodeTooLarge
		lingerOn(c.RequestCtx().Conn())
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		code = bluebelldispatch.CodeUnknownTarget
	}
	return f.refuseEarly(c, f.cfg.NewID(), &bluebelldispatch.CallError{
		Status: status, Code: code, Text: err.Error(), Run: run,
	})
}

func refuse(status int, code bluebelldispatch.Code, text string) *bluebelldispatch.CallError {
	return &bluebelldispatch.CallError{Status: status, Code: code, Text: text, Run: pb.RunState_NotRun}
}
