package load

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxRecordedMicros = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// Tally counts answers and records their latencies. It is safe for concurrent use.
type Tally struct {
	mu                    sync.Mutex
	completed             int
	refused               map[string]int
	tokens                int
	timeToFirstToken      *hdrhistogram.Histogram
	tokenGaps             *hdrhistogram.Histogram
	firstTokenByWorkspace map[string]*hdrhistogram.Histogram
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		refused: map[string]int{}, timeToFirstToken: newHistogram(), tokenGaps: newHistogram(),
		firstTokenByWorkspace: map[string]*hdrhistogram.Histogram{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedMicros, significantDigits)
}

// Add counts an answer. Latencies are recorded for complete answers only.
func (t *Tally) Add(a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !a.Complete() {
		t.refused[a.Code]++
		return
	}
	t.completed++
	t.tokens += a.Tokens
	record(t.timeToFirstToken, a.TimeToFirstToken)
	if t.firstTokenByWorkspace[a.Workspace] == nil {
		t.firstTokenByWorkspace[a.Workspace] = newHistogram()
	}
	record(t.firstTokenByWorkspace[a.Workspace], a.TimeToFirstToken)
	for _, g := range a.TokenGaps {
		record(t.tokenGaps, g)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxRecordedMicros)) // fails only for values beyond the histogram's bounds
}

// Summary holds the counts and percentiles of a tally.
type Summary struct {
	Completed int `json:"whole"`
	Tokens    int `json:"tokens"`
	// Refused counts all incomplete answers by error code, also those whose connection broke.
	Refused                  map[string]int           `json:"refused"`
	TimeToFirstToken         Percentiles              `json:"first_token"`
	TokenGaps                Percentiles              `json:"between_tokens"`
	FirstTokenP99ByWorkspace map[string]time.Duration `json:"first_token_p99_by_workspace_ns"`
}

// Percentiles holds the 50th, 95th and 99th percentile of a duration.
type Percentiles struct {
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// Summary returns the counts and percentiles so far.
func (t *Tally) Summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{
		Completed: t.completed, Tokens: t.tokens, Refused: maps.Clone(t.refused),
		TimeToFirstToken: percentiles(t.timeToFirstToken), TokenGaps: percentiles(t.tokenGaps), FirstTokenP99ByWorkspace: map[string]time.Duration{},
	}
	for w, h := range t.firstTokenByWorkspace {
		s.FirstTokenP99ByWorkspace[w] = percentile(h, 99)
	}
	return s
}

// RefusedCodes returns the error codes of incomplete answers in alphabetical order.
func (s Summary) RefusedCodes() []string {
	return slices.Sorted(maps.Keys(s.Refused))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{percentile(h, 50), percentile(h, 95), percentile(h, 99)}
}

func percentile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}
