package upstream

import (
	"bufio"
	"bytes"
	"net/http"
)

// statusLine begins an answer of the protocol.
var statusLine = []byte("HTTP/1.1 ")

// Spliced tells whether another answer of a server seems to stand within bytes of this one's body. A late copy of an
// earlier answer comes on a connection that is used again, and may fall into the body of the present one, whole or
// cut by that one's length. On a new connection only a body that ends with it can hold one.
func (a *Response) HasEmbeddedResponse(body []byte) bool {
	unframed := a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0
	if !unframed && !a.conn.reused {
		return false
	}
	for {
		at := bytes.Index(body, statusLine)
		if at < 0 {
			return false
		}
		body = body[at:]
		if a.conn.reused && isHead(body) || a.isAnswer(body) {
			return true
		}
		body = body[len(statusLine):]
	}
}

// isAnswer tells whether bytes begin with the whole head of an answer that names a request or says that one
// was not run.
func (a *Response) isAnswer(raw []byte) bool {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }() // it reads from memory
	reply := a.protocol.ParseResponse(response.StatusCode, response.Header)
	return reply.ID != "" || reply.NotExecuted
}

const statusDigits = 3

// isHead tells whether bytes that begin like a status line go on like a head, as far as they go.
func isHead(raw []byte) bool {
	line, rest, whole := bytes.Cut(raw[len(statusLine):], []byte("\r\n"))
	for n, c := range line {
		if n < statusDigits && (c < '0' || c > '9') {
			return false
		}
	}
	for whole && len(rest) > 0 {
		line, rest, whole = bytes.Cut(rest, []byte("\r\n"))
		if len(line) == 0 {
			return true
		}
		if whole && !bytes.Contains(line, []byte(":")) {
			return false
		}
	}
	return true
}
