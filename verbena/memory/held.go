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

// Beginning identifies the beginning of a prompt up to a part: a part is shared only if all parts before it are.
type Beginning uint64

// SharedPart is a part of a request's prompt.
type SharedPart struct {
	Beginning Beginning
	Tokens    Tokens
}

// Footprint is what a request holds on a server.
type Footprint struct {
	// Size is what it holds on a server that runs no other request, Own what it shares with no other.
	Size, Own Tokens
	// Shared are the parts whose sizes are known.
	Shared []SharedPart
}

// Footprint computes what the request holds.
func (r Request) Footprint() (f Footprint) {
	stated := Tokens(0)
	for i := range r.Parts {
		stated += r.partSize(i)
	}
	f.Size = max(0, r.Output) + max(0, r.Prompt, stated)
	f.Own = f.Size
	if stated == 0 {
		return f
	}
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
		f.Shared = append(f.Shared, SharedPart{Beginning(digest.Sum64()), size})
		f.Own -= size
	}
	return f
}

func (r Request) partSize(i int) Tokens {
	if i >= len(r.PartTokens) {
		return 0
	}
	return Tokens(max(0, r.PartTokens[i]))
}

// part is one that running requests hold.
type part struct {
	requests int
	tokens   Tokens
}

// Held is what the requests running on one server hold. The zero value is a server without requests.
type Held struct {
	tokens Tokens
	parts  map[Beginning]part
}

// Tokens returns the sum.
func (h *Held) Tokens() Tokens { return h.tokens }

// Need returns what a request would hold in addition.
func (h *Held) Need(f Footprint) Tokens {
	need := f.Size
	for _, p := range f.Shared {
		if _, ok := h.parts[p.Beginning]; !ok {
			break
		}
		need -= p.Tokens
	}
	return need
}

// Add counts a request that begins.
func (h *Held) Add(f Footprint) {
	h.tokens += f.Size
	for _, p := range f.Shared {
		held, ok := h.parts[p.Beginning]
		if ok {
			h.tokens -= p.Tokens
		}
		if h.parts == nil {
			h.parts = make(map[Beginning]part)
		}
		h.parts[p.Beginning] = part{held.requests + 1, p.Tokens}
	}
}

// Remove counts a request that has ended, with the same footprint as it was added.
func (h *Held) Remove(f Footprint) {
	h.tokens -= f.Size
	for _, p := range f.Shared {
		held := h.parts[p.Beginning]
		if held.requests > 1 {
			h.tokens += p.Tokens
			h.parts[p.Beginning] = part{held.requests - 1, p.Tokens}
			continue
		}
		delete(h.parts, p.Beginning)
	}
}
