package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/textproto"
)

// ErrFaultyFraming is returned for a response that states chunks with HTTP/1.0, which has none. Its end can't be found:
// net/http would ignore the chunks and read up to the end of the connection.
var ErrFaultyFraming = errors.New("response with HTTP/1.0 states a transfer encoding")

var (
	oldVersion = []byte("HTTP/1.0 ")
	lineEnd    = []byte("\n")
)

// checkFraming returns ErrFaultyFraming if the response that comes next states a transfer encoding with HTTP/1.0. It looks at
// a head up to the size of the read buffer, and reads no more than that head's parser needs.
func (c *conn) checkFraming() error {
	for {
		head, err := c.reader.Peek(c.reader.Buffered())
		switch common := min(len(head), len(oldVersion)); {
		case err != nil || !bytes.Equal(head[:common], oldVersion[:common]):
			return err
		case statesTransferEncoding(head):
			return ErrFaultyFraming
		case endsHead(head):
			return nil
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

func statesTransferEncoding(head []byte) bool {
	for line := range bytes.SplitSeq(head, lineEnd) {
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return false
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if ok && textproto.CanonicalMIMEHeaderKey(string(name)) == "Transfer-Encoding" {
			return true
		}
	}
	return false
}

func endsHead(head []byte) bool {
	return bytes.Contains(head, []byte("\n\n")) || bytes.Contains(head, []byte("\n\r\n"))
}
