package dispatch

import (
	"time"

	"verbenaledge.example/verbena/promptcache"
)

// expireInterval is how often parts are searched for those that have reached their age.
const expireInterval = time.Second

// prompts is what is known of the prompts that a service's servers hold.
type prompts struct {
	index     *promptcache.Index
	reading   promptcache.Reading
	expiredAt time.Time
	placed    PartTokens
	// chain is the memory of the last chain, to be used again.
	chain []promptcache.Link
}

func (p *prompts) chainOf(req SlotRequest) []promptcache.Link {
	p.chain = promptcache.AppendChain(p.chain[:0], req.Parts, req.PartTokens)
	return p.chain
}

func (p *pool) expirePrompts(now time.Time) {
	if now.Sub(p.prompts.expiredAt) < expireInterval {
		return
	}
	p.prompts.expiredAt = now
	for _, s := range p.servers {
		if s.prompts.cache != nil {
			s.prompts.cache.Expire(now)
		}
	}
}
