package stand

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	minAnswerTokens = 32
	answerSpread    = 97
	lengthMark      = "[output="
)

// words are the possible tokens of an output.
var words = strings.Fields(`the family letter pupil school host garden paint door house
old street officer opinion report summary fits well near far with and of in
keeps colour roof wood stone heritage careful quiet music sport travel home`)

// Answer returns the output of the stand-in engines for a prompt: its tokens
// and its finish reason. It depends on nothing else. A prompt that contains
// "[output=N]" gets N tokens of output.
func Answer(prompt string, maxOutput int64) (tokens []string, reason string) {
	h := xxhash.Sum64String(prompt)
	n, reason := answerLength(prompt, h), "stop"
	if maxOutput > 0 && n > maxOutput {
		n, reason = maxOutput, "length"
	}
	tokens = make([]string, n)
	for i := range tokens {
		h = h*6364136223846793005 + 1442695040888963407
		tokens[i] = words[(h>>33)%uint64(len(words))] + " "
	}
	return tokens, reason
}

func answerLength(prompt string, h uint64) int64 {
	if _, rest, ok := strings.Cut(prompt, lengthMark); ok {
		digits, _, _ := strings.Cut(rest, "]")
		if n, err := strconv.ParseInt(digits, 10, 32); err == nil && n > 0 {
			return n
		}
	}
	return minAnswerTokens + int64(h%answerSpread)
}
