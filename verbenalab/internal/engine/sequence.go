package engine

import (
	"context"
	"hash/fnv"
	"strconv"
)

// sequence is a request in the engine.
type sequence struct {
	ctx    context.Context
	prompt string
	// unreadTokens is the number of prompt tokens that are still to be read.
	unreadTokens int
	// emitted is the index of the next token, limit the one at which the sequence ends.
	emitted int
	limit   int
	// tokens carries token indices. Its buffer fits all of them, so that a step never blocks.
	tokens chan int
}

var vocabulary = []string{
	"butter", "mould", "carved", "acorn", "leaf", "sheaf", "border", "rope", "swan", "thistle",
	"village", "motif", "press", "sycamore", "grain", "star", "flower", "round", "lid", "stamp",
}

// tokenAt returns the token at an index of the answer to a prompt. The same prompt always gives the same answer.
func tokenAt(prompt string, index int) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt)) // never fails
	_, _ = h.Write([]byte(strconv.Itoa(index)))
	return vocabulary[int(h.Sum32()%uint32(len(vocabulary)))] + " "
}
