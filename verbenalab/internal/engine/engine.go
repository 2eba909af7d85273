// Package engine is a small stand-in for a model inference engine with continuous batching. It admits requests in the order
// of their arrival and has no priorities.
package engine

import (
	"context"
	"sync"
	"time"
)

// Engine generates tokens in steps, one token per running sequence and step.
type Engine struct {
	config Config

	mu      sync.Mutex
	wake    *sync.Cond
	running []*sequence
	waiting []*sequence
	cache   *cache
	loads   []load
	tokens  int64
	steps   int64
	busy    time.Duration
	stopped bool
}

// load is the number of sequences in the engine at a time.
type load struct {
	at      time.Time
	running int
	waiting int
}

// New returns an engine, which generates tokens while Run runs.
func New(cfg Config) *Engine {
	e := &Engine{config: cfg, cache: newCache(cfg.CacheBlocks)}
	e.wake = sync.NewCond(&e.mu)
	return e
}

// Run executes steps until the context ends.
func (e *Engine) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.stopped = true
		e.wake.Broadcast()
	})
	defer stop()
	due := time.Now()
	for {
		length, ok := e.startStep()
		if !ok {
			return
		}
		due = nextStart(due, time.Now()).Add(length)
		time.Sleep(time.Until(due))
		e.finishStep(length)
	}
}

// nextStart returns the planned start of a step, or now if the engine is late by more than the slack, since it was idle or
// delayed. Small delays of a step thus don't add up.
func nextStart(planned, now time.Time) time.Time {
	const slack = 5 * time.Millisecond
	if now.Sub(planned) > slack {
		return now
	}
	return planned
}

// startStep waits for sequences, admits those that wait and returns the length of the step.
func (e *Engine) startStep() (length time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		e.dropCancelled()
		e.admit()
		if e.stopped {
			return 0, false
		}
		if len(e.running) > 0 {
			break
		}
		e.wake.Wait()
	}
	return e.config.stepTime(len(e.running), e.prefill()), true
}

// prefill reads prompt tokens up to the limit of a step, in the order in which sequences were admitted.
func (e *Engine) prefill() (tokens int) {
	for _, s := range e.running {
		n := min(s.unreadTokens, e.config.PrefillChunk-tokens)
		s.unreadTokens -= n
		tokens += n
	}
	return tokens
}

// finishStep emits a token of each sequence whose prompt has been read, and ends the sequences at their limits.
func (e *Engine) finishStep(length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steps++
	e.busy += length
	kept := e.running[:0]
	for _, s := range e.running {
		if s.unreadTokens == 0 {
			s.tokens <- s.emitted
			s.emitted++
			e.tokens++
		}
		if s.emitted >= s.limit {
			close(s.tokens)
			continue
		}
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.recordLoad()
}

func (e *Engine) dropCancelled() {
	e.running = withoutCancelled(e.running)
	e.waiting = withoutCancelled(e.waiting)
}

// withoutCancelled filters the list in place.
func withoutCancelled(list []*sequence) []*sequence {
	kept := list[:0]
	for _, s := range list {
		if s.ctx.Err() == nil {
			kept = append(kept, s)
		}
	}
	clear(list[len(kept):])
	return kept
}

// admit starts waiting sequences while there are fewer than MaxSequences. Cached prompt prefixes need no prefill.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxSequences {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := e.cache.lookup(s.prompt)
		s.unreadTokens = max(1, (len(s.prompt)-cached)/bytesPerToken)
		e.running = append(e.running, s)
	}
	e.recordLoad()
}

// recordLoad records the load and drops records that are older than the report lag, except the newest of them.
func (e *Engine) recordLoad() {
	now := time.Now()
	e.loads = append(e.loads, load{now, len(e.running), len(e.waiting)})
	for len(e.loads) > 1 && now.Sub(e.loads[1].at) > e.config.ReportLag {
		e.loads = e.loads[1:]
	}
}

// submit queues a sequence that starts at a token index.
func (e *Engine) submit(ctx context.Context, prompt string, from, limit int) *sequence {
	s := &sequence{ctx: ctx, prompt: prompt, emitted: from, limit: limit, tokens: make(chan int, max(1, limit-from))}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting = append(e.waiting, s)
	e.wake.Broadcast()
	return s
}

// currentLoad returns the numbers of running and waiting sequences.
func (e *Engine) currentLoad() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.waiting)
}

// delayedLoad returns the load of about the report lag ago.
func (e *Engine) delayedLoad() load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.loads) == 0 {
		return load{}
	}
	return e.loads[0]
}

// Stats holds counters since the start.
type Stats struct {
	Tokens int64         `json:"tokens"`
	Steps  int64         `json:"steps"`
	Busy   time.Duration `json:"busy_ns"`
}

func (e *Engine) stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Stats{e.tokens, e.steps, e.busy}
}
