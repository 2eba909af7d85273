package batch

import (
	"encoding/json"
	"fmt"

	"verbenaledge.example/verbena/ids"
)

// Head lists a shard's committed segments. Only the owner with the newest epoch can
// update it: a new owner first writes its epoch into the head.
type Head struct {
	Epoch    ids.Epoch    `json:"epoch"`
	Segments []SegmentRef `json:"segments"`
}

// SegmentRef identifies a segment and lists the jobs that have results in it.
type SegmentRef struct {
	Epoch ids.Epoch   `json:"epoch"`
	Seq   uint64      `json:"seq"`
	Bytes int         `json:"bytes"`
	Jobs  []ids.JobID `json:"jobs"`
}

// HeadName returns the object name of a shard's head.
func HeadName(s ids.ShardID) string {
	return fmt.Sprintf("heads/%d", s)
}

// SegmentName returns the object name of a segment.
func SegmentName(s ids.ShardID, r SegmentRef) string {
	return fmt.Sprintf("segments/%d/%d-%d", s, r.Epoch, r.Seq)
}

// ParseHead decodes the stored form.
func ParseHead(data []byte) (h Head, err error) {
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, fmt.Errorf("parse head: %w", err)
	}
	return h, nil
}

// Marshal returns the stored form.
func (h Head) Marshal() []byte {
	data, err := json.Marshal(h)
	if err != nil {
		panic(err) // heads hold only strings and numbers
	}
	return data
}

// WithoutJob returns a copy of the head without references to a job, and the
// segments that no other job needs.
func (h Head) WithoutJob(j ids.JobID) (next Head, unused []SegmentRef) {
	next = Head{Epoch: h.Epoch}
	for _, r := range h.Segments {
		kept := SegmentRef{Epoch: r.Epoch, Seq: r.Seq, Bytes: r.Bytes}
		for _, o := range r.Jobs {
			if o != j {
				kept.Jobs = append(kept.Jobs, o)
			}
		}
		if len(kept.Jobs) == 0 {
			unused = append(unused, r)
			continue
		}
		next.Segments = append(next.Segments, kept)
	}
	return next, unused
}
