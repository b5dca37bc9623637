package bluebellfrontend

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebellentry/internal/bluebelldispatch"
)

// changeTimeout bounds the time in which a change must be agreed.
const changeTimeout = 8 * time.Second

func (f *Server) operatorRoutes() {
	group := f.app.Group("/operator/v1", f.authenticateOperator)
	group.Post("/change", f.change)
	group.Get("/status", f.status)
	group.Get("/configuration", f.configuration)
	group.Get("/why", f.why)
	group.Post("/members", f.members)
}

// operatorKey is where the name of the authenticated operator is kept.
type operatorKey struct{}

func (f *Server) authenticateOperator(c fiber.Ctx) error {
	name, ok := f.lookup().operators[keyHash(c.Get("Authorization"))]
	if !ok {
		return f.sendError(c, f.cfg.NewID(), refuse(http.StatusUnauthorized, bluebelldispatch.CodeUnauthenticated, "the Authorization header names no known operator key"))
	}
	c.Locals(operatorKey{}, name)
	return c.Next()
}

// change proposes a change in the operator's name.
func (f *Server) change(c fiber.Ctx) error {
	var command pb.Command
	if err := protojson.Unmarshal(c.Body(), &command); err != nil {
		return f.sendError(c, f.cfg.NewID(), refuse(http.StatusBadRequest, bluebelldispatch.CodeBadRequest, err.Error()))
	}
	switch command.Body.(type) {
	case *pb.Command_Apply, *pb.Command_SetFailureDomain, *pb.Command_SetEndpoint, *pb.Command_StartMove:
	case *pb.Command_StepMove:
		if command.GetStepMove().Phase != pb.Phase_TakenBack {
			return f.sendError(c, f.cfg.NewID(), refuse(http.StatusForbidden, bluebelldispatch.CodeBadRequest, "operators may take a move back, and leave its other steps to the system"))
		}
	default:
		return f.sendError(c, f.cfg.NewID(), refuse(http.StatusBadRequest, bluebelldispatch.CodeBadRequest, "the change has no body that operators may send"))
	}
	command.Operator = strings.Clone(c.Locals(operatorKey{}).(string))
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	result, err := f.cfg.Propose(ctx, proto.CloneOf(&command))
	if err != nil {
		return f.sendError(c, f.cfg.NewID(), &bluebelldispatch.CallError{
			Status: http.StatusServiceUnavailable, Code: bluebelldispatch.CodeNotAgreed, Run: pb.RunState_Unknown,
			Text: "the change was not agreed in time; send it again under the same ChangeID: " + err.Error(), Retry: true, RetryAfter: time.Second,
		})
	}
	f.cfg.Logger.Info("change", "ChangeID", command.ChangeID, "Operator", command.Operator, "Verdict", result.Verdict, "Revision", result.Revision, "Text", result.Text)
	return f.sendMessage(c, http.StatusOK, result)
}

func (f *Server) status(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return f.sendMessage(c, http.StatusOK, f.cfg.Status(ctx))
}

func (f *Server) configuration(c fiber.Ctx) error {
	configuration := f.cfg.View().Configuration
	if configuration == nil {
		configuration = &pb.Configuration{}
	}
	return f.sendMessage(c, http.StatusOK, configuration)
}

func (f *Server) why(c fiber.Ctx) error {
	return f.sendMessage(c, http.StatusOK, &pb.RoutingRecords{Records: f.cfg.Records(strings.Clone(c.Query("RequestID")))})
}

// members replaces the members of the log, on its leader.
func (f *Server) members(c fiber.Ctx) error {
	var m pb.Members
	if err := protojson.Unmarshal(c.Body(), &m); err != nil {
		return f.sendError(c, f.cfg.NewID(), refuse(http.StatusBadRequest, bluebelldispatch.CodeBadRequest, err.Error()))
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	if err := f.cfg.ChangeMembers(ctx, &m); err != nil {
		refusal := refuse(http.StatusConflict, bluebelldispatch.CodeNotAgreed, err.Error())
		if ctx.Err() != nil {
			refusal.Run = pb.RunState_Unknown
		}
		return f.sendError(c, f.cfg.NewID(), refusal)
	}
	return f.sendMessage(c, http.StatusOK, &m)
}
