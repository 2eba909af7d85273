package callerconn

import (
	"bytes"
	"strings"
)

// headScan looks for the end of a head as net/http does: the first empty line after another one. Lines end with a line feed.
type headScan struct {
	// lines counts the lines that have ended, lineBytes the bytes of the current one, and last is the latest of them.
	lines, lineBytes int
	last             byte
}

// feed scans further bytes. It returns the number of them that belong to the head, and whether it ends with them.
func (s *headScan) feed(p []byte) (n int, complete bool) {
	for n, b := range p {
		if b != '\n' {
			s.lineBytes++
			s.last = b
			continue
		}
		empty := s.lineBytes == 0 || s.lineBytes == 1 && s.last == '\r'
		s.lineBytes = 0
		if empty && s.lines > 0 {
			return n + 1, true
		}
		if !empty {
			s.lines++
		}
	}
	return len(p), false
}

// begun reports whether anything but empty lines was seen.
func (s *headScan) begun() bool { return s.lines > 0 || s.lineBytes > 0 }

// bodyOf returns the framing of the body that follows a head.
func bodyOf(head []byte) (b bodyScan) {
	for line := range bytes.Lines(head) {
		name, value, ok := strings.Cut(string(line[:min(len(line), maxFramingLine)]), ":")
		switch {
		case !ok:
		case strings.EqualFold(name, "Transfer-Encoding"):
			return bodyScan{phase: chunkSize}
		case strings.EqualFold(name, "Content-Length"):
			b = bodyScan{phase: plainBody}
			for _, digit := range strings.TrimSpace(value) {
				if digit < '0' || digit > '9' || b.left > maxBodyLength {
					return bodyScan{phase: unknownBody}
				}
				b.left = b.left*10 + int64(digit-'0')
			}
		}
	}
	if b.phase == plainBody && b.left == 0 {
		b.phase = bodyEnded
	}
	return b
}

const (
	// maxFramingLine is how much of a line is looked at for the framing of the body. A longer length is no number.
	maxFramingLine = 64
	// maxBodyLength bounds the length of a body, so that it doesn't overflow. net/http refuses longer ones.
	maxBodyLength = 1 << 50
)
