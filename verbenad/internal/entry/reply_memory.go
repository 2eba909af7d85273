package entry

import (
	"sync/atomic"

	"verbenaledge.example/verbena/bulk"
)

const (
	// replyMemoryDivisor limits the replies to reads of batch jobs that callers have not read yet to an eighth of the host's memory.
	replyMemoryDivisor = 8
	// replyCopies is how often a reply is in memory: as its owner sent it, and encoded into memory that doubles as it grows.
	replyCopies = 3
	// maxPageBytes and minPageBytes bound a page of results.
	maxPageBytes = 900 << 10
	minPageBytes = 64 << 10
	// pageShare is the part of the memory that the page of one of several readers may take, divided by their number: replies to all of
	// them may arrive at once.
	pageShare = 4
)

// replyMemory bounds what replies to reads of batch jobs hold until their callers have read them.
type replyMemory struct {
	bytes   int64
	budget  *memoryBudget
	readers atomic.Int64
}

func newReplyMemory(bytes int64) *replyMemory {
	return &replyMemory{bytes: bytes, budget: newMemoryBudget(bytes)}
}

// beginRead counts a reader, and returns the size of the page that it may get. endRead must be called once the read has ended.
func (m *replyMemory) beginRead() (pageBytes int) {
	share := m.bytes / (pageShare * replyCopies * m.readers.Add(1))
	return int(min(max(share, minPageBytes), maxPageBytes))
}

func (m *replyMemory) endRead() { m.readers.Add(-1) }

// replyBytes returns what a reply takes while its caller reads it.
func replyBytes(r bulk.Reply) int64 {
	n := len(r.Body)
	for _, result := range r.Results {
		n += result.EncodedSize()
	}
	return replyCopies * int64(n)
}
