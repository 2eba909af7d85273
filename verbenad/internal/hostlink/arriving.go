package hostlink

import (
	"errors"
	"io"
)

// arrivingBytes is how much memory a frame gets first. It doubles as the frame arrives: one that is announced and doesn't arrive takes
// no more.
const arrivingBytes = 32 << 10

// reservation takes memory from a budget before it is used. A negative number of bytes returns some.
type reservation func(bytes int) error

// readAsArrives reads size bytes, and reserves memory for them as they arrive. It returns io.EOF with what was read if there are fewer.
func readAsArrives(r io.Reader, size int, reserve reservation) (read []byte, err error) {
	for len(read) < size {
		if len(read) == cap(read) {
			if read, err = grow(read, size, reserve); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if err != nil && len(read) < size {
			return read, err
		}
	}
	return read, nil
}

// grow doubles the capacity up to most bytes. Both arrays are reserved while one is copied.
func grow(b []byte, most int, reserve reservation) ([]byte, error) {
	larger := max(arrivingBytes, 2*cap(b))
	if larger+arrivingBytes > most { // no copy of nearly all for a few bytes more
		larger = most
	}
	if err := reserve(larger); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, larger), b...), reserve(-cap(b))
}

// noEOF returns the error of a frame that was cut off.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
