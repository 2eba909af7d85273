// Package loss summarizes from the log lines of a fleet which requests and batch items were late, refused or failed, when
// and for what reason.
package loss

import (
	"bytes"
	"encoding/json"
	"time"
)

// logLine holds the fields of a log line that are evaluated.
type logLine struct {
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
		// The times below are in milliseconds.
		First     int64 `json:"first_ms"`
		SlotWait  int64 `json:"slot_wait_ms"`
		Objective int64 `json:"objective_ms"`
		Took      int64 `json:"took_ms"`
		DueIn     int64 `json:"due_in_ms"`
	} `json:"fields"`
}

// parseLine parses a line and skips what a log collector wrote before the JSON. ok is false for text that isn't a log line.
func parseLine(raw []byte) (l logLine, ok bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 || json.Unmarshal(raw[start:], &l) != nil {
		return l, false
	}
	return l, l.Message != ""
}
