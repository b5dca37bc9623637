package bluebelldispatch

import (
	"bytes"
	"encoding/json"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

// usage is the part of an answer in which an endpoint reports how many tokens of the prompt
// it had cached.
type usage struct {
	Usage *struct {
		PromptTokens  int `json:"prompt_tokens"`
		PromptDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// cachedBlocks returns how many of a prompt's blocks the endpoint had cached, and whether
// the data reports it.
func cachedBlocks(data []byte, blocks int) (int, bool) {
	if blocks == 0 || !bytes.Contains(data, []byte(`"usage"`)) {
		return 0, false
	}
	var u usage
	if json.Unmarshal(data, &u) != nil || u.Usage == nil || u.Usage.PromptTokens <= 0 {
		return 0, false
	}
	share := float64(u.Usage.PromptDetails.CachedTokens) / float64(u.Usage.PromptTokens)
	return min(max(int(share*float64(blocks)+0.5), 0), blocks), true
}

// decodeCallError decodes the error body in another VM's answer.
func decodeCallError(status int, body []byte) *CallError {
	var e pb.ErrorBody
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, &e); err != nil || e.Error == nil {
		return unknownRunError(502, CodeEndpointFailed, time.Second, "a VM of the system gave an answer that cannot be read")
	}
	return &CallError{
		Status: status, Code: Code(e.Error.Code), Text: e.Error.Message, Run: e.Error.Run,
		Retry: e.Error.Retry, RetryAfter: e.Error.RetryAfter.AsDuration(),
	}
}
