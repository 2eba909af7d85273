// Package promptcache estimates which beginnings of prompts the servers of a service still hold, and how long reading the rest
// takes. It handles prompts that share long beginnings with others: a server that holds them answers sooner.
package promptcache

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"verbenaledge.example/verbena/ids"
)

const (
	// maxLinks bounds the parts of one prompt that are considered.
	maxLinks = 32
	// maxPartTokens bounds the size of a part: callers state it.
	maxPartTokens = 1 << 24
)

// Key identifies a part of a prompt together with all parts before it. A part that follows other parts is another one.
type Key uint64

// Link is a part of a prompt.
type Link struct {
	Key    Key
	Tokens int
	// Through is the number of tokens from the beginning of the prompt through this part.
	Through int
}

// AppendChain appends the links of a prompt's parts. A part without a plausible size ends the chain.
func AppendChain(chain []Link, parts []ids.PromptPartID, tokens []int) []Link {
	key, through := uint64(0), 0
	for i, part := range parts[:min(len(parts), len(tokens), maxLinks)] {
		if tokens[i] <= 0 || tokens[i] > maxPartTokens {
			break
		}
		key = (bits.RotateLeft64(key, 23) ^ xxhash.Sum64String(string(part))) * mixFactor
		through += tokens[i]
		chain = append(chain, Link{Key: Key(key), Tokens: tokens[i], Through: through})
	}
	return chain
}

// mixFactor makes keys depend on the order of the parts: 2 to the 64th through the golden ratio, an odd number.
const mixFactor = 0x9E3779B97F4A7C15
