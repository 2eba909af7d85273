package upstream

import (
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// headEnd is how bytes that begin like a response's head go on.
type headEnd int

const (
	// headBroken means that bytes follow that can't belong to a head.
	headBroken headEnd = iota
	headComplete
	// headCutOff means that all bytes may belong to a head that isn't complete.
	headCutOff
)

// head is what bytes of a body say that begin like a response's head.
type head struct {
	start  int
	status int
	// header has the headers whose lines are complete.
	header http.Header
	end    headEnd
	// read is the position after the last line that was read.
	read int
	// lastLineFeed is the position after the last line that ends with LF alone, as lines of text do. HTTP demands CRLF.
	lastLineFeed int
}

// cutOff reports whether the head isn't complete as far as it goes. Longer ones than maxHeadBytes aren't read from servers.
func (h *head) cutOff() bool {
	return h.end == headCutOff && h.lastLineFeed <= h.start && h.read-h.start <= maxHeadBytes
}

// isInterim reports whether the head is that of a complete interim response.
func (h *head) isInterim() bool {
	return h.end == headComplete && h.lastLineFeed <= h.start && h.status < http.StatusOK
}

const (
	// statusDigits is the number of digits of a status code.
	statusDigits = 3
	// maxStatusLine is more than a status line has, in bytes.
	maxStatusLine = 4 << 10
	// notInReason are characters that follow a status line in JSON, markup and quotations, and that reason phrases don't have.
	notInReason = "\"\\{}[]<>`|"
)

// headParser reads heads within a body.
type headParser struct {
	body []byte
	// last is the last head that was read to its end.
	last head
}

// parse reads the head that begins at start with statusLinePrefix, as far as it goes. Calls are made in order of start. The
// lines of a head within the last one aren't read again, or text of many heads would take the square of its length.
func (p *headParser) parse(start int) head {
	h := head{start: start, read: start + len(statusLinePrefix), header: make(http.Header)}
	limit := min(len(p.body), start+maxStatusLine)
	line, complete := h.readLine(p.body[:limit])
	switch {
	case !complete && limit < len(p.body), !h.parseStatus(line, complete):
		return h
	case !complete:
		h.end = headCutOff
		return h
	case h.read <= p.last.read:
		h.header, h.end, h.read, h.lastLineFeed = p.last.header, p.last.end, p.last.read, p.last.lastLineFeed
		return h
	}
	p.parseHeaders(&h)
	p.last = h
	return h
}

func (p *headParser) parseHeaders(h *head) {
	for {
		before := *h
		line, complete := h.readLine(p.body)
		switch {
		case complete && line == "":
			h.end = headComplete
			return
		case !h.parseHeader(line, complete):
			h.read, h.lastLineFeed = before.read, before.lastLineFeed // the line may be a status line
			return
		case !complete:
			h.end = headCutOff
			return
		}
	}
}

// readLine returns the next line without its end. A line that is cut off may have the first byte of its end.
func (h *head) readLine(body []byte) (line string, complete bool) {
	b, _, complete := bytes.Cut(body[h.read:], lineEnd)
	h.read += len(b)
	trimmed := bytes.TrimSuffix(b, []byte("\r"))
	if complete {
		h.read += len(lineEnd)
		if len(trimmed) == len(b) {
			h.lastLineFeed = h.read
		}
	}
	return string(trimmed), complete
}

// parseStatus reads the status code and reports whether the line may be a status line, or the beginning of one.
func (h *head) parseStatus(line string, complete bool) bool {
	digits := line[:min(len(line), statusDigits)]
	for _, c := range []byte(digits) {
		if c < '0' || c > '9' {
			return false
		}
		h.status = 10*h.status + int(c-'0')
	}
	reason := line[len(digits):]
	switch {
	case reason == "":
		return len(digits) == statusDigits || !complete
	case reason[0] != ' ':
		return false
	}
	return complete || httpguts.ValidHeaderFieldValue(reason) && !strings.ContainsAny(reason, notInReason)
}

// parseHeader adds a complete header and reports whether the line may be one, or the beginning of one.
func (h *head) parseHeader(line string, complete bool) bool {
	name, value, named := strings.Cut(line, ":")
	switch {
	case line == "", line[0] == ' ', line[0] == '\t': // the end of the head or the value of the last header, continued
		return true
	case !httpguts.ValidHeaderFieldName(name):
		return false
	case complete && named:
		h.header.Add(name, strings.TrimSpace(value))
	}
	return named || !complete
}
