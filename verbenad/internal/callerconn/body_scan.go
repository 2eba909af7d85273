package callerconn

// bodyPhase is the part of a body that is expected next.
type bodyPhase int

const (
	// bodyEnded means that the body is complete, or that there is none.
	bodyEnded bodyPhase = iota
	// plainBody is a body of a known length.
	plainBody
	// chunkSize, chunkExtension, chunkData, chunkEnd and trailer are the parts of a chunked body.
	chunkSize
	chunkExtension
	chunkData
	chunkEnd
	trailer
	// unknownBody means that the end of the body can't be found.
	unknownBody
)

// bodyScan finds the end of a body, so that nothing of the next head is handed over while a request runs, but one byte.
type bodyScan struct {
	phase bodyPhase
	// left are the bytes left of a plain body or a chunk.
	left int64
	// lineBytes are the bytes of the current line of the trailer.
	lineBytes int
}

// feed scans further bytes and returns the number of them that belong to the body.
func (s *bodyScan) feed(p []byte) (n int) {
	for n < len(p) && s.phase != bodyEnded {
		switch s.phase {
		case plainBody, chunkData:
			taken := min(s.left, int64(len(p)-n))
			s.take(taken)
			n += int(taken)
		case unknownBody:
			return len(p)
		default:
			s.feedByte(p[n])
			n++
		}
	}
	return n
}

// take counts bytes of a plain body or a chunk.
func (s *bodyScan) take(n int64) {
	s.left -= n
	switch {
	case s.left > 0:
	case s.phase == plainBody:
		s.phase = bodyEnded
	default:
		s.phase = chunkEnd
	}
}

// feedByte scans a byte between chunks.
func (s *bodyScan) feedByte(b byte) {
	switch s.phase {
	case chunkSize:
		digit, ok := hexDigit(b)
		switch {
		case ok && s.left <= maxBodyLength:
			s.left = s.left<<4 | digit
		case b == '\n':
			s.sizeEnded()
		default:
			s.phase = chunkExtension
		}
	case chunkExtension:
		if b == '\n' {
			s.sizeEnded()
		}
	case chunkEnd:
		if b == '\n' {
			s.phase, s.left = chunkSize, 0
		}
	case trailer:
		switch {
		case b == '\n' && s.lineBytes == 0:
			s.phase = bodyEnded
		case b == '\n':
			s.lineBytes = 0
		case b != '\r':
			s.lineBytes++
		}
	default:
	}
}

func (s *bodyScan) sizeEnded() {
	s.phase = chunkData
	if s.left == 0 {
		s.phase = trailer
	}
}

func hexDigit(b byte) (digit int64, ok bool) {
	switch {
	case b >= '0' && b <= '9':
		return int64(b - '0'), true
	case b >= 'a' && b <= 'f':
		return int64(b-'a') + 10, true
	case b >= 'A' && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}
