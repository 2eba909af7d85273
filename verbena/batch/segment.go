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
	// Failed is true when Line carries an error in place of a response.
	Failed bool `cbor:"3,keyasint,omitempty"`
	// Line is the JSON line of the output file, without a line feed.
	Line []byte `cbor:"4,keyasint"`
}

// Segment is a group of results that a shard's owner commits at once.
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

// ParseSegment reads the stored form.
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

// Compress packs bytes for the platform.
func Compress(data []byte) []byte {
	return segmentEncoder.EncodeAll(data, nil)
}

// Decompress unpacks what Compress has packed.
func Decompress(data []byte) ([]byte, error) {
	return segmentDecoder.DecodeAll(data, nil)
}
