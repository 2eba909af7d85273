// Package engine is a small stand-in for a model engine: it batches continuously,
// admits requests as they come and knows no priorities.
package engine

import (
	"context"
	"sync"
	"time"
)

// Engine runs sequences in steps.
type Engine struct {
	model Model

	mu      sync.Mutex
	wake    *sync.Cond
	running []*sequence
	waiting []*sequence
	cache   *cache
	reports []report
	tokens  int64
	steps   int64
	busy    time.Duration
	stopped bool
}

type report struct {
	at      time.Time
	running int
	waiting int
}

// New returns an engine; Run makes it work.
func New(m Model) *Engine {
	e := &Engine{model: m, cache: newCache(m.CacheBlocks)}
	e.wake = sync.NewCond(&e.mu)
	return e
}

// Run steps until the context ends.
func (e *Engine) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.stopped = true
		e.wake.Broadcast()
	})
	defer stop()
	next := time.Now()
	for {
		took, ok := e.begin()
		if !ok {
			return
		}
		next = later(next, time.Now()).Add(took)
		time.Sleep(time.Until(next))
		e.finish(took)
	}
}

// later keeps the pace of steps unless the engine has been idle or held up.
func later(planned, now time.Time) time.Time {
	const slack = 5 * time.Millisecond
	if now.Sub(planned) > slack {
		return now
	}
	return planned
}

// begin waits for work, admits what has come and returns the length of the step.
func (e *Engine) begin() (took time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		e.prune()
		e.admit()
		if e.stopped {
			return 0, false
		}
		if len(e.running) > 0 {
			break
		}
		e.wake.Wait()
	}
	return e.model.step(len(e.running), e.readPrompts()), true
}

// readPrompts spends the step's share of prompt reading, first come first served.
func (e *Engine) readPrompts() (read int) {
	for _, s := range e.running {
		n := min(s.prefill, e.model.PrefillChunk-read)
		s.prefill -= n
		read += n
	}
	return read
}

func (e *Engine) finish(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steps++
	e.busy += took
	kept := e.running[:0]
	for _, s := range e.running {
		if s.prefill == 0 {
			s.out <- s.emitted
			s.emitted++
			e.tokens++
		}
		if s.emitted >= s.limit {
			close(s.out)
			continue
		}
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.report()
}

func (e *Engine) prune() {
	e.running = live(e.running)
	e.waiting = live(e.waiting)
}

func live(list []*sequence) []*sequence {
	kept := list[:0]
	for _, s := range list {
		if s.ctx.Err() == nil {
			kept = append(kept, s)
		}
	}
	clear(list[len(kept):])
	return kept
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.model.MaxSequences {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := e.cache.read(s.prompt)
		s.prefill = max(1, (len(s.prompt)-cached)/bytesPerToken)
		e.running = append(e.running, s)
	}
	e.report()
}

func (e *Engine) report() {
	now := time.Now()
	e.reports = append(e.reports, report{now, len(e.running), len(e.waiting)})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) > e.model.ReportLag {
		e.reports = e.reports[1:]
	}
}

// submit queues a sequence that goes on from a token index.
func (e *Engine) submit(ctx context.Context, prompt string, from, limit int) *sequence {
	s := &sequence{ctx: ctx, prompt: prompt, emitted: from, limit: limit, out: make(chan int, max(1, limit-from))}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting = append(e.waiting, s)
	e.wake.Broadcast()
	return s
}

// load returns the sequences in the engine at this moment.
func (e *Engine) load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.waiting)
}

// lagging returns the load as it was some time ago.
func (e *Engine) lagging() report {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reports) == 0 {
		return report{}
	}
	return e.reports[0]
}

// Stats are counters since the start.
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
