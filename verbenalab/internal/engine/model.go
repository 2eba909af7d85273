package engine

import "time"

// Model is the timing of the engine: what a step costs and what fits.
type Model struct {
	// StepBase is the time of a step with nothing in it.
	StepBase time.Duration
	// StepPerSequence is added for each running sequence.
	StepPerSequence time.Duration
	// PrefillPerToken is added for each prompt token that a step reads.
	PrefillPerToken time.Duration
	// PrefillChunk is the most prompt tokens that one step reads.
	PrefillChunk int
	// MaxSequences run at once; more wait in the order of arrival.
	MaxSequences int
	// CacheBlocks is how many prompt blocks the prefix cache holds.
	CacheBlocks int
	// ReportLag is how old the reported load is.
	ReportLag time.Duration
	// Restart is how long a crash keeps the engine away.
	Restart time.Duration
	// Fenced refuses orders with an old fencing number.
	Fenced bool
}

// DefaultModel returns the timing used by the demonstration.
func DefaultModel() Model {
	return Model{
		StepBase:        8 * time.Millisecond,
		StepPerSequence: 250 * time.Microsecond,
		PrefillPerToken: 20 * time.Microsecond,
		PrefillChunk:    512,
		MaxSequences:    48,
		CacheBlocks:     512,
		ReportLag:       500 * time.Millisecond,
		Restart:         3 * time.Second,
	}
}

// step returns how long a step takes.
func (m Model) step(sequences, prefillTokens int) time.Duration {
	return m.StepBase + time.Duration(sequences)*m.StepPerSequence + time.Duration(prefillTokens)*m.PrefillPerToken
}
