// Package http1 checks responses against the grammar of HTTP/1.x (RFC 9110, RFC 9112), of which net/http accepts more.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is returned for a response that isn't one of HTTP/1.x. Nothing that it says can be trusted.
var ErrMalformed = errors.New("malformed response")

// The valid status codes, as three digits.
const (
	statusDigits = 3
	firstClass   = '1'
	lastClass    = '5'
)

// parseStatusLine returns the status code of a status line without its end, or ErrMalformed for another line. As most clients do,
// it accepts several blanks before the code, and none after it where there is no reason phrase.
func parseStatusLine(line []byte) (status int, err error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	switch {
	case !isVersion(version):
		return 0, fmt.Errorf("%w: version %q", ErrMalformed, excerpt(version))
	case !isStatusCode(code):
		return 0, fmt.Errorf("%w: status code %q", ErrMalformed, excerpt(code))
	case !httpguts.ValidHeaderFieldValue(string(reason)):
		return 0, fmt.Errorf("%w: reason phrase %q", ErrMalformed, excerpt(reason))
	}
	return strconv.Atoi(string(code))
}

// isVersion reports whether a version is HTTP/1.x. A higher minor version than the known ones is read as the highest of them.
func isVersion(b []byte) bool {
	minor, ok := bytes.CutPrefix(b, []byte("HTTP/1."))
	return ok && len(minor) == 1 && isDigit(minor[0])
}

func isStatusCode(b []byte) bool {
	return len(b) == statusDigits && firstClass <= b[0] && b[0] <= lastClass && isDigit(b[1]) && isDigit(b[2])
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// maxExcerptBytes limits what an error shows of a response.
const maxExcerptBytes = 48

func excerpt(b []byte) []byte { return b[:min(len(b), maxExcerptBytes)] }
