package bluebellengine

import (
	"container/list"
	"crypto/sha256"
	"fmt"
)

// blockSize is the length of the pieces in which prompts are cached, in bytes.
const blockSize = 4000

type blockName [sha256.Size]byte

// promptBlocks names the pieces of a prompt of one customer and version.
func promptBlocks(customer, version string, prompt []byte) []blockName {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s%d:%s", len(customer), customer, len(version), version)
	var blocks []blockName
	for len(prompt) > 0 {
		n := min(len(prompt), blockSize)
		h.Write(prompt[:n])
		blocks = append(blocks, blockName(h.Sum(nil)))
		prompt = prompt[n:]
	}
	return blocks
}

// prefixCache holds the blocks used last.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[blockName]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[blockName]*list.Element{}}
}

// use returns how many leading blocks are held, and holds all of them after.
func (c *prefixCache) use(blocks []blockName) int {
	held := 0
	for held < len(blocks) && c.blocks[blocks[held]] != nil {
		held++
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.blocks[blocks[i]]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[blocks[i]] = c.order.PushFront(blocks[i])
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		delete(c.blocks, oldest.Value.(blockName))
		c.order.Remove(oldest)
	}
	return held
}
