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

// headerIdempotencyKey names the header with the idempotency key of a call.
const headerIdempotencyKey = "Idempotency-Key"

const jsonContentType = "application/json"

// sendCallError answers with the error in the body and in the headers.
func (s *Server) sendCallError(c fiber.Ctx, requestID string, e *bluebelldispatch.CallError) error {
	s.cfg.CountError(e.Code)
	s.cfg.Logger.Info("request failed", "RequestID", requestID, "Status", e.Status, "Code", e.Code, "Run", e.Run, "Text", e.Text)
	c.Set(bluebelldispatch.HeaderError, string(e.Code))
	c.Set(bluebelldispatch.HeaderRequestID, requestID)
	if e.Retry {
		c.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	return s.sendMessage(c, e.Status, errorBody(requestID, e))
}

// sendErrorBeforeClaim answers a call that is refused before its claim is checked. If the
// call has an idempotency key, an earlier attempt with that key may have run, so the answer
// must not say NotRun. That doesn't apply to a forwarded call: it is an attempt for which
// the sending VM holds the claim.
func (s *Server) sendErrorBeforeClaim(c fiber.Ctx, requestID string, e *bluebelldispatch.CallError) error {
	if c.Get(headerIdempotencyKey) != "" && c.Get(bluebelldispatch.HeaderHop) == "" {
		e.Run = pb.RunState_Unknown
	}
	return s.sendCallError(c, requestID, e)
}

// errorBody returns the body of an error answer.
func errorBody(requestID string, e *bluebelldispatch.CallError) *pb.ErrorBody {
	body := &pb.CallError{
		// The text may quote what an endpoint sent, which may be invalid UTF-8.
		Code: string(e.Code), Message: strings.ToValidUTF8(e.Text, "?"), Run: e.Run, Retry: e.Retry, RequestID: requestID,
	}
	if e.Retry {
		body.RetryAfter = durationpb.New(e.RetryAfter)
	}
	return &pb.ErrorBody{Error: body}
}

// sendMessage answers with a protobuf message encoded as JSON.
func (s *Server) sendMessage(c fiber.Ctx, status int, m proto.Message) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	c.Set("Content-Type", jsonContentType)
	return c.Status(status).Send(data)
}

// handleError answers requests that the HTTP library refuses before any handler runs. For
// any other error it is unknown whether the call ran.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	status, run := http.StatusInternalServerError, pb.RunState_Unknown
	var fe *fiber.Error
	if errors.As(err, &fe) {
		status, run = fe.Code, pb.RunState_NotRun
	}
	code := bluebelldispatch.CodeBadRequest
	switch status {
	case http.StatusRequestEntityTooLarge:
		code = bluebelldispatch.CodeTooLarge
		enableLinger(c.RequestCtx().Conn())
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		code = bluebelldispatch.CodeUnknownTarget
	}
	return s.sendErrorBeforeClaim(c, s.cfg.NewID(), &bluebelldispatch.CallError{
		Status: status, Code: code, Text: err.Error(), Run: run,
	})
}

// notRunError returns an error for a call that certainly did not run and that the caller
// should not send again as it is.
func notRunError(status int, code bluebelldispatch.Code, text string) *bluebelldispatch.CallError {
	return &bluebelldispatch.CallError{Status: status, Code: code, Text: text, Run: pb.RunState_NotRun}
}
