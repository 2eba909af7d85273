package entry

import (
	"errors"

	"verbenaledge.example/verbena/completion"
)

const (
	// bufferLimit is how many bytes of a response are buffered before any is forwarded. A response that is cut off within
	// them can be requested from another server.
	bufferLimit = 512 << 10
	// bufferGrowth is the least number of bytes by which a buffer grows.
	bufferGrowth = 8 << 10
	// copyBytes is how many bytes of a response are forwarded at once after the buffered ones.
	copyBytes = 32 << 10
	// responseLimit is how many bytes of a response are forwarded as they arrive before it is cut off. A server that
	// never stops sending would otherwise occupy its slot until the caller's deadline.
	responseLimit = 16 << 20
)

var errResponseTooLong = errors.New("response exceeds the limit")

// responseBuffer holds the beginning of a response in memory that is reserved from the budget of all requests.
type responseBuffer struct {
	budget   *memoryBudget
	reserved int64
	body     []byte
	// end is that of the response; it is nil if more of it follows than may be buffered.
	end completion.End
}

// bufferResponse reads a response until it ends, or until no more of it may be buffered.
func (h *Handler) bufferResponse(source completion.Body) *responseBuffer {
	b := &responseBuffer{budget: h.memory}
	for b.end == nil && len(b.body) < bufferLimit && b.grow() {
		n, end := source.ReadBody(b.body[len(b.body):cap(b.body)])
		b.body, b.end = b.body[:len(b.body)+n], end
	}
	return b
}

// grow makes room for more bytes. It returns false if the memory budget is used up.
func (b *responseBuffer) grow() bool {
	if len(b.body) < cap(b.body) {
		return true
	}
	more := min(max(bufferGrowth, len(b.body)), bufferLimit-len(b.body))
	if !b.budget.reserve(int64(more)) {
		return false
	}
	b.reserved += int64(more)
	larger := make([]byte, len(b.body), len(b.body)+more)
	copy(larger, b.body)
	b.body = larger
	return true
}

// release returns the buffer's memory to the budget.
func (b *responseBuffer) release() {
	b.budget.release(b.reserved)
	b.reserved, b.body = 0, nil
}
