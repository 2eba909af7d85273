package callerconn

import (
	"sync"
	"sync/atomic"
	"time"

	"verbenaledge.example/verbena/callerguard"
)

const (
	// defaultMemoryMB is the host's memory where the settings don't state it.
	defaultMemoryMB = 256
	// headMemoryDivisor is the part of the host's memory for heads, those of requests in progress included.
	headMemoryDivisor = 8
	// connectionMemoryDivisor is the part of the host's memory for connections, each of which costs connectionBytes: two
	// buffers of net/http, a stack, and the kernel's socket.
	connectionMemoryDivisor = 6
	connectionBytes         = 16 << 10
	// reservedFiles is left to files, listeners and other hosts. Of the rest, callers get callerFilesPercent; servers, to which each
	// request in progress has a connection, get what is left.
	reservedFiles      = 200
	callerFilesPercent = 75
	// minConnections is the least number of connections of callers, however low the limits are.
	minConnections = 16
)

const (
	// maxOverdue is by how many connections the limit may be exceeded while others that were asked to close haven't yet.
	maxOverdue = 16
	// overdueInterval is the time between checks for them, maxOverdueTime the longest wait for them.
	overdueInterval = time.Millisecond
	maxOverdueTime  = time.Second
)

// Guard bounds what the connections of callers cost before their requests are known. It may be shared by several listeners.
type Guard struct {
	mu     sync.Mutex
	pool   *callerguard.Pool
	limits atomic.Pointer[Limits]
	// makeRoom ends a request whose body hasn't arrived, if there is one.
	makeRoom func()
}

// NewGuard returns a guard for a host with the given memory and number of file descriptors. 0 stands for defaultMemoryMB,
// and for no limit of descriptors.
// makeRoom is called when requests are in progress on nearly as many connections as are allowed; it should end one that can't
// run as its body hasn't arrived.
func NewGuard(memoryMB, maxOpenFiles int, makeRoom func()) *Guard {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	memory := int64(memoryMB) << 20
	connections := int(memory / connectionMemoryDivisor / connectionBytes)
	if maxOpenFiles > 0 {
		connections = min(connections, (maxOpenFiles-reservedFiles)*callerFilesPercent/100)
	}
	g := newGuard(callerguard.Budget{Connections: max(minConnections, connections), HeadBytes: memory / headMemoryDivisor})
	g.makeRoom = makeRoom
	return g
}

const (
	// smallConnections, smallHeadBytes and smallHeaderBytes bound an address that only the operator's tools use.
	smallConnections = 64
	smallHeadBytes   = 1 << 20
	smallHeaderBytes = 4 << 10
)

// NewSmallGuard returns a guard for an address that only the operator's tools use.
func NewSmallGuard() *Guard {
	g := newGuard(callerguard.Budget{Connections: smallConnections, HeadBytes: smallHeadBytes})
	g.SetLimits(Limits{HeaderBytes: smallHeaderBytes})
	return g
}

func newGuard(b callerguard.Budget) *Guard {
	g := &Guard{pool: callerguard.NewPool(b)}
	g.SetLimits(Limits{})
	return g
}

// SetLimits applies the limits of a configuration. A wait that has begun keeps its end.
func (g *Guard) SetLimits(l Limits) {
	enforced := l.enforced()
	g.limits.Store(&enforced)
}

// open admits a new connection, or reports that there is no room for it. It waits for connections that were asked to close.
func (g *Guard) open(m *callerguard.Member) (ok bool) {
	tight := false
	g.locked(func(now time.Time) {
		tight = g.pool.Tight()
		ok = g.pool.Open(m, now)
	})
	if tight && g.makeRoom != nil {
		g.makeRoom()
	}
	if !ok {
		countClosed(callerguard.NoConnections)
		return false
	}
	for end := time.Now().Add(maxOverdueTime); g.overdue() > maxOverdue && time.Now().Before(end); {
		time.Sleep(overdueInterval)
	}
	return true
}

func (g *Guard) overdue() (n int) {
	g.locked(func(time.Time) { n = g.pool.Overdue() })
	return n
}

func (g *Guard) headBegins(m *callerguard.Member) {
	g.locked(func(now time.Time) { g.pool.HeadBegins(m, now) })
}

func (g *Guard) reserve(m *callerguard.Member, bytes int) (ok bool) {
	g.locked(func(time.Time) { ok = g.pool.Reserve(m, int64(bytes)) })
	return ok
}

// begin takes what a head costs while its request runs, and what it costs more while it is parsed.
func (g *Guard) begin(m *callerguard.Member, cost, parsing int) (ok bool) {
	g.locked(func(now time.Time) { ok = g.pool.Begin(m, int64(cost), now) && g.pool.Parse(m, int64(parsing)) })
	return ok
}

// resume takes back a connection that was asked to close.
func (g *Guard) resume(c *Conn) (ok bool) {
	g.locked(func(now time.Time) {
		if ok = g.pool.Resume(c.reader.member, now); ok {
			c.resumed()
		}
	})
	return ok
}

func (g *Guard) parsed(m *callerguard.Member) {
	g.locked(func(time.Time) { g.pool.Parsed(m) })
}

func (g *Guard) idle(m *callerguard.Member) {
	g.locked(func(now time.Time) { g.pool.Idle(m, now) })
}

func (g *Guard) closed(m *callerguard.Member) {
	g.locked(func(time.Time) { g.pool.Close(m) })
}

func (g *Guard) locked(f func(now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(time.Now())
}
