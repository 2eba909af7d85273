package dispatch

import (
	"math"
	"time"
)

const (
	// minReuseTime is the least difference of reading times that decides between servers. Times to a first byte differ by a few ms
	// for other reasons; a part of 100 to 200 tokens is read in 1 to 2 ms.
	minReuseTime = 5 * time.Millisecond
	// maxReuseCost keeps a server that is cold, on probation or slow behind the others: what ranks these costs 1.0 or more.
	maxReuseCost = 0.9
	// tieCost is small enough to decide only between servers of equal cost: one running request is a difference of 0.02.
	tieCost = 1e-9
	// minAnswerDivisor keeps the time of an answer above a tenth of the slot's, as both times are averages of different answers.
	minAnswerDivisor = 10
	// extraRequests and half the root of the mean, by which the number of requests varies, is how many more than the mean a preferred
	// server may run, and may have received recently. With 2 and a whole root, the busiest server got up to 1.58 times the mean of a
	// modelled load with one popular part. With these it got 1.51 times the mean of 55 requests a second where only the running ones
	// were bounded, and 1.26 with both bounds (TestPopularPartIsSpread). With 1, a server with one request would not be used again
	// while others are idle.
	extraRequests = 1.5
)

// reuse weighs, for one request, the reading of its prompt at a server against the server's load. The zero value changes nothing.
type reuse struct {
	// most is the number of the prompt's first tokens that a server holds at most, least that all servers hold.
	most, least int
	// tokenSeconds is the time to read a token; 0 if only servers of equal cost are distinguished.
	tokenSeconds float64
	// answerSeconds is the time that a cost of 1.0 stands for.
	answerSeconds float64
	// maxRunning and maxReceived are the numbers of running and of recently received requests up to which a server is preferred.
	maxRunning, maxReceived float64
}

// reuseFor returns what the request's prompt changes at the servers. A cost of 1.0 stands for the time of an answer at the fastest
// server, so the time to read is divided by the time of the answer from its first byte on: hold, the time for which such a request
// holds its slot, less that to the first byte.
//
// Nothing changes while the servers' memory is short: a part that no request on a server uses any more can't return there, as waiting
// requests take the room at once. Choosing by what is held and read then leaves popular parts with ever fewer servers, on whose slots
// their requests wait.
func (p *pool) reuseFor(now time.Time, req SlotRequest, hold time.Duration) (r reuse) {
	if len(req.Parts) == 0 || p.disabled[PromptReuse] || p.prompts.index == nil || p.isShortOfMemory(req) {
		return r
	}
	p.expirePrompts(now)
	chain := p.prompts.chainOf(req)
	f := p.prompts.index.Find(chain, len(p.servers))
	if len(chain) > 0 && p.prompts.reading.Time(chain[len(chain)-1].Through-f.Least) >= minReuseTime {
		answer := max(hold-p.firstByteTime(), hold/minAnswerDivisor)
		r.tokenSeconds, r.answerSeconds = p.prompts.reading.TokenSeconds(), answer.Seconds()
	} else if f.Most == f.Least {
		return r
	}
	r.most, r.least = f.Most, f.Least
	r.maxRunning = mostOfPreferred(float64(p.onlineRuns+len(p.batchRuns)) / float64(max(1, len(p.servers))))
	r.maxReceived = mostOfPreferred(p.meanReceived)
	return r
}

// mostOfPreferred returns the number of requests up to which a server is preferred, by the mean of all servers.
func mostOfPreferred(mean float64) float64 { return mean + math.Sqrt(mean)/2 + extraRequests }

// prefers reports whether what the server holds may count: it neither runs nor received many more requests than others.
func (r *reuse) prefers(now time.Time, s *server) bool {
	return float64(s.usedSlots+1) <= r.maxRunning && s.received.recent(now) <= r.maxReceived
}

// cost is added to the cost of a server. It is the time that prompts placed before and the parts that aren't held take there; a
// server that runs or received more requests than others counts as one that holds nothing that the others don't.
func (r *reuse) cost(now time.Time, s *server) float64 {
	if r.most == 0 && r.tokenSeconds == 0 {
		return 0
	}
	held := r.least
	if s.prompts.cache != nil {
		if h := s.prompts.cache.Held(); h > held && r.prefers(now, s) {
			held = h
		}
	}
	unread := float64(r.most - held)
	if r.tokenSeconds == 0 {
		return tieCost * unread / float64(r.most)
	}
	unread += s.prompts.unreadAt(now, r.tokenSeconds)
	return min(maxReuseCost, unread*r.tokenSeconds/r.answerSeconds)
}
