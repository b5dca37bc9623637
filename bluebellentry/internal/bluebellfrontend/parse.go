package bluebellfrontend

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

// modelRequest holds the fields of a model request that an entry reads. Other fields are
// passed to the endpoint unread.
type modelRequest struct {
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	Prompt   json.RawMessage   `json:"prompt"`
	Messages []json.RawMessage `json:"messages"`
}

// parseModelRequest decodes the body of a model request and returns the request and the
// bytes of its prompt. A prompt that continues an earlier prompt starts with the same bytes,
// so that both have the same first blocks.
func parseModelRequest(body []byte, chat bool) (*modelRequest, []byte, error) {
	if !utf8.Valid(body) {
		return nil, nil, errors.New("the body is not valid UTF-8")
	}
	var r modelRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, nil, fmt.Errorf("the body is not a JSON request: %w", err)
	}
	if r.Model == "" {
		return nil, nil, errors.New("the body names no model")
	}
	if !chat {
		if len(r.Prompt) < 2 || r.Prompt[0] != '"' {
			return nil, nil, errors.New("prompt must be a text")
		}
		return &r, r.Prompt[1 : len(r.Prompt)-1], nil
	}
	if len(r.Messages) == 0 {
		return nil, nil, errors.New("messages must be a list with at least one message")
	}
	return &r, bytes.Join(rawMessages(r.Messages), []byte{'\n'}), nil
}

func rawMessages(messages []json.RawMessage) [][]byte {
	list := make([][]byte, len(messages))
	for i, m := range messages {
		list[i] = m
	}
	return list
}
