package serverrelay

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// chunkKind is what a chunk from a relay says. A relay sends a server's bytes in chunks, so that its own end is never taken
// for that of the server's connection.
type chunkKind byte

const (
	// dataChunk carries bytes of the server.
	dataChunk chunkKind = iota + 1
	// closedChunk says that the server closed its direction of the connection in order, after it had received what the host had sent
	// so far. Once the host has closed its own, a second one says that the server has received the rest.
	closedChunk
	// resetChunk says that the server's connection ended in any other way.
	resetChunk
	// stoppingChunk says that the relay stops soon: the connection may carry no further request.
	stoppingChunk
)

const (
	// chunkHeaderSize is the size in bytes of a chunk's kind and length.
	chunkHeaderSize = 3
	// maxChunkSize bounds the data of one chunk in bytes.
	maxChunkSize = 8 << 10
)

var errInvalidChunk = errors.New("invalid chunk from the relay")

// putChunkHeader writes the header of a chunk with length bytes of data.
func putChunkHeader(b []byte, kind chunkKind, length int) {
	b[0] = byte(kind)
	binary.BigEndian.PutUint16(b[1:], uint16(length))
}

func readChunkHeader(r io.Reader) (kind chunkKind, length int, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read chunk: %w", err)
		}
	}()
	var header [chunkHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, 0, err
	}
	kind, length = chunkKind(header[0]), int(binary.BigEndian.Uint16(header[1:]))
	if kind < dataChunk || kind > stoppingChunk || (kind == dataChunk) != (length > 0) || length > maxChunkSize {
		return 0, 0, errInvalidChunk
	}
	return kind, length, nil
}
