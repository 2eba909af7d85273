package dispatch

import (
	"time"

	"verbenaledge.example/verbena/promptcache"
)

const (
	// maxUnread bounds the tokens that a server is thought to have to read, as callers state the sizes of prompts.
	maxUnread = 1 << 20
	// maxPromptTokens bounds the stated sizes of prompts and outputs where the memory of servers is unknown.
	maxPromptTokens = 1 << 20
)

// promptRun is the part of a run that concerns its prompt.
type promptRun struct {
	cache *promptcache.Cache
	// others are the tokens of the prompt and the output that aren't in shared parts, unread those of the prompt that weren't held.
	others, unread int
	// heldLinks counts the shared parts that were held.
	heldLinks int
	// before is the number of tokens that the server had to read first.
	before int
	readAt time.Time
}

// end returns the memory that the run itself takes.
func (r *promptRun) end() {
	if r.cache != nil {
		r.cache.End(r.others)
		r.cache = nil
	}
}

// beganReadingEarlier records that the server has been reading the run's prompt for a while.
func (r *run) beganReadingEarlier(d time.Duration) {
	if r.prompt.cache != nil {
		r.prompt.readAt = r.prompt.readAt.Add(-d)
		r.server.prompts.at = r.server.prompts.at.Add(-d)
	}
}

// beginPrompt records that the server of a run reads its prompt.
func (sc *Scheduler) beginPrompt(now time.Time, p *pool, r *run) {
	if r.request.PromptTokens <= 0 && len(r.request.PartTokens) == 0 {
		return
	}
	if p.prompts.index == nil {
		p.prompts.index = promptcache.NewIndex()
	}
	p.expirePrompts(now)
	s := &r.server.prompts
	if s.cache == nil {
		s.cache = p.prompts.index.NewCache()
	}
	chain := p.prompts.chainOf(r.request)
	through := 0
	if len(chain) > 0 {
		through = chain[len(chain)-1].Through
	}
	f := p.prompts.index.Find(chain, len(p.servers))
	held := s.cache.Held()
	p.prompts.placed.Held += held
	p.prompts.placed.HeldElsewhere += f.Most - held
	p.prompts.placed.New += through - f.Most

	memory := sc.traits[r.request.Service].MemoryTokens
	limit := maxPromptTokens
	if memory > 0 {
		limit = memory
	}
	prompt := min(max(r.request.PromptTokens, through), limit)
	r.prompt = promptRun{
		cache: s.cache, others: max(0, prompt-through) + min(max(0, r.request.OutputTokens), limit), unread: max(0, prompt-held),
		heldLinks: s.cache.HeldLinks(), before: int(s.unreadAt(now, p.prompts.reading.TokenSeconds())),
	}
	s.cache.Begin(now, chain, r.prompt.others, memory)
	s.unread, s.at = min(float64(r.prompt.before+r.prompt.unread), maxUnread), now
	r.prompt.readAt = now.Add(p.prompts.reading.Time(int(s.unread)))
}

// observePrompt records what the end of a send says about the prompts that the server holds.
func (p *pool) observePrompt(now time.Time, r *run, o Outcome) {
	c := r.prompt.cache
	if c == nil {
		return
	}
	switch o.Result {
	case Served:
		c.Touch(now, p.prompts.chainOf(r.request))
		if !r.takenOver && r.request.Resumption == nil { // else other tokens were read as well
			p.prompts.reading.Observe(r.prompt.before+r.prompt.unread, o.TimeToFirstByte)
		}
	case Gone, Broken:
		r.server.prompts.forget()
	case Unreachable:
		if r.server.consecutiveFailures+1 >= crashFailures {
			r.server.prompts.forget()
			return
		}
		p.forgetUnread(r)
	case Cancelled:
		if o.NotSent || now.Before(r.prompt.readAt) {
			p.forgetUnread(r)
		}
	case Full, NoPath, Rejected:
		p.forgetUnread(r)
	case Failed, Silent:
	}
}

// forgetUnread removes what a run added to the estimate, as its prompt wasn't read, or not to its end.
func (p *pool) forgetUnread(r *run) {
	if r.takenOver {
		return
	}
	if chain := p.prompts.chainOf(r.request); r.prompt.heldLinks < len(chain) {
		r.prompt.cache.Forget(chain[r.prompt.heldLinks:])
	}
	r.server.prompts.unread = max(0, r.server.prompts.unread-float64(r.prompt.unread))
}
