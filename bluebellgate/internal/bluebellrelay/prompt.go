package bluebellrelay

import (
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebelltier"
	"bluebellhaven.org/platform/bluebellplatform"
)

// A prompt is described to the placer and to the tier by its shared blocks.

// shared describes the shared blocks of the prompt to the tier: all but the last,
// which belongs to the call itself.
func (s *serving) shared(weights uint64, domain string) bluebelltier.Request {
	r := bluebelltier.Request{
		Scope: s.cacheScope(weights), FailureDomain: domain, TokenBytes: s.q.Target.Engine.TokenBytes,
	}
	for _, b := range s.q.Call.Blocks[:max(len(s.q.Call.Blocks)-1, 0)] {
		r.Blocks = append(r.Blocks, bluebelltier.Block{ID: b.ID, Tokens: b.Tokens})
	}
	return r
}

// describePrompt names the last block that other prompts share.
func describePrompt(r *bluebellplacement.Request, c bluebellplatform.Call) {
	total := 0
	for i, b := range c.Blocks {
		total += b.Tokens
		if i == len(c.Blocks)-2 || len(c.Blocks) == 1 {
			r.SharedBlock, r.SharedTokens = b.ID, total
		}
	}
	r.OwnTokens = max(c.PromptTokens-r.SharedTokens, total-r.SharedTokens, 0)
	r.OutputTokens = c.MaxOutputTokens
}
