package bluebellfrontend

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellroute"
	"bluebellhaven.org/bluebellentry/internal/bluebelldispatch"
)

const (
	// headerWork names the header in which a caller states the kind of work of a request.
	headerWork = "X-Bluebell-Work"
	// defaultQueueTimeout bounds the wait for a slot if the target declares no kinds of work.
	defaultQueueTimeout    = 5 * time.Second
	eventStreamContentType = "text/event-stream"
)

// handleModel returns the handler of chat completions or of plain completions.
func (s *Server) handleModel(chat bool) func(c fiber.Ctx) error {
	return func(c fiber.Ctx) error {
		call, callErr := s.newCall(c)
		if callErr != nil {
			return s.sendErrorBeforeClaim(c, call.RequestID, callErr)
		}
		request, prompt, err := parseModelRequest(call.Body, chat)
		if err != nil {
			return s.sendErrorBeforeClaim(c, call.RequestID, notRunError(http.StatusBadRequest, bluebelldispatch.CodeBadRequest, err.Error()))
		}
		call.Target, call.Kind, call.Stream = request.Model, pb.Kind_Model, request.Stream
		call.Path = strings.Clone(c.Path())
		call.Blocks = bluebellroute.Blocks(nil, call.Customer.Name, call.Target, prompt)
		return s.dispatch(c, call)
	}
}

// handleService handles calls of services, which are targets other than models.
func (s *Server) handleService(c fiber.Ctx) error {
	call, callErr := s.newCall(c)
	if callErr != nil {
		return s.sendErrorBeforeClaim(c, call.RequestID, callErr)
	}
	call.Target, call.Kind = strings.Clone(c.Params("target")), pb.Kind_Service
	call.Path = path.Clean("/" + strings.Clone(c.Params("*")))
	target := s.findTarget(call.Target)
	if target == nil || target.Kind != pb.Kind_Service {
		return s.sendErrorBeforeClaim(c, call.RequestID, notRunError(http.StatusNotFound, bluebelldispatch.CodeUnknownTarget, "service \""+call.Target+"\" is not declared"))
	}
	if decoded, err := url.PathUnescape(call.Path); err != nil || decoded != call.Path {
		return s.sendErrorBeforeClaim(c, call.RequestID, notRunError(http.StatusBadRequest, bluebelldispatch.CodeBadRequest, "the path of a service call must be plain, without escapes"))
	}
	call.NonIdempotent = isNonIdempotent(target, call.Method, call.Path)
	if query := c.Request().URI().QueryString(); len(query) > 0 {
		call.Path += "?" + string(query)
	}
	if call.NonIdempotent {
		call.Key = strings.Clone(c.Get(headerIdempotencyKey))
	}
	return s.dispatch(c, call)
}

// isNonIdempotent reports whether a call is declared non-idempotent: its method is not GET,
// HEAD or OPTIONS, and a path in NonIdempotentPaths is its path or a parent of its path.
// Case is ignored, since the service may ignore it.
func isNonIdempotent(t *pb.Target, method, callPath string) bool {
	if method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions {
		return false
	}
	callPath = strings.ToLower(callPath) + "/"
	return slices.ContainsFunc(t.NonIdempotentPaths, func(declared string) bool {
		return strings.HasPrefix(callPath, strings.ToLower(path.Clean(declared))+"/")
	})
}

// findTarget returns a declared target, or nil if there is none of that name.
func (s *Server) findTarget(name string) *pb.Target {
	for _, t := range s.cfg.View().Configuration.GetTargets() {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// newCall authenticates a request and builds its Call. It copies the data, since the HTTP
// library reuses its buffers when the handler returns.
func (s *Server) newCall(c fiber.Ctx) (*bluebelldispatch.Call, *bluebelldispatch.CallError) {
	call := &bluebelldispatch.Call{
		RequestID: s.cfg.NewID(), Method: strings.Clone(c.Method()),
		ContentType: strings.Clone(c.Get("Content-Type")), Body: bytes.Clone(c.Body()),
		EntryPath: strings.Clone(c.OriginalURL()),
	}
	d := s.currentDirectory()
	if d.configuration == nil {
		return call, &bluebelldispatch.CallError{
			Status: http.StatusServiceUnavailable, Code: bluebelldispatch.CodeNotReady,
			Text: "no configuration is in force yet", Run: pb.RunState_NotRun, Retry: true, RetryAfter: time.Second,
		}
	}
	if value := c.Get(bluebelldispatch.HeaderHop); value != "" {
		return call, s.acceptHop(c, d, call, value)
	}
	call.Customer = d.customersByHash[keyHash(c.Get("Authorization"))]
	if call.Customer == nil {
		return call, notRunError(http.StatusUnauthorized, bluebelldispatch.CodeUnauthenticated, "the Authorization header names no known customer key")
	}
	return call, nil
}

// acceptHop verifies the hop of a call that another VM forwarded to this VM, and sets the
// call's request ID and customer from it.
func (s *Server) acceptHop(c fiber.Ctx, d *directory, call *bluebelldispatch.Call, value string) *bluebelldispatch.CallError {
	hop, err := verifyHop(s.cfg.Secret, value, c.Get(bluebelldispatch.HeaderSignature), call.Body, s.cfg.WallClock())
	if err != nil {
		return notRunError(http.StatusUnauthorized, bluebelldispatch.CodeUnauthenticated, err.Error())
	}
	call.Hop, call.RequestID = hop, hop.RequestID
	call.Customer = d.customersByName[hop.Customer]
	if call.Customer == nil {
		return notRunError(http.StatusServiceUnavailable, bluebelldispatch.CodeNotReady, "customer "+hop.Customer+" is not known here yet")
	}
	return nil
}

// dispatch runs a call and sends the answer to the caller.
func (s *Server) dispatch(c fiber.Ctx, call *bluebelldispatch.Call) error {
	workName := c.Get(headerWork)
	if call.Hop != nil {
		workName = call.Hop.Work
	}
	work, err := s.currentDirectory().work(call.Target, workName)
	if err != nil {
		return s.sendErrorBeforeClaim(c, call.RequestID, notRunError(http.StatusBadRequest, bluebelldispatch.CodeBadRequest, err.Error()))
	}
	call.Work = work
	startWithin := defaultQueueTimeout
	if work != nil {
		startWithin = work.QueueFor.AsDuration()
	}
	if call.Hop != nil {
		startWithin = call.Hop.StartWithin.AsDuration()
		if call.NonIdempotent != call.Hop.NonIdempotent {
			// The two VMs have different revisions of the configuration. The sending VM will
			// select an endpoint again.
			return s.sendErrorBeforeClaim(c, call.RequestID, notRunError(http.StatusServiceUnavailable, bluebelldispatch.CodeNotReady, "the VMs do not agree yet on whether the call may be repeated"))
		}
	}
	call.StartBy = s.cfg.Now() + startWithin
	ctx, cancel := context.WithCancel(context.Background())
	reply, callErr := s.cfg.Dispatcher.Do(ctx, call)
	if callErr != nil {
		cancel()
		return s.sendCallError(c, call.RequestID, callErr)
	}
	s.setHeaders(c, call, reply)
	if reply.Streamed {
		return s.stream(c, call, reply, cancel)
	}
	defer cancel()
	defer reply.Close()
	return c.Status(reply.Status).Send(reply.Body)
}

// setHeaders sets the headers of an answer other than an error.
func (s *Server) setHeaders(c fiber.Ctx, call *bluebelldispatch.Call, reply *bluebelldispatch.Reply) {
	c.Set(bluebelldispatch.HeaderRequestID, call.RequestID)
	c.Set("Content-Type", reply.ContentType)
	if reply.Replayed {
		c.Set("Idempotent-Replayed", "true")
		return
	}
	c.Set(bluebelldispatch.HeaderEndpoint, reply.Endpoint)
	c.Set(bluebelldispatch.HeaderVersion, reply.Version)
	if call.Hop != nil {
		c.Set(bluebelldispatch.HeaderPending, strconv.Itoa(s.cfg.Dispatcher.PendingBlocks(reply.Endpoint)))
	}
}

// handleModels lists the declared models in the format of the OpenAI API.
func (s *Server) handleModels(c fiber.Ctx) error {
	if s.currentDirectory().customersByHash[keyHash(c.Get("Authorization"))] == nil {
		return s.sendCallError(c, s.cfg.NewID(), notRunError(http.StatusUnauthorized, bluebelldispatch.CodeUnauthenticated, "the Authorization header names no known customer key"))
	}
	list := modelList{Object: "list"}
	for _, t := range s.cfg.View().Configuration.GetTargets() {
		if t.Kind == pb.Kind_Model {
			list.Data = append(list.Data, modelEntry{ID: t.Name, Object: "model", OwnedBy: "bluebellhaven"})
		}
	}
	return c.JSON(list)
}

// modelList is the answer of handleModels.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// modelEntry describes one model.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
