package load

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	highest = int64(time.Minute / time.Microsecond)
	digits  = 3
)

// Tally sums answers up. It is safe for concurrent use.
type Tally struct {
	mu       sync.Mutex
	whole    int
	refused  map[string]int
	tokens   int
	first    *hdrhistogram.Histogram
	gaps     *hdrhistogram.Histogram
	perSpace map[string]*hdrhistogram.Histogram
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		refused: map[string]int{}, first: newHistogram(), gaps: newHistogram(),
		perSpace: map[string]*hdrhistogram.Histogram{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highest, digits)
}

// Add counts an answer.
func (t *Tally) Add(a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !a.Whole() {
		t.refused[a.Code]++
		return
	}
	t.whole++
	t.tokens += a.Tokens
	record(t.first, a.FirstToken)
	if t.perSpace[a.Workspace] == nil {
		t.perSpace[a.Workspace] = newHistogram()
	}
	record(t.perSpace[a.Workspace], a.FirstToken)
	for _, g := range a.Gaps {
		record(t.gaps, g)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highest)) // it is within the bounds
}

// Summary is a tally's figures.
type Summary struct {
	Whole    int                      `json:"whole"`
	Tokens   int                      `json:"tokens"`
	Refused  map[string]int           `json:"refused"`
	First    Quantiles                `json:"first_token"`
	Gaps     Quantiles                `json:"between_tokens"`
	PerSpace map[string]time.Duration `json:"first_token_p99_by_workspace_ns"`
}

// Quantiles are values below which 50, 95 and 99 in 100 lie.
type Quantiles struct {
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// Summary returns the figures so far.
func (t *Tally) Summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{
		Whole: t.whole, Tokens: t.tokens, Refused: maps.Clone(t.refused),
		First: quantiles(t.first), Gaps: quantiles(t.gaps), PerSpace: map[string]time.Duration{},
	}
	for w, h := range t.perSpace {
		s.PerSpace[w] = at(h, 99)
	}
	return s
}

// RefusedCodes returns the codes in order.
func (s Summary) RefusedCodes() []string {
	return slices.Sorted(maps.Keys(s.Refused))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{at(h, 50), at(h, 95), at(h, 99)}
}

func at(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
