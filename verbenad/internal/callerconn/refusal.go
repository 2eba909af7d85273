package callerconn

import (
	"io"
	"time"
)

const (
	// refusalTime is how long the answer to a refused connection may take, and how long bytes are read after it: closing a
	// connection that has unread bytes resets it, and the caller may lose the answer.
	refusalTime = 200 * time.Millisecond
	// refusalBytes is how many bytes are read after it at most.
	refusalBytes = 256 << 10
)

// answerAndClose sends an answer and ends the connection. The caller of Read closes it.
func (c *Conn) answerAndClose(answer string) {
	end := time.Now().Add(refusalTime)
	_ = c.SetDeadline(end) // fails only on a closed connection, as the write then does
	if _, err := io.WriteString(c.Conn, answer); err != nil {
		return
	}
	if c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, refusalBytes) // the connection ends either way
	}
}
