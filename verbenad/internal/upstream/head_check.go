package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"verbenaledge.example/verbena/http1"
)

var lineEnd = []byte("\n")

// checkHead returns an error if the head that comes next is malformed, or states a transfer encoding with HTTP/1.0. It reads no
// more than that head's parser needs.
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
		case errors.Is(err, bufio.ErrBufferFull):
			c.growBuffer()
		case errors.Is(err, io.EOF):
			return nil // the parser finds it, too
		case err != nil:
			return err // the connection reports it only once
		}
	}
}

// growBuffer doubles the read buffer, which is full of a part of a head.
func (c *conn) growBuffer() {
	held, _ := c.reader.Peek(c.reader.Buffered()) // they need no read
	larger := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(held)), c.headLimit), 2*c.reader.Size())
	_, _ = larger.Peek(len(held)) // nor do these
	c.reader = larger
}

// resetBuffer replaces an empty read buffer that has grown.
func (c *conn) resetBuffer() {
	if c.reader.Size() > readBufferSize {
		c.reader = bufio.NewReaderSize(c.headLimit, readBufferSize)
	}
}
