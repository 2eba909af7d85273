package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"
)

const (
	sendTries = 40
	sendPause = 250 * time.Millisecond
	sendLimit = 10 * time.Second
	pollEvery = 250 * time.Millisecond
)

// Batch is a job as callers see it.
type Batch struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	OutputFileID string `json:"output_file_id"`
	Counts       struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// Upload sends an input file, again until a daemon has taken it.
func (c *Caller) Upload(ctx context.Context, key string, content []byte) (id string, err error) {
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	if err := form.WriteField("purpose", "batch"); err != nil {
		return "", err
	}
	part, err := form.CreateFormFile("file", "input.jsonl")
	if err != nil {
		return "", err
	}
	if _, err := part.Write(content); err != nil {
		return "", err
	}
	if err := form.Close(); err != nil {
		return "", err
	}
	var file struct {
		ID string `json:"id"`
	}
	err = c.insist(ctx, call{method: http.MethodPost, path: "/v1/files", key: key, body: body.Bytes(), contentType: form.FormDataContentType()}, &file)
	if err == nil && file.ID == "" {
		err = errNoID
	}
	return file.ID, err
}

// Submit makes a job of a file, under an idempotency key so that it can be resent.
func (c *Caller) Submit(ctx context.Context, key, file, idempotencyKey, window string) (b Batch, err error) {
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":%q}`, file, window)
	err = c.insist(ctx, call{
		method: http.MethodPost, path: "/v1/batches", key: key, body: []byte(body),
		contentType: "application/json", idempotencyKey: idempotencyKey,
	}, &b)
	if err == nil && b.ID == "" {
		err = errNoID
	}
	return b, err
}

// Cancel asks for a job's end.
func (c *Caller) Cancel(ctx context.Context, key, id string) (b Batch, err error) {
	err = c.insist(ctx, call{method: http.MethodPost, path: "/v1/batches/" + id + "/cancel", key: key}, &b)
	return b, err
}

// Show reads a job.
func (c *Caller) Show(ctx context.Context, key, id string) (b Batch, err error) {
	err = c.insist(ctx, call{method: http.MethodGet, path: "/v1/batches/" + id, key: key}, &b)
	return b, err
}

// Await reads a job until its state is final.
func (c *Caller) Await(ctx context.Context, key, id string) (b Batch, err error) {
	for {
		b, err = c.Show(ctx, key, id)
		if err != nil || b.Status == "completed" || b.Status == "cancelled" {
			return b, err
		}
		select {
		case <-ctx.Done():
			return b, ctx.Err()
		case <-time.After(pollEvery):
		}
	}
}

// Output reads a job's results.
func (c *Caller) Output(ctx context.Context, key, file string) (lines []OutputLine, err error) {
	var text string
	err = c.insist(ctx, call{method: http.MethodGet, path: "/v1/files/" + file + "/content", key: key}, &text)
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		if line == "" {
			continue
		}
		var o OutputLine
		if err := json.Unmarshal([]byte(line), &o); err != nil {
			return nil, fmt.Errorf("output line %q: %w", line, err)
		}
		lines = append(lines, o)
	}
	return lines, nil
}

// OutputLine is a line of a job's results.
type OutputLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		StatusCode int             `json:"status_code"`
		Body       json.RawMessage `json:"body"`
	} `json:"response"`
	Error *struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

type call struct {
	method, path, key, contentType, idempotencyKey string
	body                                           []byte
}

// insist sends a call until it is answered or refused for good.
func (c *Caller) insist(ctx context.Context, x call, into any) (err error) {
	for range sendTries {
		var again bool
		again, err = c.send(ctx, x, into)
		if !again {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(sendPause):
		}
	}
	return err
}

func (c *Caller) send(ctx context.Context, x call, into any) (again bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, sendLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, x.method, "http://"+c.balancer.Pick()+x.path, bytes.NewReader(x.body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Authorization", "Bearer "+x.key)
	if x.contentType != "" {
		req.Header.Set("Content-Type", x.contentType)
	}
	if x.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", x.idempotencyKey)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return true, err
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return true, err
	}
	if resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: status %d: %s", x.method, x.path, resp.StatusCode, bytes.TrimSpace(data))
		return resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests, err
	}
	if text, ok := into.(*string); ok {
		*text = string(data)
		return false, nil
	}
	return false, json.Unmarshal(data, into)
}
