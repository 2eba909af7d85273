package http1

import (
	"bytes"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// checkFieldLine returns ErrMalformed unless a line, without its end, is a field of a head. A line that continues the one before
// it is none: a proxy may refuse it (RFC 9112, 5.2), and nothing tells it from a field whose name follows a blank.
func checkFieldLine(line []byte) error {
	name, value, named := bytes.Cut(line, []byte(":"))
	switch {
	case !named || !httpguts.ValidHeaderFieldName(string(name)):
		return fmt.Errorf("%w: field name %q", ErrMalformed, excerpt(name))
	case !httpguts.ValidHeaderFieldValue(string(value)):
		return fmt.Errorf("%w: value %q of field %s", ErrMalformed, excerpt(value), excerpt(name))
	}
	return nil
}

// CheckTrailer returns ErrMalformed for fields after the last chunk of a body that net/http accepts although they have other names
// than fields may have.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: name %q of a field after the body", ErrMalformed, excerpt([]byte(name)))
		}
	}
	return nil
}
