// Package memory counts the tokens that the requests running on a backend server hold in its memory. Beginnings that prompts have
// in common are held once.
package memory

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"verbenaledge.example/verbena/ids"
)

// Tokens is an amount of a server's memory.
type Tokens int

// Request is what a request will hold. The zero value holds nothing.
type Request struct {
	// Prompt and Output are the size of the prompt and the maximum size of the output.
	Prompt, Output Tokens
	// Parts are the parts of the prompt that other requests may have too, in order, PartTokens their sizes; 0 means unknown.
	Parts      []ids.PromptPartID
	PartTokens []int
}

// beginning identifies the beginning of a prompt up to a part: a part is shared only if all parts before it are.
type beginning uint64

// sharedPart is a part of a request's prompt.
type sharedPart struct {
	beginning beginning
	tokens    Tokens
}

// part is one that running requests hold.
type part struct {
	requests int
	tokens   Tokens
}

// Size returns what the request holds on a server that runs no other.
func (r Request) Size() Tokens {
	shared := Tokens(0)
	for i := range r.Parts {
		shared += r.partSize(i)
	}
	return max(0, r.Output) + max(0, r.Prompt, shared)
}

func (r Request) partSize(i int) Tokens {
	if i >= len(r.PartTokens) {
		return 0
	}
	return Tokens(max(0, r.PartTokens[i]))
}

// sharedParts returns the parts whose sizes are known.
func (r Request) sharedParts() (all []sharedPart) {
	digest := xxhash.New()
	for i, id := range r.Parts {
		size := r.partSize(i)
		if size == 0 {
			break // what follows can't be compared
		}
		var frame [16]byte // the lengths keep different parts from having the same bytes
		binary.LittleEndian.PutUint64(frame[:8], uint64(len(id)))
		binary.LittleEndian.PutUint64(frame[8:], uint64(size))
		_, _ = digest.Write(frame[:])
		_, _ = digest.WriteString(string(id)) // never returns an error
		all = append(all, sharedPart{beginning(digest.Sum64()), size})
	}
	return all
}

// Held is what the requests running on one server hold. The zero value is a server without requests.
type Held struct {
	tokens Tokens
	parts  map[beginning]part
}

// Tokens returns the sum.
func (h *Held) Tokens() Tokens { return h.tokens }

// Need returns what a request would hold in addition.
func (h *Held) Need(r Request) Tokens {
	need := r.Size()
	if len(h.parts) == 0 || len(r.Parts) == 0 {
		return need
	}
	for _, p := range r.sharedParts() {
		if _, ok := h.parts[p.beginning]; !ok {
			break
		}
		need -= p.tokens
	}
	return need
}

// Add counts a request that begins.
func (h *Held) Add(r Request) {
	h.tokens += r.Size()
	for _, p := range r.sharedParts() {
		held, ok := h.parts[p.beginning]
		if ok {
			h.tokens -= p.tokens
		}
		if h.parts == nil {
			h.parts = make(map[beginning]part)
		}
		h.parts[p.beginning] = part{held.requests + 1, p.tokens}
	}
}

// Remove counts a request that has ended, with the same figures as it was added.
func (h *Held) Remove(r Request) {
	h.tokens -= r.Size()
	for _, p := range r.sharedParts() {
		held := h.parts[p.beginning]
		if held.requests > 1 {
			h.tokens += p.tokens
			h.parts[p.beginning] = part{held.requests - 1, p.tokens}
			continue
		}
		delete(h.parts, p.beginning)
	}
}
