package slots

import (
	"sync"
	"time"

	"verbenaledge.example/verbena/ids"
)

// firstByteWeight is the weight of one response in the moving average of times to first byte.
const firstByteWeight = 0.1

// firstByteTimes averages the time to first byte by service.
type firstByteTimes struct {
	mu      sync.Mutex
	average map[ids.ServiceName]time.Duration
}

func (f *firstByteTimes) record(service ids.ServiceName, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.average == nil {
		f.average = make(map[ids.ServiceName]time.Duration)
	}
	old, ok := f.average[service]
	if !ok {
		old = elapsed
	}
	f.average[service] = old + time.Duration(firstByteWeight*float64(elapsed-old))
}

// stallTimeout returns how long a server of the service may send nothing before it counts as stalled.
func (f *firstByteTimes) stallTimeout(service ids.ServiceName) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(minStallTimeout, stallFactor*f.average[service])
}
