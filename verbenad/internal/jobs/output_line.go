package jobs

import (
	"encoding/json"
	"fmt"

	"verbenaledge.example/verbena/peer"
)

const minErrorStatus = 400

// responseLine returns an output line with a backend server's response.
func responseLine(customID string, o peer.ItemOutcome) []byte {
	body := json.RawMessage(o.Body)
	if !json.Valid(body) {
		body = quoteJSON(string(o.Body))
	}
	return marshal(struct {
		ID       string `json:"id"`
		CustomID string `json:"custom_id"`
		Response any    `json:"response"`
		Error    any    `json:"error"`
	}{
		ID: fmt.Sprintf("%s-%d", o.Ref.Job, o.Ref.Index), CustomID: customID,
		Response: struct {
			StatusCode int             `json:"status_code"`
			RequestID  string          `json:"request_id"`
			Body       json.RawMessage `json:"body"`
		}{o.Status, string(o.Request), body},
	})
}

// errorLine returns an output line with the error of an item that failed.
func errorLine(customID, reason string) []byte {
	return marshal(struct {
		CustomID string `json:"custom_id"`
		Response any    `json:"response"`
		Error    any    `json:"error"`
	}{
		CustomID: customID,
		Error: struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		}{"given_up", reason},
	})
}

func marshal(line any) []byte {
	data, err := json.Marshal(line)
	if err != nil {
		panic(err) // lines hold only strings, numbers and valid JSON
	}
	return data
}

func quoteJSON(s string) json.RawMessage {
	return marshal(s)
}
