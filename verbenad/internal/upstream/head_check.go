package upstream

import (
	"bufio"
	"errors"
	"io"

	"verbenaledge.example/verbena/http1"
)

var lineEnd = []byte("\n")

// checkHead returns an error if the head that comes next is malformed, or states a transfer encoding with HTTP/1.0. It looks at
// a head up to the size of the read buffer, and reads no more than that head's parser needs.
func (c *conn) checkHead() error {
	var check http1.HeadCheck
	for {
		head, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return err
		}
		ended, err := check.Next(head)
		if ended || err != nil {
			return err
		}
		_, err = c.reader.Peek(len(head) + 1)
		switch {
		case errors.Is(err, bufio.ErrBufferFull), errors.Is(err, io.EOF):
			return nil // the parser finds it, too
		case err != nil:
			return err // the connection reports it only once
		}
	}
}
