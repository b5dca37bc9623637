package bluebellengine

import (
	"container/list"
	"crypto/sha256"
	"fmt"
)

// blockBytes is the size of a block, the piece of a prompt that is cached as a unit.
const blockBytes = 4000

// blockHash identifies a block together with all blocks of the prompt before it.
type blockHash [sha256.Size]byte

// hashPromptBlocks returns the hashes of the blocks of a prompt. The hashes depend on the
// customer and the version too, so cached blocks are shared only within both.
func hashPromptBlocks(customer, version string, prompt []byte) []blockHash {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s%d:%s", len(customer), customer, len(version), version)
	var blocks []blockHash
	for len(prompt) > 0 {
		n := min(len(prompt), blockBytes)
		h.Write(prompt[:n])
		blocks = append(blocks, blockHash(h.Sum(nil)))
		prompt = prompt[n:]
	}
	return blocks
}

// prefixCache is an LRU cache of prompt blocks.
type prefixCache struct {
	capacity int // blocks
	recency  *list.List
	blocks   map[blockHash]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), blocks: map[blockHash]*list.Element{}}
}

// lookupAndStore returns how many leading blocks are cached, and then caches all blocks.
// Earlier blocks of a prompt are evicted after later ones.
func (c *prefixCache) lookupAndStore(blocks []blockHash) int {
	cached := 0
	for cached < len(blocks) && c.blocks[blocks[cached]] != nil {
		cached++
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		if element := c.blocks[blocks[i]]; element != nil {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[blocks[i]] = c.recency.PushFront(blocks[i])
	}
	for c.recency.Len() > c.capacity {
		oldest := c.recency.Back()
		delete(c.blocks, oldest.Value.(blockHash))
		c.recency.Remove(oldest)
	}
	return cached
}
