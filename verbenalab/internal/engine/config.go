package engine

import "time"

// Config holds the timing and the capacity of an engine.
type Config struct {
	// StepBase is the time of an empty step.
	StepBase time.Duration
	// StepPerSequence is added for each running sequence.
	StepPerSequence time.Duration
	// PrefillPerToken is added for each prompt token that a step reads.
	PrefillPerToken time.Duration
	// PrefillChunk is the greatest number of prompt tokens that one step reads.
	PrefillChunk int
	// MaxSequences is the number of sequences that run at once. Others wait in the order of arrival.
	MaxSequences int
	// CacheBlocks is the number of prompt blocks that the prefix cache holds.
	CacheBlocks int
	// ReportLag is the age of the reported load.
	ReportLag time.Duration
	// Restart is the time between a crash and the restart.
	Restart time.Duration
	// Fenced makes the server refuse calls of POST /orders with a lower fencing number than an earlier one had.
	Fenced bool
}

// DefaultConfig returns the configuration that the demonstration uses.
func DefaultConfig() Config {
	return Config{
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

// stepTime returns the length of a step.
func (c Config) stepTime(sequences, prefillTokens int) time.Duration {
	return c.StepBase + time.Duration(sequences)*c.StepPerSequence + time.Duration(prefillTokens)*c.PrefillPerToken
}
