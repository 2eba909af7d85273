package batch

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"verbenaledge.example/verbena/ids"
)

// Result is the outcome of one item.
type Result struct {
	Job   ids.JobID     `cbor:"1,keyasint"`
	Index ids.ItemIndex `cbor:"2,keyasint"`
	// Failed is true when Line holds an error, or a response with an error status.
	Failed bool `cbor:"3,keyasint,omitempty"`
	// Line is the JSON line of the output file, without a line feed.
	Line []byte `cbor:"4,keyasint"`
}

// Segment is a group of results that a shard's owner commits together.
type Segment struct {
	Results []Result `cbor:"1,keyasint"`
}

const maxSegmentBytes = 64 << 20

var (
	segmentEncoder, _ = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	segmentDecoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSegmentBytes))
)

// Marshal returns the stored form.
func (s Segment) Marshal() []byte {
	data, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // results hold only strings, numbers and bytes
	}
	return Compress(data)
}

// ParseSegment decodes the stored form.
func ParseSegment(data []byte) (s Segment, err error) {
	raw, err := Decompress(data)
	if err != nil {
		return Segment{}, fmt.Errorf("parse segment: %w", err)
	}
	if err := cbor.Unmarshal(raw, &s); err != nil {
		return Segment{}, fmt.Errorf("parse segment: %w", err)
	}
	return s, nil
}

// Compress compresses data with zstd.
func Compress(data []byte) []byte {
	return segmentEncoder.EncodeAll(data, nil)
}

// Decompress returns the data that was passed to Compress. It fails on data larger
// than maxSegmentBytes.
func Decompress(data []byte) ([]byte, error) {
	return segmentDecoder.DecodeAll(data, nil)
}
