package bluebellrelay

import (
	"bluebellhaven.org/bluebell/bluebellplacement"
	"bluebellhaven.org/bluebell/bluebelltier"
	"bluebellhaven.org/platform/bluebellplatform"
)

// sharedBlocks describes the shared blocks of the prompt to the cache tier. A block is a
// piece of a prompt that is cached. All blocks but the last, which only this call has, may
// be shared with other prompts. The domain is the failure domain of the endpoint.
func (c *activeCall) sharedBlocks(weights uint64, domain string) bluebelltier.Request {
	r := bluebelltier.Request{
		Scope: c.cacheScope(weights), FailureDomain: domain, TokenBytes: c.request.Target.Engine.TokenBytes,
	}
	for _, b := range c.request.Call.Blocks[:max(len(c.request.Call.Blocks)-1, 0)] {
		r.Blocks = append(r.Blocks, bluebelltier.Block{ID: b.ID, Tokens: b.Tokens})
	}
	return r
}

// describePrompt sets the fields of r that describe the prompt: its last shared block and its
// numbers of tokens. The only block of a prompt counts as shared.
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

// maxLoggedBlocks bounds the blocks in a log line.
const maxLoggedBlocks = 8

// loggedBlocks returns the IDs of the first blocks that the call's prompt may share with others.
func (c *activeCall) loggedBlocks() []string {
	var ids []string
	for _, b := range c.request.Call.Blocks[:min(max(len(c.request.Call.Blocks)-1, 0), maxLoggedBlocks)] {
		ids = append(ids, b.ID)
	}
	return ids
}
