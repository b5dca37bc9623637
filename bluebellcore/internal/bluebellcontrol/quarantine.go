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

// isQuarantineCall reports whether a path is that of a call that answerQuarantine answers.
func isQuarantineCall(path string) bool {
	return path == bluebellquarantine.ListPath || strings.HasPrefix(path, bluebellquarantine.ListPath+"/")
}

// answerQuarantine answers a call for which isQuarantineCall reports true.
func (s *Server) answerQuarantine(ctx context.Context, from sender, method, path string) reply {
	key := strings.TrimPrefix(strings.TrimPrefix(path, bluebellquarantine.ListPath), "/")
	switch {
	case method == fasthttp.MethodGet && key == "":
		return s.listQuarantines()
	case method == fasthttp.MethodDelete && key != "":
		return s.liftQuarantine(ctx, from, key)
	}
	return failure(fasthttp.StatusNotFound, errors.New("no such call"))
}

func (s *Server) listQuarantines() reply {
	list := []bluebellquarantine.Listing{}
	deployment, _ := s.cfg.Deployment()
	for _, q := range deployment.GetQuarantines() {
		list = append(list, bluebellquarantine.Listing{
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
func (s *Server) liftQuarantine(ctx context.Context, from sender, text string) reply {
	key, err := bluebellquarantine.ParseKey(text)
	if err != nil {
		return failure(fasthttp.StatusBadRequest, err)
	}
	command := &pb.SetQuarantine{Key: uint64(key), Lifted: true, Reason: "lifted by an operator"}
	result, err := from.propose(ctx, &pb.Command{Body: &pb.Command_SetQuarantine{SetQuarantine: command}})
	if err != nil {
		s.cfg.Logger.Warn("quarantine not lifted", "Key", key, "Error", err)
		return failure(fasthttp.StatusServiceUnavailable, err)
	}
	s.cfg.Logger.Info("quarantine lifted", "Key", key, "Result", result.Revision)
	if result.Verdict != pb.Verdict_Accepted {
		return failure(fasthttp.StatusConflict, errors.New(result.Text))
	}
	return ok()
}
