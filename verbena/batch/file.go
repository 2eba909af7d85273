package batch

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"verbenaledge.example/verbena/ids"
)

// ChunkBytes limits the lines of an input or output file that one platform object
// holds, before compression.
const ChunkBytes = 768 << 10

// File is the stored description of an input file. It is written after the
// chunks, so that a file with a description is complete.
type File struct {
	ID        ids.FileID      `json:"id"`
	Workspace ids.WorkspaceID `json:"workspace"`
	Name      string          `json:"name"`
	Purpose   string          `json:"purpose"`
	Bytes     int             `json:"bytes"`
	Rows      int             `json:"rows"`
	Endpoint  string          `json:"endpoint"`
	Service   ids.ServiceName `json:"service"`
	Created   time.Time       `json:"created"`
	// FirstRows holds the index of the first row of each chunk.
	FirstRows []int `json:"first_rows"`
}

// FileIDOf derives a file's id from its workspace and content, so that a repeated
// upload gets the same id.
func FileIDOf(w ids.WorkspaceID, content []byte) ids.FileID {
	h := sha256.New()
	_, _ = h.Write([]byte(string(w) + "\x00")) // never fails
	_, _ = h.Write(content)
	return ids.FileID("file-" + hex.EncodeToString(h.Sum(nil)[:12]))
}

// FileName returns the object name of a file's description.
func FileName(f ids.FileID) string {
	return "files/" + string(f) + "/meta"
}

// ChunkName returns the object name of one chunk of a file.
func ChunkName(f ids.FileID, chunk int) string {
	return fmt.Sprintf("files/%s/chunk/%05d", f, chunk)
}

// ParseFile decodes the stored form.
func ParseFile(data []byte) (f File, err error) {
	if err := json.Unmarshal(data, &f); err != nil {
		return File{}, fmt.Errorf("parse file: %w", err)
	}
	return f, nil
}

// Marshal returns the stored form.
func (f File) Marshal() []byte {
	data, err := json.Marshal(f)
	if err != nil {
		panic(err) // files hold only strings, numbers and times
	}
	return data
}

// Pack groups lines into compressed chunks and returns them with the index of the
// first row of each.
func Pack(lines [][]byte) (chunks [][]byte, firstRows []int) {
	var current []byte
	for i, l := range lines {
		if len(current) > 0 && len(current)+len(l)+1 > ChunkBytes {
			chunks = append(chunks, Compress(current))
			current = nil
		}
		if len(current) == 0 {
			firstRows = append(firstRows, i)
		}
		current = append(append(current, l...), '\n')
	}
	return append(chunks, Compress(current)), firstRows
}

// ChunkOf returns the index of the chunk that holds a row.
func (f File) ChunkOf(i ids.ItemIndex) int {
	c := 0
	for c+1 < len(f.FirstRows) && f.FirstRows[c+1] <= int(i) {
		c++
	}
	return c
}
