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
	// headerWork lets a caller say which kind of work a request is.
	headerWork = "X-Bluebell-Work"
	// defaultStartWithin is how long work waits that the answers do not name.
	defaultStartWithin = 5 * time.Second
	eventStreamType    = "text/event-stream"
)

// model handles completions, of chat or plain.
func (f *Server) model(chat bool) func(c fiber.Ctx) error {
	return func(c fiber.Ctx) error {
		call, callErr := f.newCall(c)
		if callErr != nil {
			return f.refuseEarly(c, call.RequestID, callErr)
		}
		request, prompt, err := parseModelRequest(call.Body, chat)
		if err != nil {
			return f.refuseEarly(c, call.RequestID, refuse(http.StatusBadRequest, bluebelldispatch.CodeBadRequest, err.Error()))
		}
		call.Target, call.Kind, call.Stream = request.Model, pb.Kind_Model, request.Stream
		call.Path = strings.Clone(c.Path())
		call.Blocks = bluebellroute.Blocks(nil, call.Customer.Name, call.Target, prompt)
		return f.dispatch(c, call)
	}
}

// service handles calls of plain services.
func (f *Server) service(c fiber.Ctx) error {
	call, callErr := f.newCall(c)
	if callErr != nil {
		return f.refuseEarly(c, call.RequestID, callErr)
	}
	call.Target, call.Kind = strings.Clone(c.Params("target")), pb.Kind_Service
	call.Path = path.Clean("/" + strings.Clone(c.Params("*")))
	target := f.target(call.Target)
	if target == nil || target.Kind != pb.Kind_Service {
		return f.refuseEarly(c, call.RequestID, refuse(http.StatusNotFound, bluebelldispatch.CodeUnknownTarget, "service \""+call.Target+"\" is not declared"))
	}
	if decoded, err := url.PathUnescape(call.Path); err != nil || decoded != call.Path {
		return f.refuseEarly(c, call.RequestID, refuse(http.StatusBadRequest, bluebelldispatch.CodeBadRequest, "the path of a service call must be plain, without escapes"))
	}
	call.NonIdempotent = nonIdempotent(target, call.Method, call.Path)
	if query := c.Request().URI().QueryString(); len(query) > 0 {
		call.Path += "?" + string(query)
	}
	if call.NonIdempotent {
		call.Key = strings.Clone(c.Get(headerKey))
	}
	return f.dispatch(c, call)
}

// nonIdempotent tells whether a call may not be repeated. A declared path covers
// the paths below it, whatever their case, since a service may not tell them
// apart.
func nonIdempotent(t *pb.Target, method, callPath string) bool {
	if method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions {
		return false
	}
	callPath = strings.ToLower(callPath) + "/"
	return slices.ContainsFunc(t.NonIdempotentPaths, func(declared string) bool {
		return strings.HasPrefix(callPath, strings.ToLower(path.Clean(declared))+"/")
	})
}

func (f *Server) target(name string) *pb.Target {
	for _, t := range f.cfg.View().Configuration.GetTargets() {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// newCall authenticates a request and copies what outlives its handler.
func (f *Server) newCall(c fiber.Ctx) (*bluebelldispatch.Call, *bluebelldispatch.CallError) {
	call := &bluebelldispatch.Call{
		RequestID: f.cfg.NewID(), Method: strings.Clone(c.Method()),
		ContentType: strings.Clone(c.Get("Content-Type")), Body: bytes.Clone(c.Body()),
		EntryPath: strings.Clone(c.OriginalURL()),
	}
	d := f.lookup()
	if d.configuration == nil {
		return call, &bluebelldispatch.CallError{
			Status: http.StatusServiceUnavailable, Code: bluebelldispatch.CodeNotReady,
			Text: "no configuration is in force yet", Run: pb.RunState_NotRun, Retry: true, RetryAfter: time.Second,
		}
	}
	if value := c.Get(bluebelldispatch.HeaderHop); value != "" {
		return call, f.acceptHop(c, d, call, value)
	}
	call.Customer = d.customersByHash[keyHash(c.Get("Authorization"))]
	if call.Customer == nil {
		return call, refuse(http.StatusUnauthorized, bluebelldispatch.CodeUnauthenticated, "the Authorization header names no known customer key")
	}
	return call, nil
}

// acceptHop takes over a request that another VM has routed here.
func (f *Server) acceptHop(c fiber.Ctx, d *directory, call *bluebelldispatch.Call, value string) *bluebelldispatch.CallError {
	hop, err := verifyHop(f.cfg.Secret, value, c.Get(bluebelldispatch.HeaderSignature), call.Body, f.cfg.Wall())
	if err != nil {
		return refuse(http.StatusUnauthorized, bluebelldispatch.CodeUnauthenticated, err.Error())
	}
	call.Hop, call.RequestID = hop, hop.RequestID
	call.Customer = d.customersByName[hop.Customer]
	if call.Customer == nil {
		return refuse(http.StatusServiceUnavailable, bluebelldispatch.CodeNotReady, "customer "+hop.Customer+" is not known here yet")
	}
	return nil
}

// dispatch carries a call and answers the caller.
func (f *Server) dispatch(c fiber.Ctx, call *bluebelldispatch.Call) error {
	workName := c.Get(headerWork)
	if call.Hop != nil {
		workName = call.Hop.Work
	}
	work, err := f.lookup().work(call.Target, workName)
	if err != nil {
		return f.refuseEarly(c, call.RequestID, refuse(http.StatusBadRequest, bluebelldispatch.CodeBadRequest, err.Error()))
	}
	call.Work = work
	startWithin := defaultStartWithin
	if work != nil {
		startWithin = work.QueueFor.AsDuration()
	}
	if call.Hop != nil {
		startWithin = call.Hop.StartWithin.AsDuration()
		if call.NonIdempotent != call.Hop.NonIdempotent {
			// The two VMs follow different revisions; the sender will choose again.
			return f.refuseEarly(c, call.RequestID, refuse(http.StatusServiceUnavailable, bluebelldispatch.CodeNotReady, "the VMs do not agree yet on whether the call may be repeated"))
		}
	}
	call.StartBy = f.cfg.Now() + startWithin
	ctx, cancel := context.WithCancel(context.Background())
	reply, callErr := f.cfg.Dispatcher.Do(ctx, call)
	if callErr != nil {
		cancel()
		return f.sendError(c, call.RequestID, callErr)
	}
	f.setHeaders(c, call, reply)
	if reply.Streamed {
		return f.stream(c, call, reply, cancel)
	}
	defer cancel()
	defer reply.Close()
	return c.Status(reply.Status).Send(reply.Body)
}

func (f *Server) setHeaders(c fiber.Ctx, call *bluebelldispatch.Call, reply *bluebelldispatch.Reply) {
	c.Set(bluebelldispatch.HeaderRequestID, call.RequestID)
	c.Set("Content-Type", reply.ContentType)
	if reply.Replayed {
		c.Set("Idempotent-Replayed", "true")
		return
	}
	c.Set(bluebelldispatch.HeaderEndpoint, reply.Endpoint)
	c.Set(bluebelldispatch.HeaderVersion, reply.Version)
	if call.Hop != nil {
		c.Set(bluebelldispatch.HeaderPending, strconv.Itoa(f.cfg.Dispatcher.PendingBlocks(reply.Endpoint)))
	}
}

// models lists what is served, in the usual form.
func (f *Server) models(c fiber.Ctx) error {
	if f.lookup().customersByHash[keyHash(c.Get("Authorization"))] == nil {
		return f.sendError(c, f.cfg.NewID(), refuse(http.StatusUnauthorized, bluebelldispatch.CodeUnauthenticated, "the Authorization header names no known customer key"))
	}
	list := modelList{Object: "list"}
	for _, t := range f.cfg.View().Configuration.GetTargets() {
		if t.Kind == pb.Kind_Model {
			list.Data = append(list.Data, modelEntry{ID: t.Name, Object: "model", OwnedBy: "bluebellhaven"})
		}
	}
	return c.JSON(list)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
