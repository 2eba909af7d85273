package slots

import (
	"sync"
	"time"

	"verbenaledge.example/verbena/ids"
)

// firstWeight is the weight of one answer in the average of the times to a first byte.
const firstWeight = 0.1

// firsts averages the time to the first byte by service.
type firsts struct {
	mu    sync.Mutex
	usual map[ids.ServiceName]time.Duration
}

func (f *firsts) learn(s ids.ServiceName, first time.Duration) {
	if first <= 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.usual == nil {
		f.usual = make(map[ids.ServiceName]time.Duration)
	}
	old, ok := f.usual[s]
	if !ok {
		old = first
	}
	f.usual[s] = old + time.Duration(firstWeight*float64(first-old))
}

// stallAfter is how long a server of the service may say nothing.
func (f *firsts) stallAfter(s ids.ServiceName) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(leastStall, stallFactor*f.usual[s])
}
