package promptcache

import (
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The speed must be found in spite of noise and late answers, and must stay unknown where the tokens make no difference.
func TestReadingSpeed(t *testing.T) {
	for _, test := range []struct {
		name          string
		tokenSeconds  float64
		tokens, noise int
		known         bool
	}{
		{"long prompts", 1.0 / 112_000, 40_000, 10, true},
		{"slow servers", 1.0 / 61_200, 40_000, 10, true},
		{"headers before the prompt is read", 0, 40_000, 10, false},
		{"prompts of one size", 1.0 / 112_000, 0, 10, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewSource(1))
			var r Reading
			c.Assert(r.TokenSeconds(), qt.Equals, 0.0)
			unknown := 0
			for i := range 2000 {
				tokens := 1000
				if test.tokens > 0 {
					tokens += random.Intn(test.tokens)
				}
				first := 0.02 + test.tokenSeconds*float64(tokens) + random.Float64()*float64(test.noise)/1000
				if random.Intn(100) == 0 {
					first += 3
				}
				r.Observe(tokens, time.Duration(first*float64(time.Second)))
				if i >= minSamples && r.TokenSeconds() == 0 {
					unknown++
				}
			}
			if !test.known {
				c.Assert(unknown > 1900, qt.IsTrue, qt.Commentf("unknown %d times", unknown))
				return
			}
			c.Assert(r.TokenSeconds() > 0.7*test.tokenSeconds && r.TokenSeconds() < 1.3*test.tokenSeconds, qt.IsTrue,
				qt.Commentf("%g in place of %g", r.TokenSeconds(), test.tokenSeconds))
		})
	}
}

// Once the long parts are held, most answers say nothing of the speed. It must stay known, and a rare long prompt must not pass for a
// late answer.
func TestSpeedStaysKnownWhilePartsAreHeld(t *testing.T) {
	for _, test := range []struct {
		name  string
		every int
	}{{"no long prompts", 5000}, {"few long prompts", 50}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewSource(1))
			const tokenSeconds = 1.0 / 112_000
			var r Reading
			observe := func(tokens int) {
				first := 0.01 + tokenSeconds*float64(tokens) + random.Float64()*0.004
				r.Observe(tokens, time.Duration(first*float64(time.Second)))
			}
			for range 100 {
				observe(200 + random.Intn(40_000))
			}
			for i := range 4000 {
				tokens := 200
				if i%test.every == test.every-1 {
					tokens = 13_500
				}
				observe(tokens)
				c.Assert(r.TokenSeconds() > 0.7*tokenSeconds && r.TokenSeconds() < 1.3*tokenSeconds, qt.IsTrue,
					qt.Commentf("%g after %d", r.TokenSeconds(), i))
			}
		})
	}
}

// A speed must be forgotten once servers send their headers before they read the prompt.
func TestSpeedIsForgotten(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewSource(1))
	var r Reading
	for i := range 1000 {
		tokens := 200 + random.Intn(40_000)
		first := 0.01 + random.Float64()*0.004
		if i < 200 {
			first += float64(tokens) / 112_000
		}
		r.Observe(tokens, time.Duration(first*float64(time.Second)))
		if i == 199 {
			c.Assert(r.TokenSeconds() > 0, qt.IsTrue)
		}
	}
	c.Assert(r.TokenSeconds(), qt.Equals, 0.0)
}
