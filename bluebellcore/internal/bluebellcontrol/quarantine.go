package bluebellcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellquarantine"
)

// QuarantinePath lists the quarantines with GET. With DELETE and a key behind a slash it lifts one.
// It is no part of the platform's interface.
const QuarantinePath = "/quarantines"

// Quarantine is a listed quarantine.
type Quarantine struct {
	Key string
	// WholeCall is set if the subject is a call and not a block of a prompt.
	WholeCall    bool
	Since, Until time.Time
	InForce      bool
	// Count is the number of quarantines of the subject since one was last lifted.
	Count  uint32
	Reason string
}

// answerQuarantine answers a call of QuarantinePath. It reports false for other paths.
func (s *Server) answerQuarantine(ctx context.Context, method, path string) (reply, bool) {
	rest, ok := strings.CutPrefix(path, QuarantinePath)
	switch {
	case ok && method == fasthttp.MethodGet && rest == "":
		return s.listQuarantines(), true
	case ok && method == fasthttp.MethodDelete && strings.HasPrefix(rest, "/"):
		return s.liftQuarantine(ctx, rest[1:]), true
	}
	return reply{}, false
}

func (s *Server) listQuarantines() reply {
	list := []Quarantine{}
	deployment, _ := s.cfg.Deployment()
	for _, q := range deployment.GetQuarantines() {
		list = append(list, Quarantine{
			Key: bluebellquarantine.Key(q.Key).String(), WholeCall: q.Depth == bluebellquarantine.CallDepth,
			Since: time.Unix(0, q.Since).UTC(), Until: time.Unix(0, q.Until).UTC(), InForce: time.Now().UnixNano() < q.Until, Count: q.Count, Reason: q.Reason,
		})
	}
	body, err := json.Marshal(list)
	if err != nil {
		return failure(fasthttp.StatusInternalServerError, err)
	}
	return reply{status: fasthttp.StatusOK, body: body}
}

// liftQuarantine lifts the quarantine of the subject with a key. Crashes from before count no
// longer.
func (s *Server) liftQuarantine(ctx context.Context, text string) reply {
	key, err := bluebellquarantine.ParseKey(text)
	if err != nil {
		return failure(fasthttp.StatusBadRequest, err)
	}
	command := &pb.SetQuarantine{Key: uint64(key), Lifted: true, Reason: "lifted by an operator"}
	result, err := s.cfg.Propose(ctx, &pb.Command{Body: &pb.Command_SetQuarantine{SetQuarantine: command}})
	if err != nil {
		return failure(fasthttp.StatusServiceUnavailable, err)
	}
	s.cfg.Logger.Info("quarantine lifted", "Key", key, "Result", result.Revision)
	if result.Verdict != pb.Verdict_Accepted {
		return failure(fasthttp.StatusConflict, errors.New(result.Text))
	}
	return ok()
}
