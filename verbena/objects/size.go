package objects

import "unicode/utf8"

const (
	// longEscapeBytes is the length of an escape such as \u003c, shortEscapeBytes that of one such as \n.
	longEscapeBytes  = 6
	shortEscapeBytes = 2
	// quotesBytes is the length of the quotes around a string.
	quotesBytes = 2
)

// EncodedSize returns the number of bytes of a string in the JSON in which clients store it: markup and control
// characters take several times their length.
func EncodedSize[S ~string | ~[]byte](s S) (n int) {
	text := string(s)
	n = quotesBytes
	for i := 0; i < len(text); {
		r, width := utf8.DecodeRuneInString(text[i:])
		i += width
		n += encodedRuneSize(r, width)
	}
	return n
}

func encodedRuneSize(r rune, width int) int {
	switch r {
	case '"', '\\', '\b', '\f', '\n', '\r', '\t':
		return shortEscapeBytes
	case '<', '>', '&', '\u2028', '\u2029':
		return longEscapeBytes
	case utf8.RuneError:
		if width == 1 {
			return longEscapeBytes // not valid UTF-8
		}
	}
	if r < ' ' {
		return longEscapeBytes
	}
	return width
}
