package batch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"verbenaledge.example/verbena/ids"
)

// MaxRowBytes is the maximum length of one line of an input file.
const MaxRowBytes = 256 << 10

const maxCustomIDBytes = 256

// Row is one validated line of an input file.
type Row struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// RowError describes an invalid line of an input file.
type RowError struct {
	Row    int
	Reason string
}

// Error returns the row number, counted from 1, and the reason.
func (e *RowError) Error() string {
	return fmt.Sprintf("row %d: %s", e.Row, e.Reason)
}

// ErrNoRows reports that an input file is empty.
var ErrNoRows = errors.New("the file has no rows; send one JSON object a line")

// Input is a validated input file.
type Input struct {
	Lines   [][]byte
	URL     string
	Service ids.ServiceName
}

// ParseInput validates a whole input file. All rows must use the same endpoint and
// model, and custom ids must be unique.
func ParseInput(data []byte) (in Input, err error) {
	seen := map[string]int{}
	for i, l := range bytes.Split(data, []byte{'\n'}) {
		l = bytes.TrimSpace(l)
		if len(l) == 0 {
			continue
		}
		row, model, err := parseRow(i+1, l)
		if err != nil {
			return Input{}, err
		}
		if first, dup := seen[row.CustomID]; dup {
			return Input{}, &RowError{i + 1, fmt.Sprintf("custom_id %q stands in row %d already", row.CustomID, first)}
		}
		seen[row.CustomID] = i + 1
		if err := in.checkSameTarget(i+1, row, model); err != nil {
			return Input{}, err
		}
		in.Lines = append(in.Lines, l)
		if len(in.Lines) > MaxItems {
			return Input{}, &RowError{i + 1, fmt.Sprintf("more than %d rows; split the file", MaxItems)}
		}
	}
	if len(in.Lines) == 0 {
		return Input{}, ErrNoRows
	}
	return in, nil
}

func parseRow(n int, line []byte) (r Row, model string, err error) {
	if len(line) > MaxRowBytes {
		return Row{}, "", &RowError{n, fmt.Sprintf("longer than %d bytes", MaxRowBytes)}
	}
	if err := json.Unmarshal(line, &r); err != nil {
		return Row{}, "", &RowError{n, "not a JSON object: " + err.Error()}
	}
	var body struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	switch {
	case r.CustomID == "" || len(r.CustomID) > maxCustomIDBytes:
		return Row{}, "", &RowError{n, fmt.Sprintf("custom_id must have 1 to %d bytes", maxCustomIDBytes)}
	case r.Method != "POST":
		return Row{}, "", &RowError{n, "method must be POST"}
	case r.URL != "/v1/chat/completions" && r.URL != "/v1/completions":
		return Row{}, "", &RowError{n, "url must be /v1/chat/completions or /v1/completions"}
	case json.Unmarshal(r.Body, &body) != nil || body.Model == "":
		return Row{}, "", &RowError{n, "body must be an object with a model"}
	case body.Stream:
		return Row{}, "", &RowError{n, "stream is not possible in a batch"}
	}
	return r, body.Model, nil
}

func (in *Input) checkSameTarget(n int, r Row, model string) error {
	if in.URL == "" {
		in.URL, in.Service = r.URL, ids.ServiceName(model)
	}
	if in.URL != r.URL || in.Service != ids.ServiceName(model) {
		return &RowError{n, fmt.Sprintf("all rows must use one url and model; the first uses %s and %s", in.URL, in.Service)}
	}
	return nil
}
