package bluebellroute

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockSize is the length of the pieces that prompts are cut into, in bytes.
const BlockSize = 4000

// Block names one piece of a prompt together with all that precedes it.
type Block uint64

// Blocks appends the names of the pieces of a prompt to dst. The last piece may
// be short. Customer and target are part of every name, so that equal prompts of
// two customers share nothing.
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

// writeString writes a length before the text, so that no two pairs of texts
// write the same bytes.
func writeString(d *xxhash.Digest, s string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(s)
}

// mix joins two hashes (the finalizer of SplitMix64, Steele et al., 2014).
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unit turns a hash into a number in [0, 1).
func unit(h uint64) float64 { return float64(h>>11) / (1 << 53) }
