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

// changeTimeout bounds the wait until the voters agree on a change.
const changeTimeout = 8 * time.Second

// registerOperatorRoutes adds the paths for operators to the HTTP server.
func (s *Server) registerOperatorRoutes() {
	group := s.app.Group("/operator/v1", s.authenticateOperator)
	group.Post("/change", s.handleChange)
	group.Get("/status", s.handleStatus)
	group.Get("/configuration", s.handleConfiguration)
	group.Get("/why", s.handleWhy)
	group.Post("/members", s.handleMembers)
}

// operatorKey is the key of the authenticated operator's name in the request's local values.
type operatorKey struct{}

// authenticateOperator refuses requests without the key of a known operator.
func (s *Server) authenticateOperator(c fiber.Ctx) error {
	name, ok := s.currentDirectory().operators[keyHash(c.Get("Authorization"))]
	if !ok {
		return s.sendCallError(c, s.cfg.NewID(), notRunError(http.StatusUnauthorized, bluebelldispatch.CodeUnauthenticated, "the Authorization header names no known operator key"))
	}
	c.Locals(operatorKey{}, name)
	return c.Next()
}

// handleChange proposes a change to the voters on behalf of the operator.
func (s *Server) handleChange(c fiber.Ctx) error {
	var command pb.Command
	if err := protojson.Unmarshal(c.Body(), &command); err != nil {
		return s.sendCallError(c, s.cfg.NewID(), notRunError(http.StatusBadRequest, bluebelldispatch.CodeBadRequest, err.Error()))
	}
	switch command.Body.(type) {
	case *pb.Command_Apply, *pb.Command_SetFailureDomain, *pb.Command_SetEndpoint, *pb.Command_StartMove:
	case *pb.Command_StepMove:
		if command.GetStepMove().Phase != pb.Phase_TakenBack {
			return s.sendCallError(c, s.cfg.NewID(), notRunError(http.StatusForbidden, bluebelldispatch.CodeBadRequest, "operators may take a move back, and leave its other steps to the system"))
		}
	default:
		return s.sendCallError(c, s.cfg.NewID(), notRunError(http.StatusBadRequest, bluebelldispatch.CodeBadRequest, "the change has no body that operators may send"))
	}
	command.Operator = strings.Clone(c.Locals(operatorKey{}).(string))
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	result, err := s.cfg.Propose(ctx, proto.CloneOf(&command))
	if err != nil {
		return s.sendCallError(c, s.cfg.NewID(), &bluebelldispatch.CallError{
			Status: http.StatusServiceUnavailable, Code: bluebelldispatch.CodeNotAgreed, Run: pb.RunState_Unknown,
			Text: "the change was not agreed in time; send it again under the same ChangeID: " + err.Error(), Retry: true, RetryAfter: time.Second,
		})
	}
	s.cfg.Logger.Info("operator change decided", "ChangeID", command.ChangeID, "Operator", command.Operator, "Verdict", result.Verdict, "Revision", result.Revision, "Text", result.Text)
	return s.sendMessage(c, http.StatusOK, result)
}

func (s *Server) handleStatus(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return s.sendMessage(c, http.StatusOK, s.cfg.Status(ctx))
}

func (s *Server) handleConfiguration(c fiber.Ctx) error {
	configuration := s.cfg.View().Configuration
	if configuration == nil {
		configuration = &pb.Configuration{}
	}
	return s.sendMessage(c, http.StatusOK, configuration)
}

// handleWhy answers with the routing records of a request.
func (s *Server) handleWhy(c fiber.Ctx) error {
	return s.sendMessage(c, http.StatusOK, &pb.RoutingRecords{Records: s.cfg.Records(strings.Clone(c.Query("RequestID")))})
}

// handleMembers replaces the members of the replicated log, on its leader.
func (s *Server) handleMembers(c fiber.Ctx) error {
	var m pb.Members
	if err := protojson.Unmarshal(c.Body(), &m); err != nil {
		return s.sendCallError(c, s.cfg.NewID(), notRunError(http.StatusBadRequest, bluebelldispatch.CodeBadRequest, err.Error()))
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	if err := s.cfg.ChangeMembers(ctx, &m); err != nil {
		refusal := notRunError(http.StatusConflict, bluebelldispatch.CodeNotAgreed, err.Error())
		if ctx.Err() != nil {
			refusal.Run = pb.RunState_Unknown
		}
		return s.sendCallError(c, s.cfg.NewID(), refusal)
	}
	return s.sendMessage(c, http.StatusOK, &m)
}
