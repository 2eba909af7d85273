package memory

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
)

func request(prompt, output Tokens, sizes []int, parts ...ids.PromptPartID) Footprint {
	return Request{Prompt: prompt, Output: output, Parts: parts, PartTokens: sizes}.Footprint()
}

// TestSharedPartsCountOnce guards against memory that is counted for each request although they share the beginning of their
// prompts, and against parts that count as shared although what comes before them differs.
func TestSharedPartsCountOnce(t *testing.T) {
	c := qt.New(t)
	var h Held
	first := request(1000, 100, []int{400, 200}, "a", "b")
	c.Assert(first.Size, qt.Equals, Tokens(1100))
	h.Add(first)
	c.Assert(h.Need(first), qt.Equals, Tokens(500))
	c.Assert(h.Need(request(1000, 100, []int{400, 200}, "a", "c")), qt.Equals, Tokens(700))
	c.Assert(h.Need(request(1000, 100, []int{200}, "b")), qt.Equals, Tokens(1100), qt.Commentf("another beginning"))
	c.Assert(h.Need(request(1000, 100, nil, "a", "b")), qt.Equals, Tokens(1100), qt.Commentf("sizes unknown"))
	h.Add(first)
	c.Assert(h.Tokens(), qt.Equals, Tokens(1600))
	h.Remove(first)
	c.Assert(h.Tokens(), qt.Equals, Tokens(1100))
	h.Remove(first)
	c.Assert(h.Tokens(), qt.Equals, Tokens(0))
}

// TestUntrueSizes guards against a sum that goes wrong with figures of callers that can't be true.
func TestUntrueSizes(t *testing.T) {
	c := qt.New(t)
	c.Assert(request(10, 5, []int{400, 200}, "a", "b").Size, qt.Equals, Tokens(605))
	c.Assert(request(-10, -5, []int{-400, 200}, "a", "b").Size, qt.Equals, Tokens(200))
	c.Assert(request(0, 0, []int{7}, "a", "b").Size, qt.Equals, Tokens(7))
}

// TestSumReturnsToZero guards against memory that is never given back: requests begin and end in any order.
func TestSumReturnsToZero(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var h Held
	var running []Footprint
	names := []ids.PromptPartID{"a", "b", "c", "a"}
	for range 20_000 {
		if len(running) > 0 && random.IntN(2) == 0 {
			i := random.IntN(len(running))
			h.Remove(running[i])
			running = append(running[:i], running[i+1:]...)
		} else {
			n := random.IntN(len(names) + 1)
			r := request(Tokens(random.IntN(900)), Tokens(random.IntN(90)), []int{100, 20 * random.IntN(3), 30, 40}[:n], names[:n]...)
			need, before := h.Need(r), h.Tokens()
			h.Add(r)
			c.Assert(h.Tokens()-before, qt.Equals, need)
			running = append(running, r)
		}
	}
	for _, r := range running {
		h.Remove(r)
	}
	c.Assert(h.Tokens(), qt.Equals, Tokens(0))
	c.Assert(h.parts, qt.HasLen, 0)
}
