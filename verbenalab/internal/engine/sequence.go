package engine

import (
	"context"
	"hash/fnv"
	"strconv"
)

// sequence is one request inside the engine.
type sequence struct {
	ctx     context.Context
	prompt  string
	prefill int
	emitted int
	limit   int
	// out carries token indices; it has room for all of them, so that a step never waits.
	out chan int
}

var words = []string{
	"butter", "mould", "carved", "acorn", "leaf", "sheaf", "border", "rope", "swan", "thistle",
	"village", "motif", "press", "sycamore", "grain", "star", "flower", "round", "lid", "stamp",
}

// word returns the token at an index: the same prompt always gives the same text.
func word(prompt string, index int) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt)) // never fails
	_, _ = h.Write([]byte(strconv.Itoa(index)))
	return words[int(h.Sum32()%uint32(len(words)))] + " "
}
