package place

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the assumed length of a token in the estimate of prompt lengths.
const bytesPerToken = 4

// BlockTokens is the number of prompt tokens in a block of the prefix cache.
const BlockTokens = 1000

// EstimateTokens estimates the number of tokens of a text from its length in bytes.
func EstimateTokens(text string) int64 {
	return (int64(len(text)) + bytesPerToken - 1) / bytesPerToken
}

// BlockHashes returns the hashes of the whole blocks of the prompt, each of blockTokens estimated
// tokens. A hash covers its block and the hash before it, so equal hashes stand for equal prefixes.
// It returns nil if blockTokens is zero or less.
func BlockHashes(prompt string, blockTokens int) []uint64 {
	size := blockTokens * bytesPerToken
	if size <= 0 {
		return nil
	}
	n := len(prompt) / size
	out := make([]uint64, 0, n)
	var d xxhash.Digest
	var prev uint64
	for i := range n {
		d.Reset()
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], prev)
		_, _ = d.Write(b[:])
		_, _ = d.WriteString(prompt[i*size : (i+1)*size])
		prev = d.Sum64()
		out = append(out, prev)
	}
	return out
}
