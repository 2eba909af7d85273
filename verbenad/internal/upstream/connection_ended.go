package upstream

import (
	"errors"
	"io"
	"syscall"
)

// ConnectionEnded reports whether an error means that the server closed or reset the connection, as it does when it
// crashes.
func ConnectionEnded(err error) bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
