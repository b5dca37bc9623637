package bluebellroute

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockSize is the length in bytes of the blocks that prompts are cut into.
const BlockSize = 4000

// Block identifies one block of a prompt. It is a hash over the block and all the
// text before it.
type Block uint64

// Blocks appends the blocks of a prompt to dst. The last block may be shorter than
// BlockSize. The hashes include customer and target, so that equal prompts of two
// customers share no blocks.
func Blocks(dst []Block, customer, target string, prompt []byte) []Block {
	var d xxhash.Digest
	d.Reset()
	writeString(&d, customer)
	writeString(&d, target)
	for len(prompt) > 0 {
		n := min(len(prompt), BlockSize)
		_, _ = d.Write(prompt[:n])
		dst = append(dst, Block(d.Sum64()))
		prompt = prompt[n:]
	}
	return dst
}

// writeString writes s after its length, so that different pairs of strings never
// write the same bytes.
func writeString(d *xxhash.Digest, s string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(s)
}

// mix combines two hashes with the finalizer of SplitMix64 (Steele et al., 2014).
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unitFloat maps a hash to a number in [0, 1).
func unitFloat(h uint64) float64 { return float64(h>>11) / (1 << 53) }
