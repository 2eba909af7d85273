package hostlink

import (
	"bytes"
	"errors"
	"io"
)

// arrivingBytes is how much of a frame is read at once. A frame that is announced and doesn't arrive takes no more.
const arrivingBytes = 32 << 10

// reservation takes memory from a budget before it is used.
type reservation func(bytes int) error

// readAsArrives reads size bytes, and reserves memory for them as they arrive. It returns io.EOF with what was read if there are fewer.
func readAsArrives(r io.Reader, size int, reserve reservation) ([]byte, error) {
	var b bytes.Buffer
	for b.Len() < size {
		more := min(size-b.Len(), arrivingBytes)
		if err := reserve(more); err != nil {
			return nil, err
		}
		if _, err := io.CopyN(&b, r, int64(more)); err != nil {
			return b.Bytes(), err
		}
	}
	return b.Bytes(), nil
}

// noEOF returns the error of a frame that was cut off.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
