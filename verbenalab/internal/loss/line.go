// Package loss reads the log lines of a fleet and tells where callers and batch jobs lost time: which requests and items
// were late, refused or failed, when, and for what reason.
package loss

import (
	"bytes"
	"encoding/json"
	"time"
)

// line is what is read of one log line.
type line struct {
	Message   string    `json:"message"`
	Timestamp time.Time `json:"timestamp"`
	Fields    struct {
		Host      string `json:"host"`
		Route     string `json:"route"`
		Workspace string `json:"workspace"`
		Outcome   string `json:"outcome"`
		Reason    string `json:"reason"`
		PlacedBy  string `json:"placed_by"`
		Events    int    `json:"events"`
		Sends     int    `json:"sends"`
		Refusals  int    `json:"refusals"`
		Yields    int    `json:"yields"`
		// The times are in milliseconds.
		First     int64 `json:"first_ms"`
		SlotWait  int64 `json:"slot_wait_ms"`
		Objective int64 `json:"objective_ms"`
		Took      int64 `json:"took_ms"`
		DueIn     int64 `json:"due_in_ms"`
	} `json:"fields"`
}

// parse reads a line. What a collector wrote before the JSON is left out; ok is false for text that is no log line.
func parse(raw []byte) (l line, ok bool) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 || json.Unmarshal(raw[at:], &l) != nil {
		return l, false
	}
	return l, l.Message != ""
}
